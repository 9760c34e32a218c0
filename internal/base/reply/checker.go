package reply

import (
	"math"
	"strings"

	"github.com/valyala/fasthttp"
)

// coding is the transfer coding of bodies in chunks.
const coding = "chunked"

// state is the element of a response to which the next byte belongs.
type state uint8

const (
	statusLine state = iota
	reason
	// lineStart is the start of a field line, or of the empty line after the last one.
	lineStart
	fieldName
	fieldValue
	chunkSize
	// chunkSpace is the space between the size of a chunk and its extensions.
	chunkSpace
	chunkExtension
	chunkData
	chunkEnd
	// lineFeed is the LF after each CR.
	lineFeed
	// body is a body without chunks, whose bytes may have any value.
	body
	// end comes after a response without such a body.
	end
)

// Names, in lower case, of the fields that determine where a body ends.
const (
	lengthName = "content-length"
	codingName = "transfer-encoding"
)

// checker checks that a response has the syntax of HTTP/1.0 or HTTP/1.1 (RFC 9110, RFC 9112), so
// that all recipients agree on its fields and on the end of its body. The HTTP library accepts
// names with spaces, lines that are folded or end without CR, other characters that a recipient
// has to reject, status 000, and chunks beside a length. A checker reads the head, and chunks with
// their trailer section, a byte at a time. The zero value expects the start of a response.
type checker struct {
	// noBody is set if the response has no body, as to a HEAD request.
	noBody bool

	state state
	// afterLine is the state after the LF of a line.
	afterLine state
	// position is the number of bytes that were read of the status line, the name of a field, a
	// transfer coding or the size of a chunk.
	position int
	// heads is the number of heads that are complete, those of interim responses included.
	heads    int
	status   int
	isHTTP10 bool
	// inChunks is set in chunks and in the trailer section after them.
	inChunks bool

	// name is the name that the current field may have or has: lengthName, codingName or "".
	name string
	// word is the position in the value of such a field.
	word                 wordState
	hasLength, hasCoding bool
	length               int64
	// left is the number of bytes that are left of a chunk.
	left int64
}

// wordState is the position in a value that has to be one word.
type wordState uint8

const (
	beforeWord wordState = iota
	inWord
	afterWord
)

// check checks the next bytes of a response. It returns the number of bytes up to the end of a
// head, of the response or of data, or ErrInvalid if the response is not valid.
func (c *checker) check(data []byte) (checked int, err error) {
	for heads := c.heads; checked < len(data) && c.state < body && c.heads == heads; {
		if c.state == chunkData {
			skipped := int(min(c.left, int64(len(data)-checked)))
			checked += skipped
			if c.left -= int64(skipped); c.left == 0 {
				c.state = chunkEnd
			}
			continue
		}
		if plain := c.plainBytes(data[checked:]); plain > 0 {
			c.position += plain
			checked += plain
			continue
		}
		if !c.accept(data[checked]) {
			return 0, ErrInvalid
		}
		checked++
	}
	return checked, nil
}

// plainBytes returns how many bytes at the start of data are valid and don't change the state. Most
// bytes of a head are in names and values that don't concern the body.
func (c *checker) plainBytes(data []byte) (count int) {
	plain := &texts
	switch {
	case c.name != "":
		return 0
	case c.state == fieldName:
		plain = &tokens
	case c.state != fieldValue && c.state != reason:
		return 0
	}
	for count < len(data) && plain[data[count]] {
		count++
	}
	return count
}

// headDone reports whether the head of the response, after any interim ones, is complete.
func (c *checker) headDone() bool {
	return c.inChunks || c.state >= body
}

// accept checks the next byte of an element other than the data of a chunk.
func (c *checker) accept(b byte) (valid bool) {
	switch c.state {
	case statusLine:
		return c.acceptStatus(b)
	case reason:
		return c.acceptText(b, lineStart)
	case lineStart:
		if b == '\r' {
			return c.endLine(end)
		}
		c.state, c.position, c.word, c.name = fieldName, 0, beforeWord, ""
		return c.acceptName(b)
	case fieldName:
		return c.acceptName(b)
	case fieldValue:
		return c.acceptValue(b)
	case chunkSize:
		return c.acceptSize(b)
	case chunkSpace:
		if b == ';' {
			c.state = chunkExtension
		}
		return b == ';' || isSpace(b)
	case chunkExtension:
		return c.acceptText(b, c.afterSize())
	case chunkEnd:
		return b == '\r' && c.endLine(chunkSize)
	default:
		return b == '\n' && c.acceptLineFeed()
	}
}

// endLine expects the LF of a line, and then a state.
func (c *checker) endLine(next state) (valid bool) {
	c.state, c.afterLine = lineFeed, next
	return true
}

// acceptText accepts a byte of text that means nothing to the recipient, up to the end of its line.
func (c *checker) acceptText(b byte, next state) (valid bool) {
	if b == '\r' {
		return c.endLine(next)
	}
	return isText(b)
}

// acceptStatus accepts a byte of a status line up to the reason.
func (c *checker) acceptStatus(b byte) (valid bool) {
	const prefix = "HTTP/1."
	position := c.position
	c.position++
	switch position - len(prefix) {
	case 0:
		c.isHTTP10 = b == '0'
		return b == '0' || b == '1'
	case 1:
		return b == ' '
	case 2:
		c.status = int(b - '0')
		return b >= '1' && b <= '5'
	case 3, 4:
		c.status = 10*c.status + int(b-'0')
		return isDigit(b)
	case 5:
		c.state = reason
		return b == ' ' || b == '\r' && c.endLine(lineStart)
	default:
		return b == prefix[position]
	}
}

