package sever

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrBlocked is returned by a dial towards a blocked address after its time
// has passed.
var ErrBlocked = errors.New("sever: no answer")

// conn loses what is written while its remote address is blocked. A connection
// that has lost bytes stays silent for good.
type conn struct {
	net.Conn
	table *Table
	ip    string
	lost  atomic.Bool
}

// Wrap returns c as a connection that obeys the table.
func (t *Table) Wrap(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &conn{Conn: c, table: t, ip: hostOf(c.RemoteAddr().String())}
}

// Write writes b, or loses it while the remote address is blocked.
func (c *conn) Write(b []byte) (int, error) {
	if c.lost.Load() || c.table.Blocks(c.ip) {
		c.lost.Store(true)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Dial connects to addr from the given local IP within the time-out. Towards a
// blocked address it waits for the time-out and fails with ErrBlocked.
func (t *Table) Dial(localIP, addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialContext(context.Background(), localIP, addr, timeout)
}

// DialContext is Dial that also ends when ctx does.
func (t *Table) DialContext(ctx context.Context, localIP, addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if t.Blocks(hostOf(addr)) {
		<-ctx.Done()
		return nil, ErrBlocked
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(localIP)}}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "sever: dial")
	}
	return t.Wrap(c), nil
}

// Listener wraps the connections that l accepts.
func (t *Table) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, table: t}
}

type listener struct {
	net.Listener
	table *Table
}

// Accept accepts a connection that obeys the table.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.table.Wrap(c), nil
}

func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}
