package pool

import (
	"context"
	"sync"
	"time"
)

// Call is one attempt under way. It is safe for concurrent use.
type Call struct {
	message  *Message
	deadline time.Time
	done     func(Result)

	mu        sync.Mutex
	finished  bool
	cancelled bool
	// dial ends the opening of a connection.
	cancelDial context.CancelFunc
	// queue is set while the attempt may wait for a connection, and waitUntil the time
	// until which it does.
	waitingOn *server
	waitUntil time.Time
	conn      *conn
	// written is set once the whole request was written.
	written bool
	// writing ends when the writing of a short request has ended.
	writing sync.WaitGroup
}

// Cancel gives the attempt up. The connection is closed, so that the backend
// server may drop the work. It does nothing after the attempt has ended.
func (c *Call) Cancel() {
	c.mu.Lock()
	if c.finished || c.cancelled {
		c.mu.Unlock()
		return
	}
	c.cancelled = true
	dial, conn, queue := c.cancelDial, c.conn, c.waitingOn
	c.mu.Unlock()
	if conn != nil {
		conn.close()
		return
	}
	c.abortUnsent(dial, queue)
}

// endUnsent ends the opening of a connection, or the wait for one.
func (c *Call) abortUnsent(dial context.CancelFunc, queue *server) {
	if dial != nil {
		dial()
	}
	if queue != nil && queue.dequeue(c) {
		c.finish(Result{Outcome: Unsent, Reason: "given up before it was sent"})
	}
}

// CancelUnsent gives the attempt up if nothing of it was sent yet, and reports
// whether it is certain that nothing was and will be.
func (c *Call) CancelUnsent() bool {
	c.mu.Lock()
	if c.finished || c.conn != nil {
		c.mu.Unlock()
		return false
	}
	c.cancelled = true
	dial, queue := c.cancelDial, c.waitingOn
	c.mu.Unlock()
	c.abortUnsent(dial, queue)
	return true
}

// CancelAfter gives the attempt up unless it ends within d, so that a
// connection on which the answer is near stays of use.
func (c *Call) CancelAfter(d time.Duration) {
	if c.isFinished() {
		return
	}
	time.AfterFunc(d, c.Cancel)
}

func (c *Call) isFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished
}

func (c *Call) isCancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelled
}

// setDial notes how to end the opening of a connection. It returns false if the
// attempt was given up already.
func (c *Call) setCancelDial(cancel context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelDial = cancel
	return !c.cancelled
}

// setQueue notes that the attempt waits for a connection to a server. It returns
// false if the attempt was given up already.
func (c *Call) setWaitingOn(queue *server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingOn = queue
	return !c.cancelled
}

// expire ends an attempt that found no connection.
func (c *Call) failWait() {
	c.finish(Result{Outcome: Unsent, Reason: "no connection in time"})
}

// setConn notes the connection that carries the attempt. It returns false if
// the attempt was given up already.
func (c *Call) setConn(conn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelDial = nil
	c.conn = conn
	return !c.cancelled
}

func (c *Call) setWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = true
}

func (c *Call) isWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// finish tells the outcome, once.
func (c *Call) finish(r Result) {
	c.mu.Lock()
	if c.finished {
		c.mu.Unlock()
		r.Release()
		return
	}
	c.finished = true
	r.Cancelled = c.cancelled
	c.mu.Unlock()
	c.done(r)
}
