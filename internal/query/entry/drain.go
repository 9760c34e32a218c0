package entry

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Drain waits until every request that was taken on has been answered, or
// returns the error of ctx. New requests are turned away by the view, which
// must stop admitting first.
func (e *Entry) Drain(ctx context.Context) error {
	select {
	case <-e.active.idle():
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "entry: drain")
	}
}

// tracker counts requests and tells when there are none. The zero value is
// ready.
type tracker struct {
	mu      sync.Mutex
	count   int
	waiting []chan struct{}
}

func (t *tracker) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
}

func (t *tracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count > 0 {
		return
	}
	for _, done := range t.waiting {
		close(done)
	}
	t.waiting = nil
}

// idle returns a channel that is closed when no request is in execution.
func (t *tracker) idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	done := make(chan struct{})
	if t.count == 0 {
		close(done)
		return done
	}
	t.waiting = append(t.waiting, done)
	return done
}

func (t *tracker) active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}
