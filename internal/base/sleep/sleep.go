// Package sleep waits under a context.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx still runs afterwards. It returns
// false at once when ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
