package pool

import (
	"context"
	"sync"
	"time"
)

// Call is one attempt in flight. It is safe for concurrent use.
type Call struct {
	message  *Message
	deadline time.Time
	done     func(Result)

	mu        sync.Mutex
	finished  bool
	cancelled bool
	// heldUp is set if the answer had to wait for memory of this process.
	heldUp bool
	// cancelDial stops opening a connection.
	cancelDial context.CancelFunc
	// waitingOn is the server in whose queue the attempt may be. It leaves the queue at
	// waitUntil.
	waitingOn *server
	waitUntil time.Time
	conn      *conn
	// written is set once the request has been written completely.
	written bool
	// writing is done once a short request has been written.
	writing sync.WaitGroup
}

// Cancel cancels the attempt. It closes the connection, so that the backend server can
// stop working on the request. It has no effect once the attempt has ended.
func (c *Call) Cancel() {
	c.mu.Lock()
	if c.finished || c.cancelled {
		c.mu.Unlock()
		return
	}
	c.cancelled = true
	cancelDial, conn, waitingOn := c.cancelDial, c.conn, c.waitingOn
	c.mu.Unlock()
	if conn != nil {
		conn.close()
		return
	}
	c.abortUnsent(cancelDial, waitingOn)
}

// abortUnsent stops opening a connection, or waiting for one.
func (c *Call) abortUnsent(cancelDial context.CancelFunc, waitingOn *server) {
	if cancelDial != nil {
		cancelDial()
	}
	if waitingOn != nil && waitingOn.dequeue(c) {
		c.finish(Result{Outcome: Unsent, Reason: "given up before it was sent"})
	}
}

// CancelUnsent cancels the attempt unless sending may have started. It returns true if
// nothing was sent and nothing will be.
func (c *Call) CancelUnsent() bool {
	c.mu.Lock()
	if c.finished || c.conn != nil {
		c.mu.Unlock()
		return false
	}
	c.cancelled = true
	cancelDial, waitingOn := c.cancelDial, c.waitingOn
	c.mu.Unlock()
	c.abortUnsent(cancelDial, waitingOn)
	return true
}

// CancelAfter cancels the attempt unless it ends within d. The delay keeps the connection
// reusable if the answer is about to arrive.
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

// setCancelDial stores the function that stops opening a connection. It returns false if
// the attempt is already cancelled.
func (c *Call) setCancelDial(cancel context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelDial = cancel
	return !c.cancelled
}

// setWaitingOn records that the attempt waits for a connection to a server. It returns
// false if the attempt is already cancelled.
func (c *Call) setWaitingOn(waitingOn *server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingOn = waitingOn
	return !c.cancelled
}

// failWait ends an attempt that got no connection within the wait time.
func (c *Call) failWait() {
	c.finish(Result{Outcome: Unsent, Reason: "no connection in time"})
}

// setConn records the connection that carries the attempt. It returns false if the
// attempt is already cancelled.
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

func (c *Call) setHeldUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldUp = true
}

func (c *Call) isWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// finish reports the result to done. Only the first call has an effect.
func (c *Call) finish(r Result) {
	c.mu.Lock()
	if c.finished {
		c.mu.Unlock()
		r.Release()
		return
	}
	c.finished = true
	// The backend server wasn't silent if its answer had to wait here.
	r.Cancelled = c.cancelled && !c.heldUp
	c.mu.Unlock()
	c.done(r)
}
