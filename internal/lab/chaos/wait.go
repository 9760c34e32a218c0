package chaos

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// undoAttempts and undoPause bound the attempts to undo a fault.
	undoAttempts = 10
	undoPause    = 500 * time.Millisecond
)

// sleep waits for the given time. It returns false if ctx ended before.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// during requests a fault, waits and undoes it, whether or not it could be
// requested.
func during(ctx context.Context, wait time.Duration, begin, end func() error) error {
	err := begin()
	if err == nil {
		sleep(ctx, wait)
	}
	return errors.CombineErrors(err, persist(end))
}

// persist repeats a request until it succeeds or its attempts are used up.
func persist(request func() error) error {
	var err error
	for range undoAttempts {
		if err = request(); err == nil {
			return nil
		}
		time.Sleep(undoPause)
	}
	return err
}

// turn lets one step at a time act on a subject.
type turn chan struct{}

func newTurn() turn {
	return make(turn, 1)
}

// take waits for the turn. It returns false if ctx ended before.
func (t turn) take(ctx context.Context) bool {
	select {
	case t <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t turn) release() {
	<-t
}
