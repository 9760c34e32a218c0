package gate

import (
	"net"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/socket"
)

const (
	// watchInterval is the time between two checks of the connections of waiting
	// callers. Together with the time for which abandoned attempts continue, it
	// stays below the 500 ms within which backend servers have to be freed.
	watchInterval = 100 * time.Millisecond
	// watchAfter is the age from which the connection of a request is checked.
	// Most requests are answered sooner.
	watchAfter = 80 * time.Millisecond
)

// callerWatcher detects callers that disconnect while their request runs. It checks the
// state of the sockets without reading from them. It is safe for concurrent use.
type callerWatcher struct {
	mu      sync.Mutex
	pending map[*pendingCaller]struct{}
	running bool
}

// pendingCaller is a caller that waits for an answer. gone is closed when it
// disconnects or is abandoned.
type pendingCaller struct {
	conn  net.Conn
	since time.Time
	gone  chan struct{}
}

func newWatcher() *callerWatcher {
	return &callerWatcher{pending: map[*pendingCaller]struct{}{}}
}

// watch returns a channel that is closed when the caller disconnects or is abandoned, and a
// function that ends the watch and has to be called. now is when the request arrived.
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

// abandon ends the wait of all callers as if they had disconnected, and returns how many there
// were.
func (w *callerWatcher) abandon() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := len(w.pending)
	for caller := range w.pending {
		close(caller.gone)
	}
	clear(w.pending)
	return waiting
}

// run checks the waiting callers every watchInterval until none is left.
func (w *callerWatcher) run() {
	for {
		time.Sleep(watchInterval)
		if !w.checkConnections(time.Now()) {
			return
		}
	}
}

// checkConnections checks each connection once. It returns false if no caller waits.
func (w *callerWatcher) checkConnections(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) == 0 {
		w.running = false
		return false
	}
	for caller := range w.pending {
		if now.Sub(caller.since) >= watchAfter && socket.IsClosedByPeer(caller.conn) {
			close(caller.gone)
			delete(w.pending, caller)
		}
	}
	return true
}
