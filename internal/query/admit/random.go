package admit

import (
	"math/rand/v2"
	"time"
)

// globalSource is the global source of math/rand/v2. It is safe for concurrent use.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// random draws the random numbers of a policy.
type random struct{ *rand.Rand }

func newRandom(options Options) random {
	return random{rand.New(options.withDefaults().Source)}
}

// below returns a random duration that is shorter than the given one, or 0.
func (r random) below(limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(max(limit, 1))))
}

// spread returns a random duration from one to two times the given one. It spreads the retries of
// callers that are refused at the same time.
func (r random) spread(after time.Duration) time.Duration {
	return after + r.below(after)
}
