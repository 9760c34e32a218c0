// Package claim decides whether a non-idempotent action may run, so that it
// runs at most once. It takes events and the time as arguments and holds no
// clock.
//
// A key is claimed: the claim is replicated first, then the action is
// dispatched, and its outcome is kept for those who ask again. A key whose
// claim is known but not its outcome is never run.
package claim

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// Defaults of Options.
const (
	DefaultMaxAge       = 10 * time.Minute
	DefaultMaxClockSkew = 30 * time.Second
)

// Options holds the settings of a table. The zero value is useful.
type Options struct {
	// MaxAge is the age above which keys are refused.
	MaxAge time.Duration
	// Skew is the largest difference between two clocks.
	MaxClockSkew time.Duration
}

// Key identifies an action.
type Key struct {
	Group ident.GroupID
	ID    string
}

// Waiter is a sub-request that waits for the outcome of an action.
type Waiter struct {
	From  ident.Process
	Query uint64
	Seq   uint32
}

// Ask is one request to run an action.
type Request struct {
	Key Key
	// Issued is the time that the key carries.
	Issued time.Time
	// Digest identifies what the action does.
	Digest uint64
	Waiter Waiter
	// Term is that of the lease under which this process answers.
	Term uint64
	// Since is the time from which on all claims of the group are known. It is
	// zero if none was ever lost.
	ClaimsSince time.Time
}

// Verdict is what to do with an request.
type Decision uint8

// Verdicts on an request.
const (
	// Replicate asks the caller to replicate the claim and to call Claimed.
	Replicate Decision = iota
	// Wait means that the outcome will be given to the waiter.
	Wait
	// Answer means that the answer is known.
	Answer
)

// state is how far an action is.
type state uint8

const (
	stateReplicating state = iota
	stateDispatched
	stateDone
	stateUnknown
)

type entry struct {
	state   state
	issued  time.Time
	digest  uint64
	term    uint64
	answer  msgs.Answer
	waiters []Waiter
}

// Table holds the actions of the groups whose home this process is. Use New to
// make one. It is not safe for concurrent use.
type Table struct {
	opts        Options
	entries     map[Key]*entry
	loadedTerms map[ident.GroupID]uint64
}

// New returns an empty table.
func New(opts Options) *Table {
	if opts.MaxAge <= 0 {
		opts.MaxAge = DefaultMaxAge
	}
	if opts.MaxClockSkew <= 0 {
		opts.MaxClockSkew = DefaultMaxClockSkew
	}
	return &Table{opts: opts, entries: map[Key]*entry{}, loadedTerms: map[ident.GroupID]uint64{}}
}

// Begin decides on an request. The claims of the group must have been loaded under
// the ask's term.
func (t *Table) Begin(request Request, now time.Time) (Decision, msgs.Answer) {
	if e, known := t.entries[request.Key]; known {
		return e.join(request)
	}
	if status, refused := t.refuse(request, now); refused {
		return Answer, msgs.Answer{Status: status}
	}
	t.entries[request.Key] = &entry{
		state: stateReplicating, issued: request.Issued, digest: request.Digest, term: request.Term,
		waiters: []Waiter{request.Waiter},
	}
	return Replicate, msgs.Answer{}
}

// again answers an ask for a known key.
func (e *entry) join(request Request) (Decision, msgs.Answer) {
	switch {
	case e.state == stateUnknown || e.digest != request.Digest:
		return Answer, unknownAnswer()
	case e.state == stateDone:
		return Answer, e.answer
	default:
		e.waiters = append(e.waiters, request.Waiter)
		return Wait, msgs.Answer{}
	}
}

// refuse decides whether a key that has no claim must not run. A key that may
// have run under a claim that is not known any more is unknown.
func (t *Table) refuse(request Request, now time.Time) (msgs.Status, bool) {
	ahead := request.Issued.Sub(now)
	switch {
	case ahead > 2*t.opts.MaxClockSkew:
		return msgs.StatusNotRun, true
	case ahead > t.opts.MaxClockSkew, -ahead > t.opts.MaxAge:
		return msgs.StatusLate, true
	case !request.ClaimsSince.IsZero() && request.Issued.Before(request.ClaimsSince.Add(t.opts.MaxClockSkew)):
		return msgs.StatusLate, true
	}
	return 0, false
}

// Claimed notes the end of the replication of a claim: ok if a majority has it,
// and leased if this process still holds the lease under the ask's term. It
// reports whether the action is to be dispatched now. If not, the waiters get
// the returned answer.
func (t *Table) ClaimReplicated(key Key, term uint64, ok, leased bool) (dispatch bool, answer msgs.Answer, waiters []Waiter) {
	e, known := t.entries[key]
	if !known || e.state != stateReplicating || e.term != term {
		return false, msgs.Answer{}, nil
	}
	switch {
	case ok && leased:
		e.state = stateDispatched
		return true, msgs.Answer{}, nil
	case ok:
		e.state = stateUnknown
		return false, msgs.Answer{Status: msgs.StatusWrongOwner}, e.takeWaiters()
	case leased:
		delete(t.entries, key)
		return false, msgs.Answer{Status: msgs.StatusNotRun}, e.takeWaiters()
	default:
		delete(t.entries, key)
		return false, msgs.Answer{Status: msgs.StatusWrongOwner}, e.takeWaiters()
	}
}

// Resolve notes the final answer to a dispatched action and returns who waits
// for it. An answer that says for sure that the action was not run frees the
// key, so that it can be asked again. An answer that arrives after the action
// was unknown replaces that.
func (t *Table) Resolve(key Key, answer msgs.Answer) []Waiter {
	e, known := t.entries[key]
	if !known || (e.state != stateDispatched && e.state != stateUnknown) {
		return nil
	}
	switch answer.Status {
	case msgs.StatusOK:
		e.state, e.answer = stateDone, answer
	case msgs.StatusNotRun, msgs.StatusWrongVersion, msgs.StatusWrongOwner:
		if e.state == stateUnknown {
			return nil
		}
		delete(t.entries, key)
	default:
		e.state = stateUnknown
	}
	return e.takeWaiters()
}

// Expire drops the actions whose keys are too old to be asked again.
func (t *Table) Expire(now time.Time) {
	oldest := now.Add(-t.opts.MaxAge - t.opts.MaxClockSkew)
	for key, e := range t.entries {
		final := e.state == stateDone || e.state == stateUnknown
		if final && e.issued.Before(oldest) {
			delete(t.entries, key)
		}
	}
}

// Len returns the number of known actions, and of those without an outcome yet.
func (t *Table) Counts() (known, pending int) {
	for _, e := range t.entries {
		if e.state == stateReplicating || e.state == stateDispatched {
			pending++
		}
	}
	return len(t.entries), pending
}

func (e *entry) takeWaiters() []Waiter {
	waiters := e.waiters
	e.waiters = nil
	return waiters
}

// unknown is the answer if the action may have run.
func unknownAnswer() msgs.Answer {
	return msgs.Answer{Status: msgs.StatusLate}
}
