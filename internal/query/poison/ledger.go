package poison

import (
	"bytes"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
)

const (
	// trialTime is how long the repeats of a suspect request wait for the trial in progress.
	trialTime = 500 * time.Millisecond
	// trialBlame is the blame from which on a suspect request is quarantined: a server that
	// ran nothing else ended during its trial, or two that ran one more request each.
	trialBlame = 1
	// trustedBlame is the same for a request that servers have answered before.
	trustedBlame = 3
	// minEnds is the least number of ended servers for which a request is quarantined.
	minEnds = 3
	// defaultMaxEntries bounds the requests that are remembered.
	defaultMaxEntries = 8192
	// evictionSample is the number of entries of which the least useful one gives way to a
	// new one.
	evictionSample = 24
	// maxLabel bounds the length of a label in bytes.
	maxLabel = 80
	// defaultHold is the default of Options.Hold.
	defaultHold = 10 * time.Minute
)

// Options holds the settings of a Ledger. The zero value selects the defaults.
type Options struct {
	// Hold is the duration of the first quarantine of a request.
	Hold time.Duration
	// MaxEntries bounds the requests that are remembered.
	MaxEntries int
	// Events logs the decisions. It may be nil.
	Events *events.Recorder
}

// Ledger holds the evidence against requests, of this VM and of others, and decides which
// ones may run. A request that ended two servers, and that no server has answered since, is
// suspect: one repeat at a time runs, at one server. If that server answers, the request is
// cleared; if it ends too, the request is quarantined. Ledger is safe for concurrent use. A
// nil Ledger lets all requests run.
type Ledger struct {
	options Options
	// count is the number of entries. While it is 0, requests need no fingerprint.
	count atomic.Int64
	wake  chan struct{}

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// dirty holds the entries that changed since they were last published.
	dirty coll.Set[Fingerprint]
	// answers remembers the requests that servers answered lately, and explained the processes
	// whose ends are put down to quarantined requests.
	answers   recentAnswers
	explained coll.LastSeen[processHash]
	byProcess processIndex
	// rotation holds the entries that Page has yet to return.
	rotation []Fingerprint
}

// NewLedger returns a ledger without evidence.
func NewLedger(options Options) *Ledger {
	options.Hold = coll.Positive(options.Hold, defaultHold)
	options.MaxEntries = coll.Positive(options.MaxEntries, defaultMaxEntries)
	return &Ledger{options: options, wake: make(chan struct{}, 1), entries: map[Fingerprint]*entry{}, dirty: coll.NewSet[Fingerprint](), explained: coll.LastSeen[processHash]{}, byProcess: processIndex{}}
}

// Verdict says whether a request may run.
type Verdict uint8

// Verdicts.
const (
	// Run means that the request may run.
	Run Verdict = iota
	// Try means that it may run at one server at a time, as a trial. The caller has to call
	// EndTrial.
	Try
	// Wait means that a trial is in progress.
	Wait
	// Refuse means that the request is quarantined.
	Refuse
)

// Decision is what to do with a request.
type Decision struct {
	Verdict Verdict
	// Ends is the number of servers known to have ended while they ran the request, and
	// LastEnd when the last one did.
	Ends    int
	LastEnd time.Time
	// Trusted is set if servers have answered the request lately, if the verdict is Try.
	Trusted bool
	// RetryAfter is the time until the request may be tried again, if it is refused.
	RetryAfter time.Duration
	// Until is the latest end of the trial in progress, and Changed is closed if it ends
	// before, if the verdict is Wait.
	Until   time.Time
	Changed <-chan struct{}
}

// Empty reports whether there is no evidence against any request, so that all may run.
func (l *Ledger) Empty() bool {
	return l == nil || l.count.Load() == 0
}

// Decide decides whether a request that arrives at now may run.
func (l *Ledger) Decide(now time.Time, f Fingerprint) Decision {
	if l.Empty() {
		return Decision{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil {
		return Decision{}
	}
	e.usedAt = now
	switch {
	case e.state(now) == Quarantined:
		e.refused++
		return Decision{Verdict: Refuse, Ends: len(e.ends), RetryAfter: l.retryAfter(now, e)}
	case e.state(now) == Clear:
		return Decision{Verdict: Run, Ends: len(e.ends)}
	case now.Before(e.trialUntil):
		if e.changed == nil {
			e.changed = make(chan struct{})
		}
		return Decision{Verdict: Wait, Until: e.trialUntil, Changed: e.changed}
	default:
		e.trialUntil = now.Add(trialTime)
		l.publish(f, e)
		return Decision{Verdict: Try, Ends: max(len(e.ends), suspectEnds), LastEnd: e.lastEnd(), Trusted: e.isTrusted(now)}
	}
}

// retryAfter returns the time until a quarantined request may be tried again.
func (l *Ledger) retryAfter(now time.Time, e *entry) time.Duration {
	if e.pinned {
		return l.options.Hold
	}
	return e.quarantinedAt.Add(e.hold).Sub(now)
}

// State returns the state of a request.
func (l *Ledger) State(now time.Time, f Fingerprint) State {
	if l.Empty() {
		return Clear
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[f]; e != nil {
		return e.state(now)
	}
	return Clear
}

// End is the end of a server process while it ran a request.
type End struct {
	Process notice.Process
	// Shared is the number of requests of this VM that the process ran, including this one.
	Shared int
	// Trial is set if the request ran as a trial.
	Trial bool
	// Uncertain is set if the process may have ended before it got the request. Such an end
	// makes a request suspect, but proves nothing.
	Uncertain bool
}

// ServerEnded records that a server process ended while it ran a request that no server has
// answered. head holds its request line, for operators.
func (l *Ledger) ServerEnded(now time.Time, f Fingerprint, head []byte, ended End) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, f)
	e.label = labelOf(head)
	before := e.state(now)
	added := end{process: ended.Process, at: now, uncertain: ended.Uncertain}
	if ended.Trial {
		added.trial = max(ended.Shared, 1)
	}
	if !l.addEnd(now, f, e, added) {
		return
	}
	l.judge(now, e)
	l.report(now, f, e, before, "servers ended while they ran it")
	l.publish(f, e)
}

// addEnd adds an end to an entry, unless it is known or put down to another request.
func (l *Ledger) addEnd(now time.Time, f Fingerprint, e *entry, added end) (isNew bool) {
	if e.isTrusted(now) && l.explained.Has(hashOf(added.process)) || !e.addEnd(added) {
		return false
	}
	l.byProcess.add(added.process, f)
	e.addTrial(added)
	return true
}

// judge quarantines a suspect request if trials have shown that it ends servers. It reports
// whether it did.
func (l *Ledger) judge(now time.Time, e *entry) bool {
	if e.state(now) != Suspect || !e.isGuilty(now) {
		return false
	}
	e.quarantine(now, l.options.Hold)
	l.explain(now, e)
	return true
}

// Completed records that a server answered a request.
func (l *Ledger) Completed(now time.Time, f Fingerprint) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers.add(now, f)
	e := l.entries[f]
	if e == nil {
		return
	}
	isNews := len(e.ends) > 0 || !e.quarantinedAt.IsZero()
	before := e.state(now)
	e.clearedAt, e.usedAt = now, now
	e.acquit(now)
	if !isNews {
		return
	}
	if !e.published && !e.pinned {
		l.remove(f)
		return
	}
	l.report(now, f, e, before, "a server answered it")
	l.publish(f, e)
}

