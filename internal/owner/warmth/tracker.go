// Package warmth decides how many requests one backend server bears at present.
// It takes observations and the time as arguments and holds no clock.
package warmth

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
)

// Phase is how far a backend server has come since its start.
type Phase string

// Phases of a backend server.
const (
	Cold    Phase = "cold"
	Warming Phase = "warming"
	Warm    Phase = "warm"
)

// Reason says why a server entered its phase.
type Reason string

// Reasons for a change of phase.
const (
	ReasonFirstContact Reason = "first contact"
	ReasonHandover     Reason = "boot identity confirmed by carried state"
	ReasonBootChanged  Reason = "boot identity changed"
	ReasonReset        Reason = "connection reset or refused"
	ReasonShed         Reason = "request shed within the limit"
	ReasonSlow         Reason = "service time far above its history"
	ReasonCompletions  Reason = "enough requests completed"
	ReasonProgress     Reason = "requests completed"
	ReasonReturned     Reason = "server returned to service"
)

const (
	// historyMin is the number of samples after which the history of service
	// times is compared with.
	historyMin = 32
	// slowFactor, slowFloor and slowRun define service times far above the
	// history: that many in a row, each above the floor and the factor.
	slowFactor = 8
	slowFloor  = 20 * time.Millisecond
	slowRun    = 4
	// meanWeight is the weight of the history against one sample.
	meanWeight = 8
)

// Tracker tracks the warmth of one backend server. Use New to make one. It is
// not safe for concurrent use.
type Tracker struct {
	limits      svcdoc.Limits
	boot        ident.BootID
	phase       Phase
	why         Reason
	since       time.Time
	completions int
	carried     Handover
	mean        time.Duration
	samples     int
	slow        int
}

// New returns the tracker of a server that nothing is known about.
func New(limits svcdoc.Limits, now time.Time) *Tracker {
	return &Tracker{limits: limits, phase: Cold, why: ReasonFirstContact, since: now}
}

// ConcurrencyLimit returns the number of requests that the server bears at present.
func (t *Tracker) ConcurrencyLimit() int {
	if t.phase == Warm {
		return t.limits.Slots
	}
	return min(t.limits.ColdSlots, t.limits.Slots)
}

// MeanServiceTime returns the mean service time, or 0 if it is unknown.
func (t *Tracker) MeanServiceTime() time.Duration {
	return t.mean
}

// Boot returns the boot identity last observed, or "".
func (t *Tracker) Boot() ident.BootID {
	return t.boot
}

// SetLimits applies the limits of a changed document.
func (t *Tracker) SetLimits(limits svcdoc.Limits, now time.Time) {
	t.limits = limits
	if t.phase == Warm && t.completions < limits.WarmAfter {
		t.enter(Warming, ReasonProgress, now)
	}
	if t.phase == Warming && t.completions >= limits.WarmAfter {
		t.enter(Warm, ReasonCompletions, now)
	}
}

// ObserveBoot notes the boot identity that the server stated and reports
// whether the server was found to be another run than before.
func (t *Tracker) ObserveBoot(boot ident.BootID, now time.Time) bool {
	if boot == "" || boot == t.boot {
		return false
	}
	if t.boot == "" {
		t.boot = boot
		t.confirm(now)
		return false
	}
	t.boot = boot
	t.chill(ReasonBootChanged, now)
	return true
}

// ObserveCompletion notes a request that the server completed in the given boot.
// service is its service time, or 0 if it says nothing about the server.
func (t *Tracker) ObserveCompletion(service time.Duration, now time.Time) {
	t.completions++
	if service > 0 && t.observeService(service) {
		t.chill(ReasonSlow, now)
		return
	}
	switch {
	case t.phase != Warm && t.completions >= t.limits.WarmAfter:
		t.enter(Warm, ReasonCompletions, now)
	case t.phase == Cold:
		t.enter(Warming, ReasonProgress, now)
	}
}

// ObserveShed notes that the server refused a request while it was given
// inUse requests, this one included.
func (t *Tracker) ObserveShed(inUse int, now time.Time) {
	if inUse <= t.ConcurrencyLimit() {
		t.chill(ReasonShed, now)
	}
}

// ObserveReset notes a connection that was reset or refused.
func (t *Tracker) ObserveReset(now time.Time) {
	t.chill(ReasonReset, now)
}

// RequireBootConfirmation returns the server to cold until its boot identity proves that it is
// the run that was known before. It is meant for a server that comes back into
// service.
func (t *Tracker) RequireBootConfirmation(now time.Time) {
	if t.boot != "" {
		t.carried = t.Export()
	}
	t.boot = ""
	t.completions = 0
	t.enter(Cold, ReasonReturned, now)
}

// observeService updates the history and reports whether the server has become
// far slower than it.
func (t *Tracker) observeService(service time.Duration) bool {
	if t.phase == Warm && t.samples >= historyMin && service > slowFloor && service > slowFactor*t.mean {
		t.slow++
		if t.slow < slowRun {
			return false
		}
		t.mean, t.samples = service, 1
		return true
	}
	t.slow = 0
	t.samples++
	if t.samples == 1 {
		t.mean = service
		return false
	}
	t.mean += (service - t.mean) / meanWeight
	return false
}

// chill returns the server to cold.
func (t *Tracker) chill(why Reason, now time.Time) {
	t.completions = 0
	t.slow = 0
	t.carried = Handover{}
	t.enter(Cold, why, now)
}

func (t *Tracker) enter(phase Phase, why Reason, now time.Time) {
	t.phase, t.why, t.since = phase, why, now
}
