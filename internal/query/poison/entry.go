package poison

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
)

const (
	// suspectEnds is the number of servers that must have ended while they ran a request,
	// without any server answering it, before its repeats are run with care.
	suspectEnds = 2
	// trustedEnds is the same for a request that servers have answered within trustTime
	// before: it runs all the time, so that it is found wherever a server ends.
	trustedEnds = 4
	trustTime   = 5 * time.Minute
	// uncertainWeight is the weight of an end that the request may not have caused.
	uncertainWeight = 0.5
	// maxEnds is the number of ends that are kept of each request.
	maxEnds = 6
	// maxHold bounds the duration of a quarantine that doubles with each failed trial.
	maxHold = 4 * time.Hour
	// suspectRetention is how long a suspicion is kept after the last end, singleRetention
	// the same for a single end, and clearedRetention how long it is kept that a request
	// was cleared.
	suspectRetention = time.Hour
	singleRetention  = 10 * time.Minute
	clearedRetention = time.Minute
	// messageDelay is the time that a message between VMs may take. Ages in messages are
	// wrong by as much.
	messageDelay = 200 * time.Millisecond
)

// end is the end of a server process that ran the request.
type end struct {
	process notice.Process
	at      time.Time
	// trial is the number of requests of the VM that the process ran if the request ran as a
	// trial, or 0.
	trial int
	// uncertain is set if the process may have ended before it got the request.
	uncertain bool
}

// entry is what is known of one request. It is guarded by the mutex of the ledger.
type entry struct {
	label string
	// ends holds the ends since the request was last cleared, the oldest first, and processes
	// identifies the processes that ended, also those that are not kept in ends.
	ends      []end
	processes coll.Set[processHash]
	// clearedAt is when a server last answered the request, and liftedAt when an operator
	// last lifted its quarantine.
	clearedAt, liftedAt time.Time
	// quarantinedAt is the beginning of the last quarantine, or zero if it was cleared since.
	quarantinedAt time.Time
	hold          time.Duration
	pinned        bool
	// trialUntil is the latest end of the trial in progress.
	trialUntil time.Time
	// blame sums up what trials of all VMs say against the request: each server that ended
	// during one counts as the inverse of the number of requests that it ran. tried identifies
	// the servers that are counted.
	blame float64
	tried coll.Set[processHash]
	// usedAt is when the request last came or something was learnt of it.
	usedAt  time.Time
	refused int
	// published is set once another VM may know of the entry.
	published bool
	// changed is closed at the next change of the state, if somebody waits for it.
	changed chan struct{}
}

// State classifies a request by the evidence against it.
type State uint8

