package warmth

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Handover is what one owner tells the next about a server's warmth.
type Handover struct {
	Boot            ident.BootID  `json:"boot"`
	Warm            bool          `json:"warm"`
	Completions     int           `json:"completions"`
	MeanServiceTime time.Duration `json:"mean"`
}

// State is a tracker's state for operators.
type State struct {
	Phase            Phase         `json:"phase"`
	PhaseReason      Reason        `json:"why"`
	Since            time.Time     `json:"since"`
	ConcurrencyLimit int           `json:"bound"`
	Boot             ident.BootID  `json:"boot"`
	Completions      int           `json:"completions"`
	MeanServiceTime  time.Duration `json:"mean_service"`
}

// Export returns what the next owner should know. While the boot identity is
// unconfirmed, that is what the previous owner told.
func (t *Tracker) Export() Handover {
	if t.boot == "" {
		return t.carried
	}
	return Handover{Boot: t.boot, Warm: t.phase == Warm, Completions: t.completions, MeanServiceTime: t.mean}
}

// Import takes over what the previous owner told. It takes effect when the
// server states the same boot identity.
func (t *Tracker) Import(carry Handover, now time.Time) {
	t.carried = carry
	t.boot = ""
	t.completions = 0
	t.enter(Cold, ReasonFirstContact, now)
}

// State returns the state for operators.
func (t *Tracker) State() State {
	return State{
		Phase: t.phase, PhaseReason: t.why, Since: t.since, ConcurrencyLimit: t.ConcurrencyLimit(),
		Boot: t.boot, Completions: t.completions, MeanServiceTime: t.mean,
	}
}

// confirm applies the carried state if it is of the present boot.
func (t *Tracker) confirm(now time.Time) {
	carried := t.carried
	t.carried = Handover{}
	if carried.Boot != t.boot {
		return
	}
	t.completions = carried.Completions
	t.mean, t.samples = carried.MeanServiceTime, min(carried.Completions, 1)
	switch {
	case carried.Warm && carried.Completions >= t.limits.WarmAfter:
		t.enter(Warm, ReasonHandover, now)
	case carried.Completions > 0:
		t.enter(Warming, ReasonHandover, now)
	}
}
