package member

import (
	"cmp"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

const (
	defaultSuspectAfter   = 1600 * time.Millisecond
	defaultPauseThreshold = 400 * time.Millisecond
	minReprobeDelay       = 500 * time.Millisecond
	maxReprobeDelay       = 30 * time.Second
	maxBackoffSteps       = 8
)

// DetectorOptions sets when a monitor probes a member.
type DetectorOptions struct {
	// SuspectAfter is the time without a message from a member after which it is
	// probed. 0 means 1.6 s.
	SuspectAfter time.Duration
	// PauseThreshold is the time between two calls of MembersToProbe from which on
	// the monitor's own process counts as paused in between. 0 means 400 ms.
	PauseThreshold time.Duration
}

// Detector finds the members from which a monitor no longer receives messages.
type Detector struct {
	options   DetectorOptions
	states    map[ident.Process]*memberState
	lastCheck time.Time
}

// memberState is a detector's state of one member. After a failed probe lastHeard
// is a computed time that delays the next probe.
type memberState struct {
	member    view.Member
	lastHeard time.Time
	probing   bool
	// failedProbes is the number of consecutive failed probes.
	failedProbes int
}

// NewDetector returns a detector that watches no members.
func NewDetector(options DetectorOptions) *Detector {
	options.SuspectAfter = cmp.Or(options.SuspectAfter, defaultSuspectAfter)
	options.PauseThreshold = cmp.Or(options.PauseThreshold, defaultPauseThreshold)
	return &Detector{options: options, states: map[ident.Process]*memberState{}}
}

// Watch replaces the watched members. New ones count as heard from at now.
func (d *Detector) Watch(members []view.Member, now time.Time) {
	next := make(map[ident.Process]*memberState, len(members))
	for _, m := range members {
		state, known := d.states[m.Process]
		if !known {
			state = &memberState{lastHeard: now}
		}
		state.member = m
		next[m.Process] = state
	}
	d.states = next
}

// Heard records that a message from a process arrived.
func (d *Detector) Heard(p ident.Process, now time.Time) {
	if state, ok := d.states[p]; ok {
		state.lastHeard, state.failedProbes = now, 0
	}
}

// MembersToProbe returns the silent members, to be probed on a new connection.
// ProbeEnded has to be called for each. The time during which this process itself
// was paused does not count as silence.
func (d *Detector) MembersToProbe(now time.Time) []view.Member {
	paused := now.Sub(d.lastCheck)
	if d.lastCheck.IsZero() || paused < d.options.PauseThreshold {
		paused = 0
	}
	d.lastCheck = now
	var overdue []view.Member
	for _, state := range d.states {
		state.lastHeard = state.lastHeard.Add(paused)
		if !state.probing && now.Sub(state.lastHeard) >= d.options.SuspectAfter {
			state.probing = true
			overdue = append(overdue, state.member)
		}
	}
	return overdue
}

// ProbeEnded records the result of a probe and reports whether the member is to be
// suspected: it was silent, and the probe on a new connection failed too. The
// next probe follows after an exponential backoff.
func (d *Detector) ProbeEnded(p ident.Process, alive bool, now time.Time) bool {
	state, ok := d.states[p]
	if !ok {
		return false
	}
	state.probing = false
	if alive {
		state.lastHeard, state.failedProbes = now, 0
		return false
	}
	silent := now.Sub(state.lastHeard) >= d.options.SuspectAfter
	wait := min(minReprobeDelay<<min(state.failedProbes, maxBackoffSteps), maxReprobeDelay)
	state.lastHeard = now.Add(wait - d.options.SuspectAfter)
	state.failedProbes++
	return silent
}