// States of requests.
const (
	// Clear requests run like those that nothing is known of.
	Clear State = iota
	// Suspect requests are run by one VM at one server first.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// stateNames are the names that logs and operators use.
var stateNames = []string{Clear: "clear", Suspect: "suspect", Quarantined: "quarantined"}

// String returns the name that logs and operators use.
func (s State) String() string {
	return stateNames[s]
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	index := slices.Index(stateNames, string(text))
	if index < 0 {
		return errors.Newf("poison: %q is no state of a request", text)
	}
	*s = State(index)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// state returns the state at now.
func (e *entry) state(now time.Time) State {
	switch {
	case e.pinned, !e.quarantinedAt.IsZero() && now.Before(e.quarantinedAt.Add(e.hold)):
		return Quarantined
	case !e.quarantinedAt.IsZero() || e.weight() >= e.suspectEnds(now):
		return Suspect
	default:
		return Clear
	}
}

// isTrusted reports whether a server has answered the request lately.
func (e *entry) isTrusted(now time.Time) bool {
	return !e.clearedAt.IsZero() && now.Sub(e.clearedAt) <= trustTime
}

// weight returns the number of ends, of which an uncertain one counts as a part.
func (e *entry) weight() float64 {
	sum := 0.0
	for _, known := range e.ends {
		if known.uncertain {
			sum += uncertainWeight
		} else {
			sum++
		}
	}
	return sum
}

// suspectEnds returns the weight of ends from which on the request is suspect.
func (e *entry) suspectEnds(now time.Time) float64 {
	if e.isTrusted(now) {
		return trustedEnds
	}
	return suspectEnds
}

// isGuilty reports whether trials have shown that the request ends servers.
func (e *entry) isGuilty(now time.Time) bool {
	if e.isTrusted(now) {
		return e.blame >= trustedBlame && e.weight() >= trustedEnds
	}
	return e.blame >= trialBlame && e.weight() >= minEnds
}

// dropExplained drops the ends that are put down to other requests, and what trials showed.
// It reports whether there were any.
func (e *entry) dropExplained(explained coll.LastSeen[processHash]) bool {
	before := len(e.ends)
	e.ends = slices.DeleteFunc(e.ends, func(known end) bool { return explained.Has(hashOf(known.process)) })
	if len(e.ends) == before {
		return false
	}
	e.blame, e.trialUntil = 0, time.Time{}
	return true
}

// addEnd adds the end of a server, unless it is known or was before the request was cleared. A
// certain end replaces an uncertain one.
func (e *entry) addEnd(added end) (isNew bool) {
	known := func(other end) bool { return other.process == added.process }
	if !added.at.After(e.clearedAt) || !added.at.After(e.liftedAt) {
		return false
	}
	if at := slices.IndexFunc(e.ends, known); at >= 0 {
		if added.uncertain || !e.ends[at].uncertain {
			return false
		}
		e.ends = slices.Delete(e.ends, at, at+1)
	}
	if len(e.processes) < maxProcesses {
		e.processes.Add(hashOf(added.process))
	}
	e.ends = append(e.ends, added)
	slices.SortStableFunc(e.ends, func(a, b end) int { return a.at.Compare(b.at) })
	if len(e.ends) > maxEnds {
		e.ends = slices.Delete(e.ends, 0, len(e.ends)-maxEnds)
	}
	return true
}

// addTrial counts the end of a server during a trial. What trials showed before the end of the
// last quarantine has led to that.
func (e *entry) addTrial(added end) {
	if h := hashOf(added.process); added.trial > 0 && !added.uncertain && len(e.tried) < maxProcesses && !e.tried.Has(h) && !added.at.Before(e.quarantinedAt.Add(e.hold)) {
		e.tried.Add(h)
		e.blame += 1 / float64(added.trial)
	}
}

// lastEnd returns when the last server ended, or zero if none is known.
func (e *entry) lastEnd() time.Time {
	if len(e.ends) == 0 {
		return time.Time{}
	}
	return e.ends[len(e.ends)-1].at
}

// acquit records that the request did not end the servers that ran it at a moment.
func (e *entry) acquit(at time.Time) {
	e.ends = slices.DeleteFunc(e.ends, func(known end) bool { return !known.at.After(at) })
	if !e.pinned && !e.quarantinedAt.After(at) {
		e.quarantinedAt, e.hold = time.Time{}, 0
		clear(e.processes)
	}
	clear(e.tried)
	e.blame, e.trialUntil = 0, time.Time{}
}

// quarantine begins a quarantine, twice as long as the previous one.
func (e *entry) quarantine(now time.Time, shortest time.Duration) {
	e.hold = min(max(2*e.hold, shortest), max(maxHold, shortest))
	e.quarantinedAt, e.blame, e.trialUntil = now, 0, time.Time{}
}

// lastEvidence returns the time of the last event that speaks for or against the request.
func (e *entry) lastEvidence() time.Time {
	last := e.clearedAt
	for _, at := range []time.Time{e.liftedAt, e.quarantinedAt.Add(e.hold)} {
		if at.After(last) {
			last = at
		}
	}
	if at := e.lastEnd(); at.After(last) {
		last = at
	}
	return last
}

// isOutdated reports whether the entry may be forgotten.
func (e *entry) isOutdated(now time.Time) bool {
	retention := clearedRetention
	switch {
	case e.state(now) == Quarantined || now.Before(e.trialUntil):
		return false
	case e.state(now) == Suspect:
		retention = suspectRetention
	case len(e.ends) > 0:
		retention = singleRetention
	default:
	}
	return now.Sub(e.lastEvidence()) > retention
}

// record returns what other VMs get to know of the entry.
func (e *entry) record(now time.Time, f Fingerprint) Record {
	r := Record{
		Fingerprint: f[:], Label: e.label, ClearedAgo: age(now, e.clearedAt), LiftedAgo: age(now, e.liftedAt),
		TrialLeft: max(e.trialUntil.Sub(now).Milliseconds(), 0), QuarantinedAgo: age(now, e.quarantinedAt), Hold: e.hold.Milliseconds(), Pinned: e.pinned,
	}
	if now.Sub(e.quarantinedAt) < tellProcesses {
		r.Processes = encodeHashes(e.processes)
	}
	for _, known := range e.ends {
		r.Ends = append(r.Ends, EndRecord{Server: string(known.process.ID), Born: known.process.Born, Ago: age(now, known.at), Trial: known.trial, Uncertain: known.uncertain})
	}
	return r
}

// isLater reports whether a time that another VM told is that of a later event than a known
// one, rather than of the same event after a slow message.
func isLater(told, known time.Time) bool {
	return told.Sub(known) > messageDelay || known.IsZero() && !told.IsZero()
}

// merge adds what another VM knows, apart from the ends.
func (e *entry) merge(now time.Time, r *Record) {
	if e.label == "" {
		e.label = trimLabel(r.Label)
	}
	e.mergeLift(now, r)
	e.mergeAnswer(now, r)
	e.mergeQuarantine(now, r)
	if trial := now.Add(min(milliseconds(r.TrialLeft), trialTime)); r.TrialLeft > 0 && trial.After(e.trialUntil) {
		e.trialUntil = trial
	}
}

// mergeLift adds that an operator lifted the quarantine.
func (e *entry) mergeLift(now time.Time, r *Record) {
	lifted := before(now, r.LiftedAgo)
	if !isLater(lifted, e.liftedAt) {
		return
	}
	e.liftedAt = lifted
	if !e.quarantinedAt.After(lifted) {
		e.pinned = false
	}
	e.acquit(lifted)
}

// mergeAnswer adds that a server answered the request. A quarantine is revoked that was decided
// without knowing of any answer, unless the other VM knows of it, too.
func (e *entry) mergeAnswer(now time.Time, r *Record) {
	cleared := before(now, r.ClearedAgo)
	if !isLater(cleared, e.clearedAt) {
		return
	}
	wasTrusted := e.isTrusted(now)
	e.clearedAt = cleared
	e.acquit(cleared)
	if !wasTrusted && e.isTrusted(now) && !e.pinned && r.QuarantinedAgo < 0 {
		e.quarantinedAt, e.hold = time.Time{}, 0
	}
}

// mergeQuarantine adds a quarantine, unless this VM knows better.
func (e *entry) mergeQuarantine(now time.Time, r *Record) {
	quarantined := before(now, r.QuarantinedAgo)
	if e.contests(now, r) || !isLater(quarantined, e.quarantinedAt) || !quarantined.After(e.liftedAt) || !r.Pinned && !quarantined.After(e.clearedAt) {
		return
	}
	e.quarantinedAt, e.hold = quarantined, milliseconds(r.Hold)
	e.pinned = e.pinned || r.Pinned
	for _, h := range decodeHashes(r.Processes[:min(len(r.Processes), 4*maxProcesses)]) {
		e.processes.Add(h)
	}
	e.blame, e.trialUntil = 0, time.Time{}
}

// contests reports whether another VM quarantined the request without knowing that servers had
// answered it lately.
func (e *entry) contests(now time.Time, r *Record) bool {
	return r.QuarantinedAgo >= 0 && !r.Pinned && r.ClearedAgo < 0 && e.isTrusted(now)
}