// AnsweredSince reports whether a server has answered a request since a time.
func (l *Ledger) AnsweredSince(since time.Time, f Fingerprint) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answers.last(f).After(since)
}

// EndTrial records that a trial has ended, whatever came out.
func (l *Ledger) EndTrial(f Fingerprint) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[f]; e != nil {
		e.trialUntil = time.Time{}
		e.wakeWaiting()
	}
}

// entry returns the entry of a request. If there is none, it adds one, in place of a less
// useful one if there are too many.
func (l *Ledger) entry(now time.Time, f Fingerprint) *entry {
	e := l.entries[f]
	if e == nil {
		if len(l.entries) >= l.options.MaxEntries {
			l.evict(now)
		}
		e = &entry{processes: coll.NewSet[processHash](), tried: coll.NewSet[processHash](), clearedAt: l.answers.last(f)}
		l.entries[f] = e
		l.count.Store(int64(len(l.entries)))
	}
	e.usedAt = now
	return e
}

// evict removes the least useful of some random entries: the one with the weakest state, and
// of these the one that was used least recently.
func (l *Ledger) evict(now time.Time) {
	var victim Fingerprint
	var least *entry
	seen := 0
	for f, e := range l.entries {
		if least == nil || e.rank(now) < least.rank(now) || e.rank(now) == least.rank(now) && e.usedAt.Before(least.usedAt) {
			victim, least = f, e
		}
		if seen++; seen >= evictionSample {
			break
		}
	}
	l.options.Events.Sample("quarantine_full", "ledger", "the least useful entry was dropped", slog.Int("entries", len(l.entries)), slog.String("state", least.state(now).String()))
	l.remove(victim)
}

// rank orders entries by how much is lost without them.
func (e *entry) rank(now time.Time) int {
	switch {
	case e.pinned:
		return maxEnds + int(Quarantined) + 1
	case e.state(now) == Clear:
		return 0
	default:
		return int(e.state(now))
	}
}

func (l *Ledger) remove(f Fingerprint) {
	if e := l.entries[f]; e != nil {
		e.wakeWaiting()
	}
	delete(l.entries, f)

	l.dirty.Remove(f)
	l.count.Store(int64(len(l.entries)))
}

// wakeWaiting wakes the requests that wait for a change of the state.
func (e *entry) wakeWaiting() {
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
}

// publish marks an entry to be told to other VMs, and wakes the requests that wait for it.
func (l *Ledger) publish(f Fingerprint, e *entry) {
	e.wakeWaiting()
	l.dirty.Add(f)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// stateEvents are the events that log that requests came into each state.
var stateEvents = [...]string{Clear: "request_cleared", Suspect: "request_suspected", Quarantined: "request_condemned"}

// report logs a change of the state of a request.
func (l *Ledger) report(now time.Time, f Fingerprint, e *entry, before State, reason string) {
	state := e.state(now)
	if state == before {
		return
	}
	servers := make([]string, len(e.ends))
	for i, known := range e.ends {
		servers[i] = string(known.process.ID)
	}
	l.options.Events.Record(stateEvents[state], f.String(), reason, slog.String("before", before.String()), slog.String("label", e.label),
		slog.Any("servers", servers), slog.Duration("hold", e.hold))
}

// labelOf returns the method and the target in a request line, shortened.
func labelOf(head []byte) string {
	line, _, _ := bytes.Cut(head, []byte("\r\n"))
	line, _ = bytes.CutSuffix(line, []byte(" HTTP/1.1"))
	return trimLabel(string(line))
}

func trimLabel(text string) string {
	return text[:min(len(text), maxLabel)]
}

// Sweep removes outdated entries. It is to be called regularly.
func (l *Ledger) Sweep(now time.Time) {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byProcess = processIndex{}
	for f, e := range l.entries {
		if e.isOutdated(now) {
			l.remove(f)
			continue
		}
		for _, known := range e.ends {
			l.byProcess.add(known.process, f)
		}
	}
	l.explained.RemoveOlder(now, explainedFor)
}
