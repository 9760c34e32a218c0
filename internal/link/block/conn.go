package block

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrBlocked is returned by Dial and DialContext for a blocked address once the
// timeout has passed or the context has ended.
var ErrBlocked = errors.New("block: address is blocked")

// conn discards what is written while its remote address is blocked. A connection
// that has discarded bytes sends nothing more, also after its address is unblocked,
// since its stream would have a gap.
type conn struct {
	net.Conn
	blocklist *Blocklist
	ip        string
	lost      atomic.Bool
}

// Wrap returns c as a connection that is subject to the blocklist.
func (b *Blocklist) Wrap(c net.Conn) net.Conn {
	if b == nil {
		return c
	}
	return &conn{Conn: c, blocklist: b, ip: hostOf(c.RemoteAddr().String())}
}

// Write writes b, or discards it and reports success while the remote address is
// blocked.
func (c *conn) Write(b []byte) (int, error) {
	if c.lost.Load() || c.blocklist.Blocks(c.ip) {
		c.lost.Store(true)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Dial connects to addr from localIP within the timeout. For a blocked address it
// waits for the timeout and fails with ErrBlocked.
func (b *Blocklist) Dial(localIP, addr string, timeout time.Duration) (net.Conn, error) {
	return b.DialContext(context.Background(), localIP, addr, timeout)
}

// DialContext is like Dial, but also returns when ctx ends.
func (b *Blocklist) DialContext(ctx context.Context, localIP, addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if b.Blocks(hostOf(addr)) {
		<-ctx.Done()
		return nil, ErrBlocked
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(localIP)}}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "block: dial")
	}
	return b.Wrap(c), nil
}

// Listener wraps the connections that l accepts.
func (b *Blocklist) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, blocklist: b}
}

type listener struct {
	net.Listener
	blocklist *Blocklist
}

// Accept accepts a connection and wraps it.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.blocklist.Wrap(c), nil
}

func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}
