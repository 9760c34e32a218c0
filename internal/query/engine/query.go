package engine

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

// Query is the Machine of a search over all shards or a lookup in one shard. It
// merges only answers of one index version, the pinned one.
type Query struct {
	deps  Deps
	spec  Spec
	phase phase
	out   outbox

	plan *snap.Plan
	// shards has one element for a lookup, or one per shard of the plan for a
	// search.
	shards   []shard
	attempts []attempt
	buffers  choiceBuffers
	topK     *merge.TopK
	body     []byte
	answered int

	hedgeDelay time.Duration
	learnUntil time.Time
	refresh    versionRefresh
	refreshes  int

	mayHaveRun bool
	overloaded bool
	retryAfter time.Duration
	reason     string
}

// attempt is one sub-request or probe that was sent. Its index in Query.attempts
// is the Seq of its item.
type attempt struct {
	// shardIndex is an index into Query.shards, or probeIndex.
	shardIndex  int
	server      ident.ServerID
	shardNumber ident.Shard
	owner       view.Member
	// queryID is the ID of the query that carried it.
	queryID  uint64
	sentAt   time.Time
	inFlight bool
	// redirected is set for probes sent to the owner named in an answer.
	redirected bool
}

// probeIndex is the shardIndex of probes, which only ask a server for its index
// versions.
const probeIndex = -1

// NewQuery returns the Machine of a search or lookup. Call Start once before any
// other method.
func NewQuery(deps Deps, spec Spec) *Query {
	return &Query{deps: deps, spec: spec, out: outbox{requestID: spec.ID}}
}

// Start sends the sub-requests, or probes if the index versions are not known.
func (q *Query) Start(now time.Time) Step {
	q.learnUntil = now.Add(q.spec.Deadline.Sub(now) / learnTimeDivisor)
	q.learn(now)
	return q.finishStep(now)
}

// OnReply handles the answers of an owner. Answers that match no attempt in
// flight are counted and ignored.
func (q *Query) OnReply(now time.Time, from ident.VMID, reply msgs.Reply) Step {
	for i := range reply.Answers {
		if q.phase == phaseEnded {
			break
		}
		q.onAnswer(now, from, reply.ID, &reply.Answers[i])
	}
	return q.finishStep(now)
}

// OnLost ends the attempts of a lost query and retries their shards.
func (q *Query) OnLost(now time.Time, to ident.VMID, query msgs.Query, sent bool) Step {
	for _, item := range query.Items {
		if q.phase == phaseEnded {
			break
		}
		a := q.inFlightAttempt(item.Seq)
		if a == nil || a.queryID != query.ID || a.owner.Process.VM != to {
			continue
		}
		q.onLost(now, a, sent)
	}
	return q.finishStep(now)
}

// OnTimer handles the polls, retries and hedges that are due, and the deadline.
func (q *Query) OnTimer(now time.Time) Step {
	switch q.phase {
	case phaseLearning:
		q.learn(now)
	case phaseRunning:
		q.onRefreshTimer(now)
		q.retryDueShards(now)
		q.hedgeDueShards(now)
	case phaseEnded:
	}
	return q.finishStep(now)
}

// Abort ends the request at once with the answers merged so far.
func (q *Query) Abort(now time.Time, reason string) Step {
	if q.phase != phaseEnded {
		q.reason = reason
		q.finish(now)
	}
	return q.out.flush()
}

// NextTimer returns the earliest time of a poll, retry or hedge, and at the
// latest the deadline.
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

// earlier returns the earlier of t and candidate. A zero candidate is ignored.
func earlier(t, candidate time.Time) time.Time {
	if candidate.IsZero() || t.Before(candidate) {
		return t
	}
	return candidate
}

// finishStep ends the request at the deadline or when every shard was answered
// or failed, and returns the collected step.
func (q *Query) finishStep(now time.Time) Step {
	switch {
	case q.phase == phaseEnded:
	case !now.Before(q.spec.Deadline):
		q.reason = ReasonDeadline
		q.finish(now)
	case q.phase == phaseRunning && q.allShardsDecided():
		q.finish(now)
	}
	return q.out.flush()
}

func (q *Query) allShardsDecided() bool {
	for i := range q.shards {
		if q.shards[i].state == statePending {
			return false
		}
	}
	return true
}

// inFlightAttempt returns nil if the attempt does not exist or has ended.
func (q *Query) inFlightAttempt(seq uint32) *attempt {
	if int64(seq) >= int64(len(q.attempts)) || !q.attempts[seq].inFlight {
		return nil
	}
	return &q.attempts[seq]
}

// queryTemplate returns the fields that are common to all queries of the
// request.
func (q *Query) queryTemplate(now time.Time) msgs.Query {
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
