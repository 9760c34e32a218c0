package choose

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("random", func(o Options) Policy {
		return &random{options: o.withDefaults()}
	})
}

// random chooses each replica with the same probability.
type random struct {
	options Options
}

func (r *random) Choose(_ time.Time, candidates []Candidate) int {
	return r.options.IntN(len(candidates))
}

func (*random) Sent(time.Time, ident.ServerID) {}

func (*random) Answered(time.Time, ident.ServerID, Sample) {}

func (*random) Abandoned(time.Time, ident.ServerID, time.Duration) {}

func (*random) Retain(func(ident.ServerID) bool) {}
