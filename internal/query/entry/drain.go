package entry

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Drain waits until no request is in execution, or returns the error of ctx. It
// does not stop new requests: a view that admits none must be published first.
func (e *Entry) Drain(ctx context.Context) error {
	select {
	case <-e.active.idle():
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "entry: drain")
	}
}

// requestCounter counts the requests in execution and signals when there are
// none. The zero value is ready to use. It is safe for concurrent use.
type requestCounter struct {
	mu          sync.Mutex
	count       int
	idleWaiters []chan struct{}
}

func (t *requestCounter) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
}

func (t *requestCounter) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count > 0 {
		return
	}
	for _, done := range t.idleWaiters {
		close(done)
	}
	t.idleWaiters = nil
}

// idle returns a channel that is closed as soon as no request is in execution.
func (t *requestCounter) idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	done := make(chan struct{})
	if t.count == 0 {
		close(done)
		return done
	}
	t.idleWaiters = append(t.idleWaiters, done)
	return done
}

func (t *requestCounter) current() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}
