package member

import (
	"cmp"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

const (
	defaultSuspectAfter = 1600 * time.Millisecond
	defaultPause        = 400 * time.Millisecond
	reprobeAfter        = 500 * time.Millisecond
	maxReprobe          = 30 * time.Second
	maxBackoffSteps     = 8
)

// DetectorOptions sets when a monitor becomes suspicious.
type DetectorOptions struct {
	// SuspectAfter is the silence after which a member is probed. 0 means 1.6 s.
	SuspectAfter time.Duration
	// PauseThreshold is the gap between two checks above which the monitor takes itself
	// to have been paused. 0 means 400 ms.
	PauseThreshold time.Duration
}

// Detector finds the members that a monitor no longer hears.
type Detector struct {
	options DetectorOptions
	watched map[ident.Process]*watch
	checked time.Time
}

// watch is what a detector knows of one member.
type watch struct {
	member  view.Member
	heard   time.Time
	probing bool
	// failures counts the probes that failed in a row.
	failures int
}

// NewDetector returns a detector that watches nobody.
func NewDetector(options DetectorOptions) *Detector {
	options.SuspectAfter = cmp.Or(options.SuspectAfter, defaultSuspectAfter)
	options.PauseThreshold = cmp.Or(options.PauseThreshold, defaultPause)
	return &Detector{options: options, watched: map[ident.Process]*watch{}}
}

// Watch replaces the members to watch. New ones count as heard at now.
func (d *Detector) Watch(members []view.Member, now time.Time) {
	next := make(map[ident.Process]*watch, len(members))
	for _, m := range members {
		w, known := d.watched[m.Process]
		if !known {
			w = &watch{heard: now}
		}
		w.member = m
		next[m.Process] = w
	}
	d.watched = next
}

// Heard notes a sign of life of a process.
func (d *Detector) Heard(p ident.Process, now time.Time) {
	if w, ok := d.watched[p]; ok {
		w.heard, w.failures = now, 0
	}
}

// MembersToProbe returns the members to probe on a fresh connection. Time during which
// this process itself was paused does not count as silence.
func (d *Detector) MembersToProbe(now time.Time) []view.Member {
	paused := now.Sub(d.checked)
	if d.checked.IsZero() || paused < d.options.PauseThreshold {
		paused = 0
	}
	d.checked = now
	var overdue []view.Member
	for _, w := range d.watched {
		w.heard = w.heard.Add(paused)
		if !w.probing && now.Sub(w.heard) >= d.options.SuspectAfter {
			w.probing = true
			overdue = append(overdue, w.member)
		}
	}
	return overdue
}

// ProbeEnded takes the outcome of a probe and reports whether the member is to be
// accused: it was silent, and a fresh connection failed too.
func (d *Detector) ProbeEnded(p ident.Process, alive bool, now time.Time) bool {
	w, ok := d.watched[p]
	if !ok {
		return false
	}
	w.probing = false
	if alive {
		w.heard, w.failures = now, 0
		return false
	}
	silent := now.Sub(w.heard) >= d.options.SuspectAfter
	wait := min(reprobeAfter<<min(w.failures, maxBackoffSteps), maxReprobe)
	w.heard = now.Add(wait - d.options.SuspectAfter)
	w.failures++
	return silent
}
