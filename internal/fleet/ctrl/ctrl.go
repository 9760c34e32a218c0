// Package ctrl carries control calls between VMs: JSON-RPC over TCP, one
// connection per peer. It knows nothing of the calls' meaning; other packages
// register handlers under method names. Server and Client are safe for
// concurrent use.
package ctrl

import (
	"context"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// writeTimeout bounds one write, so that a peer that does not read cannot block
// a sender.
const writeTimeout = 2 * time.Second

var (
	// ErrUnreachable means that a call got no answer. It may have been carried
	// out.
	ErrUnreachable = errors.New("ctrl: unreachable")
	// ErrRemote means that the peer answered with an error.
	ErrRemote = errors.New("ctrl: refused by peer")
)

// Filter decides which control addresses this process can send to. Tests cut
// links with it; without one all links work.
type Filter interface {
	// Allowed reports whether a message may go to the address.
	Allowed(to string) bool
}

// sender names the sender of a request while a filter is in use.
type sender struct {
	From string `json:"from"`
}

// Listen opens the listener for control calls. It is the one place where the
// listening side would add encryption.
func Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	return l, errors.Wrap(err, "ctrl: listen")
}

// dial connects to a peer. It is the one place where the calling side would add
// encryption.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	return c, errors.Wrap(err, "ctrl: dial")
}

// traffic counts the control traffic of a process.
type traffic struct {
	bytesIn, bytesOut *metrics.Counter
	callsIn, callsOut *metrics.Counter
	dials             *metrics.Counter
}

func newTraffic(set *metrics.Set) *traffic {
	if set == nil {
		set = metrics.NewSet()
	}
	return &traffic{
		bytesIn:  set.GetOrCreateCounter(`samphirestair_control_bytes_total{direction="in"}`),
		bytesOut: set.GetOrCreateCounter(`samphirestair_control_bytes_total{direction="out"}`),
		callsIn:  set.GetOrCreateCounter(`samphirestair_control_calls_total{direction="in"}`),
		callsOut: set.GetOrCreateCounter(`samphirestair_control_calls_total{direction="out"}`),
		dials:    set.GetOrCreateCounter(`samphirestair_control_dials_total`),
	}
}

// meteredConn counts bytes, bounds writes and notes when it last read.
type meteredConn struct {
	net.Conn
	traffic *traffic
	read    atomic.Int64
}

// Read reads from the connection.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytesIn.Add(n)
	c.read.Store(time.Now().UnixNano())
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// Write writes to the connection and fails if that takes too long.
func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Wrap(err, "ctrl: write deadline")
	}
	n, err := c.Conn.Write(p)
	c.traffic.bytesOut.Add(n)
	return n, errors.Wrap(err, "ctrl: write")
}

// silentSince reports whether nothing was read since t.
func (c *meteredConn) silentSince(t time.Time) bool {
	return c.read.Load() < t.UnixNano()
}

func newConn(ctx context.Context, c *meteredConn, h jsonrpc2.Handler) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
	quiet := log.New(io.Discard, "", 0)
	return jsonrpc2.NewConn(ctx, stream, h, jsonrpc2.SetLogger(quiet))
}
