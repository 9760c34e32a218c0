// Package accept bounds the connections of a TCP listener and keeps it accepting: it closes
// idle connections rather than fail for lack of descriptors.
package accept

import (
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/budget"
)

const (
	// minBackoff and maxBackoff bound the time until the next try after a failure.
	minBackoff, maxBackoff = 5 * time.Millisecond, 500 * time.Millisecond
	// failureTolerance is how long accepting must have failed for the listener to count as
	// failing.
	failureTolerance = time.Second
	// evictBatch is the number of idle connections that are closed after a failure for lack
	// of resources.
	evictBatch = 16
	// writePiece is the number of bytes that are written at a time.
	writePiece = 64 << 10
)

// Options holds what a Listener depends on.
type Options struct {
	// Limit returns the maximum number of open connections. Beyond it the connection that has
	// been idle for longest is closed, or the new one if none is idle.
	Limit func() int
	// Pinned keeps all connections open: they never count as idle.
	Pinned bool
	// Failed is called when accepting fails, and for each new connection that is closed
	// because none is idle.
	Failed func(err error)
	// WriteStall is the time within which the other side has to take each writePiece bytes
	// that are written, or 0 if the user of the connections sets deadlines for writing.
	WriteStall time.Duration
	// Budget bounds the memory that is held for all connections. It may be nil.
	Budget *budget.Budget
	// Closed is called for each connection that is closed because it has held most memory for
	// longest. It may be nil.
	Closed func()
}

// ErrTooMany is reported for a new connection that is closed because all others are in use.
var ErrTooMany = errors.New("accept: too many connections in use")

// Listener is a TCP listener whose Accept fails only once it is closed. It is safe for
// concurrent use.
type Listener struct {
	*net.TCPListener
	options Options
	closed  chan struct{}
	once    sync.Once

	mu   sync.Mutex
	open int
	// idle holds the connections without a request, those that have been idle for longest
	// first.
	idle list.List
	// failingSince and failedAt are the times of the first and the last failure since a
	// connection was accepted, or zero.
	failingSince, failedAt time.Time
	evicted                int
}

// NewListener returns a listener that accepts from l.
func NewListener(l *net.TCPListener, options Options) *Listener {
	return &Listener{TCPListener: l, options: options, closed: make(chan struct{})}
}

// Accept waits for the next connection, which is idle until SetActive. It returns an error only
// once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	backoff := time.Duration(0)
	for {
		tcp, err := l.AcceptTCP()
		if err == nil {
			backoff = 0
			if conn := l.add(tcp, time.Now()); conn != nil {
				return conn, nil
			}
			l.options.Failed(ErrTooMany)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.setFailing(time.Now())
		l.options.Failed(err)
		if errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM) {
			l.evict(evictBatch)
		}
		backoff = min(max(2*backoff, minBackoff), maxBackoff)
		select {
		case <-time.After(backoff):
		case <-l.closed:
		}
	}
}

// Close closes the listener. Open connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

// Failing reports whether no connection could be accepted for a while. It ends with the
// failures, even if no connection arrives.
func (l *Listener) Failing(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failedAt.Sub(l.failingSince) >= failureTolerance && now.Sub(l.failedAt) < failureTolerance
}

func (l *Listener) setFailing(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failingSince.IsZero() || now.Sub(l.failedAt) >= failureTolerance {
		l.failingSince = now
	}
	l.failedAt = now
}

// add makes tcp an idle connection of the listener. It closes tcp and returns nil if there
// are too many in use.
func (l *Listener) add(tcp *net.TCPConn, now time.Time) *Conn {
	limit := l.options.Limit()
	l.mu.Lock()
	l.failingSince, l.failedAt = time.Time{}, time.Time{}
	var closing *Conn
	if l.open >= limit {
		if closing = l.takeOldest(); closing == nil {
			l.mu.Unlock()
			// The error of closing a connection that was never used tells nothing.
			_ = tcp.Close()
			return nil
		}
	}
	l.open++
	conn := &Conn{TCPConn: tcp, listener: l, idleSince: now}
	conn.holder = l.options.Budget.NewHolder(conn.closeForMemory)
	if !l.options.Pinned {
		conn.element = l.idle.PushBack(conn)
	}
	l.mu.Unlock()
	closing.closeEvicted()
	return conn
}

// takeOldest removes the connection that has been idle for longest, or returns nil. l.mu must
// be held, and the caller has to close the connection.
func (l *Listener) takeOldest() *Conn {
	front := l.idle.Front()
	if front == nil {
		return nil
	}
	conn := front.Value.(*Conn)
	conn.removeIdle()
	conn.evicted = true
	l.evicted++
	return conn
}

// evict closes up to count idle connections.
func (l *Listener) evict(count int) {
	for range count {
		l.mu.Lock()
		conn := l.takeOldest()
		l.mu.Unlock()
		if conn == nil {
			return
		}
		conn.closeEvicted()
	}
}

// CloseIdle closes the connections that have been idle since before a time.
func (l *Listener) CloseIdle(before time.Time) {
	for {
		l.mu.Lock()
		var conn *Conn
		if front := l.idle.Front(); front != nil && front.Value.(*Conn).idleSince.Before(before) {
			conn = l.takeOldest()
		}
		l.mu.Unlock()
		if conn == nil {
			return
		}
		conn.closeEvicted()
	}
}

// Stats are the numbers of a listener's connections.
type Stats struct {
	Open    int `json:"open"`
	Idle    int `json:"idle"`
	Evicted int `json:"evicted"`
}

// Stats returns the numbers of open and idle connections, and of those that were closed while
// idle since the start.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Open: l.open, Idle: l.idle.Len(), Evicted: l.evicted}
}
