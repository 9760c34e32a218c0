package gate

import (
	"net"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/socket"
)

const (
	// watchEvery is the time between two looks at the connections of callers
	// that wait. With the time for which abandoned attempts go on, it stays
	// below the half second in which backend servers have to be freed.
	watchInterval = 100 * time.Millisecond
	// watchAfter is the age of a request from which its connection is looked
	// at. Most requests are answered sooner.
	watchAfter = 80 * time.Millisecond
)

// watcher notices callers that leave while their request runs. It looks at the
// sockets without reading from them. It is safe for concurrent use.
type callerWatcher struct {
	mu      sync.Mutex
	pending map[*pendingCaller]struct{}
	running bool
}

// waiter is a caller that waits for an answer.
type pendingCaller struct {
	conn  net.Conn
	since time.Time
	gone  chan struct{}
}

func newWatcher() *callerWatcher {
	return &callerWatcher{pending: map[*pendingCaller]struct{}{}}
}

// watch returns a channel that is closed when the caller leaves, and a function
// that ends the watch.
func (w *callerWatcher) watch(conn net.Conn, now time.Time) (gone <-chan struct{}, stop func()) {
	caller := &pendingCaller{conn: conn, since: now, gone: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[caller] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
	return caller.gone, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.pending, caller)
	}
}

// run looks at the waiting callers until none is left.
func (w *callerWatcher) run() {
	for {
		time.Sleep(watchInterval)
		if !w.checkConnections(time.Now()) {
			return
		}
	}
}

func (w *callerWatcher) checkConnections(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) == 0 {
		w.running = false
		return false
	}
	for caller := range w.pending {
		if now.Sub(caller.since) >= watchAfter && socket.HasLeft(caller.conn) {
			close(caller.gone)
			delete(w.pending, caller)
		}
	}
	return true
}
