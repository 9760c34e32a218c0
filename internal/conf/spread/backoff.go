package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/sleep"
)

// maxDoublings bounds the growth of waits after failures.
const maxDoublings = 2

// backoff counts failures in a row. Waits double with each of them, up to a
// bound. The zero value has seen none.
type backoff struct {
	failures int
}

func (b *backoff) note(err error) {
	if err == nil {
		b.failures = 0
		return
	}
	b.failures++
}

// sleep waits for about base, or longer after several failures, or until ctx
// ends.
func (b *backoff) sleep(ctx context.Context, base time.Duration) {
	doublings := min(max(b.failures-1, 0), maxDoublings)
	sleep.For(ctx, jitter(base<<doublings))
}

// jitter returns a random time between three and five quarters of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
