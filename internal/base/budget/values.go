package budget

// objectBytes and valueBytes are upper bounds of what an object and another value of a JSON text
// take once they are decoded: "{}," in a heartbeat becomes 112 bytes in a growing slice, and each
// value of an answer 80 bytes and an entry in the object or array that it belongs to.
const (
	objectBytes = 256
	valueBytes  = 128
)

// SizeOfValues returns an upper bound of the memory of the values that a JSON text is decoded
// into, besides the text itself.
func SizeOfValues(text []byte) int {
	size := 0
	for _, b := range text {
		switch b {
		case '{':
			size += objectBytes
		case '[', ',':
			size += valueBytes
		}
	}
	return size
}
