package syncer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/sleep"
)

// maxDoublings limits how often a delay is doubled after repeated failures.
const maxDoublings = 2

// backoff counts consecutive failures. The first retry waits for the base
// delay; each further failure doubles it, up to maxDoublings times. The zero
// value has no failures.
type backoff struct {
	failures int
}

// record updates the count with the result of a call: nil resets it.
func (b *backoff) record(err error) {
	if err == nil {
		b.failures = 0
		return
	}
	b.failures++
}

// sleep waits for the current delay with jitter, or until ctx ends.
func (b *backoff) sleep(ctx context.Context, base time.Duration) {
	doublings := min(max(b.failures-1, 0), maxDoublings)
	sleep.For(ctx, jitter(base<<doublings))
}

// jitter returns a random duration between 0.75 d and 1.25 d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
