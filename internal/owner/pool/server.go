package pool

import (
	"slices"
	"sync"
	"time"
)

// server holds the connections to one process of a backend server.
type server struct {
	target Target
	mu     sync.Mutex
	// idle connections, the one used last at the end.
	idle []*conn
	// waiting attempts get the next connection that becomes idle, the first one
	// first.
	waiting []*Call
	// open counts all connections, those being opened included.
	open    int
	retired bool
}

// take returns an idle connection, or reserves room for a new one.
func (s *server) acquire(now time.Time) (c *conn, mayDial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.idle) > 0 {
		last := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if !now.After(last.idleUntil) {
			return last, false
		}
		last.close()
	}
	if s.retired || s.open >= s.target.Connections {
		return nil, false
	}
	s.open++
	return nil, true
}

// reserve makes room for a connection beyond those in use, which may all be
// silent.
func (s *server) reserveExtra() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired || s.open > s.target.Connections {
		return false
	}
	s.open++
	return true
}

// queue lets a call wait for a connection. It returns false if too many wait.
func (s *server) enqueue(call *Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired || len(s.waiting) >= maxWaiting || !call.setWaitingOn(s) {
		return false
	}
	s.waiting = append(s.waiting, call)
	call.waitUntil = time.Now().Add(maxWaitTime)
	time.AfterFunc(maxWaitTime, func() {
		if s.dequeue(call) {
			call.failWait()
		}
	})
	return true
}

// leave removes a call that waits, and reports whether it did.
func (s *server) dequeue(call *Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.Index(s.waiting, call)
	if at < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, at, at+1)
	return true
}

// next returns the call that has waited longest, or nil.
func (s *server) popWaiting() *Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		return nil
	}
	call := s.waiting[0]
	s.waiting = slices.Delete(s.waiting, 0, 1)
	return call
}

// put keeps an idle connection and reports whether it may stay open.
func (s *server) putIdle(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired || s.open > s.target.Connections {
		return false
	}
	s.idle = append(s.idle, c)
	return true
}

// requeue puts a call back to the front of those that wait, unless its wait is over.
func (s *server) requeue(call *Call) {
	if !time.Now().Before(call.waitUntil) {
		call.failWait()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.Insert(s.waiting, 0, call)
}

// forget removes a connection that closed while it was idle.
func (s *server) removeIdle(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.idle {
		if other == c {
			s.idle = append(s.idle[:i], s.idle[i+1:]...)
			return
		}
	}
}

func (s *server) retire() {
	s.mu.Lock()
	s.retired = true
	for _, c := range s.idle {
		c.close()
	}
	waiting := s.waiting
	s.idle, s.waiting = nil, nil
	s.mu.Unlock()
	for _, call := range waiting {
		call.finish(Result{Outcome: Unsent, Reason: "the server is gone"})
	}
}

func (s *server) closeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.idle[:0]
	for _, c := range s.idle {
		if now.After(c.idleUntil) {
			c.close()
			continue
		}
		kept = append(kept, c)
	}
	s.idle = kept
}
