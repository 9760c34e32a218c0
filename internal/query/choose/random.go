package choose

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("random", func(o Options) Policy {
		return &randomPolicy{options: o.withDefaults()}
	})
}

// randomPolicy chooses each replica with the same probability.
type randomPolicy struct {
	options Options
}

func (r *randomPolicy) Choose(_ time.Time, candidates []Candidate) int {
	return r.options.IntN(len(candidates))
}

func (*randomPolicy) Sent(time.Time, ident.ServerID) {}

func (*randomPolicy) Answered(time.Time, ident.ServerID, Sample) {}

func (*randomPolicy) Abandoned(time.Time, ident.ServerID, time.Duration) {}

func (*randomPolicy) Retain(func(ident.ServerID) bool) {}