// acceptName accepts a byte of the name of a field, or the colon after it.
func (c *checker) acceptName(b byte) (valid bool) {
	if b == ':' {
		if c.position != len(c.name) {
			c.name = ""
		}
		valid = c.position > 0 && c.beginValue()
		c.state, c.position = fieldValue, 0
		return valid
	}
	lower := toLower(b)
	switch {
	case c.position == 0 && lower == lengthName[0]:
		c.name = lengthName
	case c.position == 0 && lower == codingName[0]:
		c.name = codingName
	case c.position >= len(c.name) || lower != c.name[c.position]:
		c.name = ""
	}
	c.position++
	return isToken(b)
}

// beginValue begins the value of a field. Neither of the fields that determine where the body ends
// may be repeated.
func (c *checker) beginValue() (valid bool) {
	if c.inChunks {
		// Fields of a trailer section don't concern the body.
		c.name = ""
	}
	switch c.name {
	case lengthName:
		valid, c.hasLength = !c.hasLength, true
	case codingName:
		valid, c.hasCoding = !c.hasCoding, true
	default:
		valid = true
	}
	return valid
}

// acceptValue accepts a byte of the value of a field. Those that determine where the body ends have
// a single word.
func (c *checker) acceptValue(b byte) (valid bool) {
	if b == '\r' {
		return (c.name == "" || c.endWord()) && c.endLine(lineStart)
	}
	if c.name == "" {
		return isText(b)
	}
	if isSpace(b) {
		if c.word == inWord {
			c.word = afterWord
		}
		return true
	}
	if c.word == afterWord {
		return false
	}
	c.word = inWord
	if c.name == lengthName {
		digit := int64(b - '0')
		if !isDigit(b) || c.length > (math.MaxInt64-digit)/10 {
			return false
		}
		c.length = 10*c.length + digit
		return true
	}
	c.position++
	return c.position <= len(coding) && toLower(b) == coding[c.position-1]
}

// endWord reports whether the value of a field that determines where the body ends is complete.
func (c *checker) endWord() (valid bool) {
	return c.word != beforeWord && (c.name == lengthName || c.position == len(coding))
}

// acceptSize accepts a byte of the size of a chunk, or the one after it.
func (c *checker) acceptSize(b byte) (valid bool) {
	if digit := hexDigit(b); digit >= 0 {
		c.position++
		valid = c.left <= math.MaxInt64>>4
		c.left = c.left<<4 | int64(digit)
		return valid
	}
	if c.position == 0 {
		return false
	}
	switch b {
	case '\r':
		return c.endLine(c.afterSize())
	case ';':
		c.state = chunkExtension
		return true
	default:
		c.state = chunkSpace
		return isSpace(b)
	}
}

// afterSize returns the state after the line of a chunk's size.
func (c *checker) afterSize() state {
	if c.left == 0 {
		return lineStart
	}
	return chunkData
}

// acceptLineFeed ends a line.
func (c *checker) acceptLineFeed() (valid bool) {
	c.state, c.position = c.afterLine, 0
	if c.state == end && !c.inChunks {
		return c.endHead()
	}
	return true
}

// endHead ends a head, and expects what its status and fields announce.
func (c *checker) endHead() (valid bool) {
	c.heads++
	switch {
	case c.hasCoding && (c.hasLength || c.isHTTP10):
		return false
	case c.status < 200:
		valid = c.status != fasthttp.StatusSwitchingProtocols && c.heads <= maxInterim
		*c = checker{noBody: c.noBody, heads: c.heads}
		return valid
	case c.status == fasthttp.StatusNoContent:
		return !c.hasCoding && c.length == 0
	case c.noBody || c.status == fasthttp.StatusNotModified:
		return true
	case c.hasCoding:
		c.state, c.inChunks = chunkSize, true
	default:
		c.state = body
	}
	return true
}

// IsName reports whether name has the syntax of the name of a field.
func IsName(name []byte) bool {
	for _, b := range name {
		if !isToken(b) {
			return false
		}
	}
	return len(name) > 0
}

// IsValue reports whether value has the syntax of the value of a field, with any space around it.
func IsValue[T []byte | string](value T) bool {
	for i := range len(value) {
		if !isText(value[i]) {
			return false
		}
	}
	return true
}

func toLower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

func isSpace(b byte) bool {
	return b == ' ' || b == '\t'
}

func isDigit(b byte) bool {
	return b >= '0' && b <= '9'
}

// isText reports whether a byte may be in a reason, the value of a field or an extension of a
// chunk.
func isText(b byte) bool {
	return texts[b]
}

// isToken reports whether a byte may be in the name of a field.
func isToken(b byte) bool {
	return tokens[b]
}

// tokens holds the bytes of names, and texts those of texts.
var (
	tokens = bytesThat(func(b byte) bool {
		return strings.IndexByte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ", b) >= 0
	})
	texts = bytesThat(func(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' })
)

func bytesThat(match func(b byte) bool) (bytes [256]bool) {
	for b := range bytes {
		bytes[b] = match(byte(b))
	}
	return bytes
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(b byte) int {
	switch {
	case isDigit(b):
		return int(b - '0')
	case b >= 'a' && b <= 'f':
		return int(b-'a') + 10
	case b >= 'A' && b <= 'F':
		return int(b-'A') + 10
	default:
		return -1
	}
}
