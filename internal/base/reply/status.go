package reply

import (
	"bytes"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is returned for what is not a response of the protocol. Nothing is known of the
// request: it may have run.
var ErrInvalid = errors.New("reply: not an HTTP response with a valid status")

const (
	// statusLineLength is the length of "HTTP/1.1 200" and the byte after it.
	statusLineLength = 13
	// maxHeadBytes bounds the head of an interim response and of one without a body.
	maxHeadBytes = 16 << 10
)

// IsValidStatus reports whether a status can end a request: it is neither interim nor outside
// the protocol.
func IsValidStatus(status int) bool {
	return status >= 200 && status <= 599
}

// isStatusByte reports whether a byte may be at a position of a status line. The HTTP library
// reads 000 as 200, and accepts other protocols and statuses that don't exist.
func isStatusByte(position int, b byte) bool {
	const prefix = "HTTP/1."
	switch {
	case position < len(prefix):
		return b == prefix[position]
	case position == len(prefix):
		return b == '0' || b == '1'
	case position == len(prefix)+1:
		return b == ' '
	case position == len(prefix)+2:
		return b >= '1' && b <= '5'
	case position < statusLineLength-1:
		return b >= '0' && b <= '9'
	default:
		return b == ' ' || b == '\r' || b == '\n'
	}
}

// statusOf returns the status of a valid start of a status line.
func statusOf(line []byte) int {
	// The digits were checked.
	status, _ := strconv.Atoi(string(line[statusLineLength-4 : statusLineLength-1]))
	return status
}

// state is what a Conn expects next.
type state uint8

const (
	// statusLine is the start of a response.
	statusLine state = iota
	// head is the rest of the head of an interim response or of one without a body.
	head
	// rest is what the HTTP library checks itself.
	rest
)

// Conn is a connection of an HTTP client that sends one request at a time. It fails and is
// closed when it gets what is not a response with a valid status, which the HTTP library would
// accept. Reads and writes must not be concurrent.
type Conn struct {
	net.Conn
	state    state
	seen     []byte
	status   int
	interims int
	wrote    bool
}

// NewConn returns a checked connection.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, seen: make([]byte, 0, statusLineLength)}
}

// Write implements net.Conn. The next read begins a response.
func (c *Conn) Write(p []byte) (int, error) {
	c.wrote = true
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.wrote {
		c.wrote, c.state, c.seen, c.interims = false, statusLine, c.seen[:0], 0
	}
	n, err := c.Conn.Read(p)
	for _, b := range p[:n] {
		if c.state == rest {
			break
		}
		if !c.accept(b) {
			// The error of closing says no more than ErrInvalid.
			_ = c.Close()
			return 0, ErrInvalid
		}
	}
	return n, err
}

// accept checks the next byte of a response.
func (c *Conn) accept(b byte) bool {
	c.seen = append(c.seen, b)
	if c.state == head {
		return len(c.seen) <= maxHeadBytes && (!endsInEmptyLine(c.seen) || c.endHead())
	}
	if !isStatusByte(len(c.seen)-1, b) {
		return false
	}
	if len(c.seen) < statusLineLength {
		return true
	}
	c.status = statusOf(c.seen)
	c.state = rest
	if c.status < 200 || c.status == 204 {
		c.state = head
	}
	return c.status != 101
}

// endsInEmptyLine reports whether a head is complete. The HTTP library accepts lines that end
// without CR.
func endsInEmptyLine(head []byte) bool {
	return bytes.HasSuffix(head, []byte("\n\r\n")) || bytes.HasSuffix(head, []byte("\n\n"))
}

// endHead checks the head of an interim response or of one without a body.
func (c *Conn) endHead() bool {
	if c.status == 204 {
		c.state = rest
		return !announcesBody(c.seen)
	}
	c.state, c.seen = statusLine, c.seen[:0]
	c.interims++
	return c.interims <= maxInterim
}

// announcesBody reports whether a head announces a body.
func announcesBody(head []byte) bool {
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch value = bytes.TrimSpace(value); {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return true
		case bytes.EqualFold(name, []byte("Content-Length")) && string(value) != "0":
			return true
		}
	}
	return false
}
