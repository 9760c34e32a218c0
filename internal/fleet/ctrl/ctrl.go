// Package ctrl transports control calls between VMs: JSON-RPC over TCP with one
// connection per peer. It does not interpret the calls; other packages register
// handlers by method name. Server and Client are safe for concurrent use.
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

// writeTimeout bounds each write, so that a peer that doesn't read can't block a
// sender.
const writeTimeout = 2 * time.Second

var (
	// ErrUnreachable is returned if a call got no answer. The peer may have
	// executed the call.
	ErrUnreachable = errors.New("ctrl: unreachable")
	// ErrRemote is returned if the peer answered with an error.
	ErrRemote = errors.New("ctrl: peer returned an error")
)

// Filter decides to which control addresses this process can send messages. Tests
// use it to simulate network faults.
type Filter interface {
	// Allowed reports whether a message may be sent to the address.
	Allowed(to string) bool
}

// callMeta is sent with each request if the client has a filter. From is the
// control address of the caller, with which the server filters its replies.
type callMeta struct {
	From string `json:"from"`
}

// Listen opens the listener for control calls. Encryption on the server side would
// be added here.
func Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	return l, errors.Wrap(err, "ctrl: listen")
}

// dial connects to a peer. Encryption on the client side would be added here.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	return c, errors.Wrap(err, "ctrl: dial")
}

// trafficMetrics counts the control traffic of a process.
type trafficMetrics struct {
	bytesIn, bytesOut *metrics.Counter
	callsIn, callsOut *metrics.Counter
	dials             *metrics.Counter
}

func newTrafficMetrics(set *metrics.Set) *trafficMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	return &trafficMetrics{
		bytesIn:  set.GetOrCreateCounter(`samphirestair_control_bytes_total{direction="in"}`),
		bytesOut: set.GetOrCreateCounter(`samphirestair_control_bytes_total{direction="out"}`),
		callsIn:  set.GetOrCreateCounter(`samphirestair_control_calls_total{direction="in"}`),
		callsOut: set.GetOrCreateCounter(`samphirestair_control_calls_total{direction="out"}`),
		dials:    set.GetOrCreateCounter(`samphirestair_control_dials_total`),
	}
}

// meteredConn is a connection that counts bytes and bounds the duration of writes.
type meteredConn struct {
	net.Conn
	traffic *trafficMetrics
	// lastRead is the time of the last read in Unix nanoseconds.
	lastRead atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytesIn.Add(n)
	c.lastRead.Store(time.Now().UnixNano())
	return n, err //nolint:wrapcheck // readers compare with io.EOF
}

// Write implements net.Conn. It fails after writeTimeout.
func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Wrap(err, "ctrl: write deadline")
	}
	n, err := c.Conn.Write(p)
	c.traffic.bytesOut.Add(n)
	return n, errors.Wrap(err, "ctrl: write")
}

// silentSince reports whether nothing has been read since t.
func (c *meteredConn) silentSince(t time.Time) bool {
	return c.lastRead.Load() < t.UnixNano()
}

// newConn starts a JSON-RPC connection that passes incoming requests to h. The log of
// the JSON-RPC library is discarded.
func newConn(ctx context.Context, s *stream, h jsonrpc2.Handler) *jsonrpc2.Conn {
	discard := log.New(io.Discard, "", 0)
	return jsonrpc2.NewConn(ctx, s, h, jsonrpc2.SetLogger(discard), jsonrpc2.OnRecv(s.restore))
}
