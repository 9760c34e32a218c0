package reply

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrInvalid is returned for what is not a response of the protocol. Nothing is known of the
// request: it may have run.
var ErrInvalid = errors.New("reply: not a valid HTTP response")

// IsValidStatus reports whether a status can end a request: it is neither interim nor outside
// the protocol.
func IsValidStatus(status int) bool {
	return status >= 200 && status <= 599
}

// IsRefusal reports whether a status says that a request was not executed: that the sender was at
// fault, or that the service is unavailable. After any other status than a success it may have run.
func IsRefusal(status int) bool {
	return status >= 400 && status <= 499 || status == fasthttp.StatusServiceUnavailable
}

// Conn is a connection of an HTTP client that sends one request at a time. It fails and is
// closed when it gets what is not a valid response, which the HTTP library might accept. Reads and
// writes must not be concurrent.
type Conn struct {
	net.Conn
	checker checker
	wrote   bool
}

// NewConn returns a checked connection.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// Write implements net.Conn. The next read begins a response.
func (c *Conn) Write(p []byte) (int, error) {
	c.wrote = true
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.wrote {
		c.wrote, c.checker = false, checker{}
	}
	n, err := c.Conn.Read(p)
	for checked := 0; checked < n && c.checker.state < body; {
		size, err := c.checker.check(p[checked:n])
		if err != nil {
			// The error of closing says no more than this one.
			_ = c.Close()
			return 0, err
		}
		checked += size
	}
	return n, err
}
