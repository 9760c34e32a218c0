package warmth

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Handover is the warmth of a server that its owner hands over to the next.
type Handover struct {
	Boot            ident.BootID  `json:"boot"`
	Warm            bool          `json:"warm"`
	Completions     int           `json:"completions"`
	MeanServiceTime time.Duration `json:"mean"`
}

// State is a tracker's state as shown to operators.
type State struct {
	Phase            Phase         `json:"phase"`
	PhaseReason      Reason        `json:"why"`
	Since            time.Time     `json:"since"`
	ConcurrencyLimit int           `json:"bound"`
	Boot             ident.BootID  `json:"boot"`
	Completions      int           `json:"completions"`
	MeanServiceTime  time.Duration `json:"mean_service"`
}

// Export returns the state for the next owner. Until the server has stated its
// boot identity, that is the imported state.
func (t *Tracker) Export() Handover {
	if t.boot == "" {
		return t.imported
	}
	return Handover{Boot: t.boot, Warm: t.phase == Warm, Completions: t.completions, MeanServiceTime: t.mean}
}

// Import stores the state that the previous owner exported and returns the server
// to cold. The state takes effect if the server next states the same boot
// identity.
func (t *Tracker) Import(handover Handover, now time.Time) {
	t.imported = handover
	t.boot = ""
	t.completions = 0
	t.setPhase(Cold, ReasonFirstContact, now)
}

// State returns the state for operators.
func (t *Tracker) State() State {
	return State{
		Phase: t.phase, PhaseReason: t.reason, Since: t.since, ConcurrencyLimit: t.ConcurrencyLimit(),
		Boot: t.boot, Completions: t.completions, MeanServiceTime: t.mean,
	}
}

// applyImported applies the imported state if it has the current boot identity,
// and discards it otherwise.
func (t *Tracker) applyImported(now time.Time) {
	imported := t.imported
	t.imported = Handover{}
	if imported.Boot != t.boot {
		return
	}
	t.completions = imported.Completions
	t.mean, t.samples = imported.MeanServiceTime, min(imported.Completions, 1)
	switch {
	case imported.Warm && imported.Completions >= t.limits.WarmAfter:
		t.setPhase(Warm, ReasonHandover, now)
	case imported.Completions > 0:
		t.setPhase(Warming, ReasonHandover, now)
	}
}
