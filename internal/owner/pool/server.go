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
	// idle holds the idle connections: those on which the process has not answered yet, then
	// the others, the most recently used one last.
	idle []*conn
	// waiting is a FIFO queue of attempts that wait for a connection.
	waiting []*Call
	// open counts all connections, including those being opened.
	open    int
	retired bool
	// running counts the requests of this VM that have no answer yet.
	running int
	// answers counts the answers of the process, and proven the open connections that have
	// carried one.
	answers, proven int
	// shared is the largest number of requests without an answer at the close of a connection
	// since the last answer.
	shared int
	// check is the check whether the process has ended that attempts wait for, or nil, and
	// lastCheck the last one that they waited for.
	check, lastCheck *endCheck
}

// countRequest adds to the number of requests without an answer.
func (s *server) countRequest(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += change
}

// shareOfEnd returns the number of requests that the process had if the close of a connection
// is its end. All requests that it had get the same number, whichever is handled first.
func (s *server) shareOfEnd() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shared = max(s.shared, s.running)
	return s.shared
}

// countAnswer counts an answer of the process. first is set if it is the first one on its
// connection.
func (s *server) countAnswer(first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	s.shared = 0
	if first {
		s.proven++
	}
}

// removeProven removes a closed connection from those that have carried an answer.
func (s *server) removeProven() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proven--
}

// hasProven reports whether a connection is open on which the process has answered, so that it
// probably lives.
func (s *server) hasProven() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proven > 0
}

// answerCount returns the number of answers of the process.
func (s *server) answerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers
}

// load returns the number of requests without an answer, and whether a connection is idle on
// which the process has answered.
func (s *server) load() (requests int, proven bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.idle) > 0 && s.idle[len(s.idle)-1].proven
}

// joinEndCheck returns the check that attempts wait for, or a new one that the caller has to
// begin and to leave.
func (s *server) joinEndCheck() (check *endCheck, isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.check != nil {
		return s.check, false
	}
	s.check = newEndCheck()
	return s.check, true
}

// leaveEndCheck ends the wait of all attempts for a check. Attempts whose connections are
// closed later begin another one.
func (s *server) leaveEndCheck(check *endCheck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check, s.lastCheck = nil, check
	close(check.waited)
}

// previousCheck returns the last check that attempts waited for, or nil.
func (s *server) previousCheck() *endCheck {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastCheck
}

// acquire returns an idle connection. If there is none, it reserves a slot for a new
// one if the limit allows, and sets mayDial.
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

// reserveExtra reserves a slot for a probe. It allows one connection above the limit,
// because all others may be in use and unresponsive.
func (s *server) reserveExtra() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired || s.open > s.target.Connections {
		return false
	}
	s.open++
	return true
}

// enqueue adds a call to the queue for a connection, for at most maxWaitTime. It returns
// false if the queue is full, the server is retired or the call was cancelled.
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

// dequeue removes a call from the queue and reports whether it was queued.
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

// popWaiting removes and returns the call that has waited longest, or nil.
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

// putIdle adds an idle connection. It returns false if the connection has to be closed.
func (s *server) putIdle(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired || s.open > s.target.Connections {
		return false
	}
	at := len(s.idle)
	if !c.proven {
		at = 0
	}
	s.idle = slices.Insert(s.idle, at, c)
	return true
}

// requeue puts a call back at the front of the queue, or ends it if its wait time is over.
func (s *server) requeue(call *Call) {
	if !time.Now().Before(call.waitUntil) {
		call.failWait()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.Insert(s.waiting, 0, call)
}

// removeIdle removes a connection that was closed while idle.
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

// retire closes the idle connections and ends the queued calls. Calls in flight end
// normally, and their connections are closed afterwards.
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
		call.finish(Result{Outcome: Unsent, Reason: "server process was removed or replaced"})
	}
}

// closeExpired closes the connections that have reached their idle timeout.
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
