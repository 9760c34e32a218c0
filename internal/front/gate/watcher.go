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
	watchEvery = 100 * time.Millisecond
	// watchAfter is the age of a request from which its connection is looked
	// at. Most requests are answered sooner.
	watchAfter = 80 * time.Millisecond
)

// watcher notices callers that leave while their request runs. It looks at the
// sockets without reading from them. It is safe for concurrent use.
type watcher struct {
	mu      sync.Mutex
	waiting map[*waiter]struct{}
	running bool
}

// waiter is a caller that waits for an answer.
type waiter struct {
	conn  net.Conn
	since time.Time
	gone  chan struct{}
}

func newWatcher() *watcher {
	return &watcher{waiting: map[*waiter]struct{}{}}
}

// watch returns a channel that is closed when the caller leaves, and a function
// that ends the watch.
func (w *watcher) watch(conn net.Conn, now time.Time) (gone <-chan struct{}, done func()) {
	one := &waiter{conn: conn, since: now, gone: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting[one] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
	return one.gone, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.waiting, one)
	}
}

// run looks at the waiting callers until none is left.
func (w *watcher) run() {
	for {
		time.Sleep(watchEvery)
		if !w.look(time.Now()) {
			return
		}
	}
}

func (w *watcher) look(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) == 0 {
		w.running = false
		return false
	}
	for one := range w.waiting {
		if now.Sub(one.since) >= watchAfter && socket.IsClosedByPeer(one.conn) {
			close(one.gone)
			delete(w.waiting, one)
		}
	}
	return true
}
