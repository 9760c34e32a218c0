// Package warmth decides how many concurrent requests one backend server may
// receive while it warms up. It takes observations and the time as arguments and
// reads no clock.
package warmth

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
)

// Phase is the progress of a backend server's warm-up.
type Phase string

// Phases of a backend server: cold before the first completed request, warming
// until Limits.WarmAfter requests have completed, then warm.
const (
	Cold    Phase = "cold"
	Warming Phase = "warming"
	Warm    Phase = "warm"
)

// Reason states why a server entered its phase.
type Reason string

// Reasons for a change of phase.
const (
	ReasonFirstContact Reason = "first contact"
	ReasonHandover     Reason = "boot identity matches the earlier state"
	ReasonBootChanged  Reason = "boot identity changed"
	ReasonReset        Reason = "connection reset or refused"
	ReasonShed         Reason = "request shed within the concurrency limit"
	ReasonSlow         Reason = "service time far above its history"
	ReasonCompletions  Reason = "enough requests completed"
	ReasonProgress     Reason = "requests completed"
	ReasonReturned     Reason = "server returned to service"
)

const (
	// minHistorySamples is the number of service times from which on new ones are
	// compared with their mean.
	minHistorySamples = 32
	// A server has become slow if slowStreak service times in a row are longer
	// than slowFloor and than slowFactor times the mean.
	slowFactor = 8
	slowFloor  = 20 * time.Millisecond
	slowStreak = 4
	// historyWeight is the divisor of the exponential moving average: a sample
	// changes the mean by 1/historyWeight of the difference.
	historyWeight = 8
)

// Tracker tracks the warmth of one backend server. Use New to make one. It is
// not safe for concurrent use.
type Tracker struct {
	limits      svcdoc.Limits
	boot        ident.BootID
	phase       Phase
	reason      Reason
	since       time.Time
	completions int
	// imported is the state from the previous owner, or from before
	// RequireBootConfirmation, until the server states its boot identity.
	imported Handover
	mean     time.Duration
	// samples is the number of service times in the mean.
	samples         int
	consecutiveSlow int
}

// New returns the tracker of a server without history, which is cold.
func New(limits svcdoc.Limits, now time.Time) *Tracker {
	return &Tracker{limits: limits, phase: Cold, reason: ReasonFirstContact, since: now}
}

// ConcurrencyLimit returns the number of requests that the server may have at once
// in its current phase.
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

// Boot returns the boot identity last observed, or "" if there is none or it has
// to be confirmed.
func (t *Tracker) Boot() ident.BootID {
	return t.boot
}

// SetLimits applies the limits of a changed service document.
func (t *Tracker) SetLimits(limits svcdoc.Limits, now time.Time) {
	t.limits = limits
	if t.phase == Warm && t.completions < limits.WarmAfter {
		t.setPhase(Warming, ReasonProgress, now)
	}
	if t.phase == Warming && t.completions >= limits.WarmAfter {
		t.setPhase(Warm, ReasonCompletions, now)
	}
}

// ObserveBoot applies the boot identity that the server stated. It reports whether
// the identity changed, which means that the server's process was replaced.
func (t *Tracker) ObserveBoot(boot ident.BootID, now time.Time) bool {
	if boot == "" || boot == t.boot {
		return false
	}
	if t.boot == "" {
		t.boot = boot
		t.applyImported(now)
		return false
	}
	t.boot = boot
	t.resetToCold(ReasonBootChanged, now)
	return true
}

// ObserveCompletion records a request that the server completed. service is its
// service time, or 0 if it cannot be compared with that of other requests.
func (t *Tracker) ObserveCompletion(service time.Duration, now time.Time) {
	t.completions++
	if service > 0 && t.observeService(service) {
		t.resetToCold(ReasonSlow, now)
		return
	}
	switch {
	case t.phase != Warm && t.completions >= t.limits.WarmAfter:
		t.setPhase(Warm, ReasonCompletions, now)
	case t.phase == Cold:
		t.setPhase(Warming, ReasonProgress, now)
	}
}

// ObserveShed records that the server shed a request while it had inUse requests,
// this one included. A server that sheds within its concurrency limit returns to
// cold.
func (t *Tracker) ObserveShed(inUse int, now time.Time) {
	if inUse <= t.ConcurrencyLimit() {
		t.resetToCold(ReasonShed, now)
	}
}

// ObserveReset records a connection that was reset or refused, which returns the
// server to cold.
func (t *Tracker) ObserveReset(now time.Time) {
	t.resetToCold(ReasonReset, now)
}

// RequireBootConfirmation returns the server to cold. It regains its warmth if it
// next states the same boot identity as before. It is called when a server comes
// back into service.
func (t *Tracker) RequireBootConfirmation(now time.Time) {
	if t.boot != "" {
		t.imported = t.Export()
	}
	t.boot = ""
	t.completions = 0
	t.setPhase(Cold, ReasonReturned, now)
}

// observeService adds a service time to the mean and reports whether the server
// has become slow, as defined at slowFactor. Slow samples do not change the mean
// until then.
func (t *Tracker) observeService(service time.Duration) bool {
	if t.phase == Warm && t.samples >= minHistorySamples && service > slowFloor && service > slowFactor*t.mean {
		t.consecutiveSlow++
		if t.consecutiveSlow < slowStreak {
			return false
		}
		t.mean, t.samples = service, 1
		return true
	}
	t.consecutiveSlow = 0
	t.samples++
	if t.samples == 1 {
		t.mean = service
		return false
	}
	t.mean += (service - t.mean) / historyWeight
	return false
}

// resetToCold returns the server to cold and discards imported state.
func (t *Tracker) resetToCold(reason Reason, now time.Time) {
	t.completions = 0
	t.consecutiveSlow = 0
	t.imported = Handover{}
	t.setPhase(Cold, reason, now)
}

func (t *Tracker) setPhase(phase Phase, reason Reason, now time.Time) {
	t.phase, t.reason, t.since = phase, reason, now
}
