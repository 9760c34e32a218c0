// Package claim decides whether a non-idempotent action may run, so that each action runs
// at most once. It does no I/O and reads no clock: events and the time are arguments.
//
// Each action has a key. First a claim of the key is replicated, then the action is
// dispatched, and its outcome is kept for repeated requests. An action whose claim is known
// but whose outcome is not is never run again; its outcome is unknown.
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

// Options holds the settings of a Table. The zero value selects the defaults.
type Options struct {
	// MaxAge is the maximum age of a key. Older keys are refused.
	MaxAge time.Duration
	// MaxClockSkew is the maximum difference between the clocks of two machines.
	MaxClockSkew time.Duration
}

// Key identifies an action.
type Key struct {
	// Group is the group whose lease holder coordinates the action.
	Group ident.GroupID
	// ID is the key that the caller chose, a UUIDv7.
	ID string
}

// Waiter identifies a sub-request that waits for the outcome of an action.
type Waiter struct {
	From  ident.Process
	Query uint64
	Seq   uint32
}

// Request is a request to run an action.
type Request struct {
	Key Key
	// Issued is the time at which the key was created; see IssuedAt.
	Issued time.Time
	// Digest is a hash of what the action does; see the function Digest.
	Digest uint64
	Waiter Waiter
	// Term is the term of the lease under which this process handles the request.
	Term uint64
	// ClaimsCompleteSince is the time since which all claims of the group are known. It is zero
	// if none was ever lost.
	ClaimsCompleteSince time.Time
}

// Decision is how to proceed with a request.
type Decision uint8

// Decisions on a request.
const (
	// Replicate means that the caller has to replicate the claim and then call
	// ClaimReplicated.
	Replicate Decision = iota
	// Wait means that a later call returns the waiter together with the outcome.
	Wait
	// Answer means that the answer is known and returned.
	Answer
)

// state is the progress of an action.
type state uint8

const (
	// stateReplicating means that the claim is being replicated.
	stateReplicating state = iota
	// stateDispatched means that the claim is replicated and the action may be running.
	stateDispatched
	// stateDone means that the action ran and its outcome is known.
	stateDone
	// stateUnknown means that the action may have run and must not run again.
	stateUnknown
)

// entry is an action in the table.
type entry struct {
	state   state
	issued  time.Time
	digest  uint64
	term    uint64
	answer  msgs.Answer
	waiters []Waiter
}

// Table holds the actions of the groups whose lease this process holds. Use New to create
// one. It is not safe for concurrent use.
type Table struct {
	opts    Options
	entries map[Key]*entry
	// loadedTerms holds, for each group, the lease term whose claims were loaded last.
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

// Begin decides on a request. The claims of the group must have been loaded for the
// request's term. The returned answer is only set if the decision is Answer.
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

// join decides on a request for a known key. A request with a different digest reuses the
// key for another action, so its outcome is reported as unknown.
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

// refuse decides whether an action without a known claim must not run, and returns the
// status to answer. The outcome is unknown if the action may have run under a claim that
// was dropped or lost, or at a VM whose clock is ahead. A key from more than twice the clock
// skew ahead was not accepted at any VM, so the action has not run.
func (t *Table) refuse(request Request, now time.Time) (msgs.Status, bool) {
	ahead := request.Issued.Sub(now)
	switch {
	case ahead > 2*t.opts.MaxClockSkew:
		return msgs.StatusNotRun, true
	case ahead > t.opts.MaxClockSkew, -ahead > t.opts.MaxAge:
		return msgs.StatusLate, true
	case !request.ClaimsCompleteSince.IsZero() && request.Issued.Before(request.ClaimsCompleteSince.Add(t.opts.MaxClockSkew)):
		return msgs.StatusLate, true
	}
	return 0, false
}

// ClaimReplicated records the end of the replication of a claim. ok is set if a majority of
// the voters stored the claim, and leased if this process still holds the lease under the
// request's term. It returns whether the caller has to dispatch the action. If not, the
// returned waiters get the returned answer.
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

// Resolve records the final answer to a dispatched action and returns its waiters. An
// answer that the action certainly has not run removes the key, so that the action can be
// requested again. A success that arrives late completes an action that is unknown.
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

// Expire removes finished and unknown actions whose keys are too old to be accepted again.
func (t *Table) Expire(now time.Time) {
	oldest := now.Add(-t.opts.MaxAge - t.opts.MaxClockSkew)
	for key, e := range t.entries {
		final := e.state == stateDone || e.state == stateUnknown
		if final && e.issued.Before(oldest) {
			delete(t.entries, key)
		}
	}
}

// Counts returns the number of all actions, and of those that are being replicated or
// dispatched.
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

// unknownAnswer returns the answer if the action may have run.
func unknownAnswer() msgs.Answer {
	return msgs.Answer{Status: msgs.StatusLate}
}
