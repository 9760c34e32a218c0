package chaos

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// retryAttempts and retryPause limit the attempts of retry, by which faults
	// are undone.
	retryAttempts = 10
	retryPause    = 500 * time.Millisecond
)

// sleep waits for the given time. It returns false if ctx ended before that.
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

// applyFor injects a fault by begin, waits for the duration or the end of ctx,
// and undoes the fault by end. It calls end even if begin failed, because a
// request that failed may still have had an effect, and repeats it as retry does.
func applyFor(ctx context.Context, duration time.Duration, begin, end func() error) error {
	err := begin()
	if err == nil {
		sleep(ctx, duration)
	}
	return errors.CombineErrors(err, retry(end))
}

// retry repeats a request until it succeeds or has failed retryAttempts times. It
// returns the last error.
func retry(request func() error) error {
	var err error
	for range retryAttempts {
		if err = request(); err == nil {
			return nil
		}
		time.Sleep(retryPause)
	}
	return err
}

// subjectLock lets one step at a time act on a VM, zone, backend server or
// service. Unlike a mutex, it can be waited for with a context.
type subjectLock chan struct{}

func newSubjectLock() subjectLock {
	return make(subjectLock, 1)
}

// lock waits for the lock. It returns false if ctx ended before that.
func (t subjectLock) lock(ctx context.Context) bool {
	select {
	case t <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t subjectLock) unlock() {
	<-t
}
