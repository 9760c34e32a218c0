package merge

import (
	"bytes"
	"slices"
)

// RecordSize is the size in bytes of one record of a part.
const RecordSize = 16

// Records keeps the greatest records of the parts of a search, compared byte by
// byte. It keeps duplicates. It is not safe for concurrent use.
type Records struct {
	limit int
	// sorted holds the concatenated records in descending order.
	sorted []byte
}

// NewRecords returns an empty Records that keeps up to limit records.
func NewRecords(limit int) *Records {
	return &Records{limit: limit, sorted: make([]byte, 0, max(limit, 0)*RecordSize)}
}

// Add merges the concatenated records of one part. A trailing fragment shorter than a
// record is ignored.
func (r *Records) Add(part []byte) {
	for ; len(part) >= RecordSize; part = part[RecordSize:] {
		r.insert(part[:RecordSize])
	}
}

// Bytes returns the concatenated records, greatest first. The slice is not a copy, so
// that Add must not be called afterwards.
func (r *Records) Bytes() []byte {
	return r.sorted
}

// insert adds record if there is room or it is greater than the least record, which it
// then replaces.
func (r *Records) insert(record []byte) {
	count := len(r.sorted) / RecordSize
	if count >= r.limit {
		if count == 0 || bytes.Compare(record, r.sorted[len(r.sorted)-RecordSize:]) <= 0 {
			return
		}
		r.sorted = r.sorted[:len(r.sorted)-RecordSize]
		count--
	}
	at := count
	for at > 0 && bytes.Compare(record, r.sorted[(at-1)*RecordSize:at*RecordSize]) > 0 {
		at--
	}
	r.sorted = slices.Insert(r.sorted, at*RecordSize, record...)
}
