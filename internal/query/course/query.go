package course

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/merge"
	"github.com/samphirestair/samphirestair/internal/query/snap"
)

// phase is the progress of a Query.
type phase uint8

const (
	// phaseLearning waits until the index versions of the servers are known.
	phaseLearning phase = iota
	phaseRunning
	phaseEnded
)

// Query is the Machine of a search over all shards or a lookup in one. It
// merges answers of one index version only.
type Query struct {
	deps  Deps
	spec  Spec
	phase phase
	out   outbox

	plan *snap.Plan
	// shards holds the shards that the request touches, all or one.
	shards   []shard
	attempts []attempt
	room     room
	top      *merge.TopK
	body     []byte
	answered int

	hedgeDelay time.Duration
	learnUntil time.Time
	refresh    refresh
	restarts   int

	mayHaveRun bool
	overloaded bool
	retryAfter time.Duration
	reason     string
}

// attempt is one sub-request that was sent. Its index is its Seq.
type attempt struct {
	// shard is an index into Query.shards, or probeShard.
	shard  int
	server ident.ServerID
	number ident.Shard
	owner  view.Member
	// message is the ID of the query that carried it.
	message uint64
	sentAt  time.Time
	open    bool
	// redirected is set for probes that went to an owner that an answer named.
	redirected bool
}

// probeShard marks attempts that ask a server only for its index versions.
const probeShard = -1

// NewQuery returns the machine of a search or lookup.
func NewQuery(deps Deps, spec Spec) *Query {
	return &Query{deps: deps, spec: spec, out: outbox{request: spec.ID}}
}

// Start sends the sub-requests, or first asks for the index versions.
func (q *Query) Start(now time.Time) Step {
	q.learnUntil = now.Add(q.spec.Deadline.Sub(now) / learnShare)
	q.learn(now)
	return q.finishStep(now)
}

// OnReply takes answers of an owner. Answers to nothing that is open are
// ignored and counted.
func (q *Query) OnReply(now time.Time, from ident.VMID, reply msgs.Reply) Step {
	for i := range reply.Answers {
		if q.phase == phaseEnded {
			break
		}
		q.onAnswer(now, from, reply.ID, &reply.Answers[i])
	}
	return q.finishStep(now)
}

// OnLost gives up the attempts of a query that did not arrive.
func (q *Query) OnLost(now time.Time, to ident.VMID, query msgs.Query, sent bool) Step {
	for _, item := range query.Items {
		if q.phase == phaseEnded {
			break
		}
		a := q.openAttempt(item.Seq)
		if a == nil || a.message != query.ID || a.owner.Process.VM != to {
			continue
		}
		q.onLost(now, a, sent)
	}
	return q.finishStep(now)
}

// OnTimer does what is due at now.
func (q *Query) OnTimer(now time.Time) Step {
	switch q.phase {
	case phaseLearning:
		q.learn(now)
	case phaseRunning:
		q.onRefreshTimer(now)
		q.retryDue(now)
		q.hedgeDue(now)
	case phaseEnded:
	}
	return q.finishStep(now)
}

// Abort ends the request at once.
func (q *Query) Abort(now time.Time, reason string) Step {
	if q.phase != phaseEnded {
		q.reason = reason
		q.finish(now)
	}
	return q.out.take()
}

// NextTimer returns when OnTimer has to be called next.
func (q *Query) NextTimer() time.Time {
	next := q.spec.Deadline
	if q.phase == phaseLearning {
		return earlier(next, q.refresh.until)
	}
	next = earlier(next, q.refresh.until)
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != statePending {
			continue
		}
		next = earlier(next, s.retryAt)
		next = earlier(next, s.hedgeAt)
	}
	return next
}

// earlier returns the earlier of two times, where a zero candidate is none.
func earlier(t, candidate time.Time) time.Time {
	if candidate.IsZero() || t.Before(candidate) {
		return t
	}
	return candidate
}

// finishStep ends the request if nothing is left to wait for.
func (q *Query) finishStep(now time.Time) Step {
	switch {
	case q.phase == phaseEnded:
	case !now.Before(q.spec.Deadline):
		q.reason = ReasonDeadline
		q.finish(now)
	case q.phase == phaseRunning && q.resolved():
		q.finish(now)
	}
	return q.out.take()
}

func (q *Query) resolved() bool {
	for i := range q.shards {
		if q.shards[i].state == statePending {
			return false
		}
	}
	return true
}

func (q *Query) openAttempt(seq uint32) *attempt {
	if int64(seq) >= int64(len(q.attempts)) || !q.attempts[seq].open {
		return nil
	}
	return &q.attempts[seq]
}

// message returns the fields that all queries of the request have in common.
func (q *Query) message(now time.Time) msgs.Query {
	return msgs.Query{
		Kind:         q.spec.Kind,
		Class:        uint8(q.spec.Class),
		Service:      string(q.spec.Service),
		Version:      uint64(q.plan.Version),
		BudgetMicros: budgetMicros(now, q.spec.Deadline),
		Key:          q.spec.Key,
		Body:         q.spec.Body,
	}
}
