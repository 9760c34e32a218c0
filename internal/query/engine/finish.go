package engine

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// defaultRetryAfter is the minimum RetryAfter of requests that were not run.
const defaultRetryAfter = 200 * time.Millisecond

// endAttempt marks an attempt as no longer in flight.
func (q *Query) endAttempt(a *attempt) {
	a.inFlight = false
	q.shards[a.shardIndex].inFlight--
}

// cancelShardAttempts cancels the attempts still in flight for a shard that has
// been answered.
func (q *Query) cancelShardAttempts(now time.Time, index int) {
	if q.shards[index].inFlight == 0 {
		return
	}
	for seq := range q.attempts {
		if a := &q.attempts[seq]; a.inFlight && a.shardIndex == index {
			q.cancelAttempt(now, uint32(seq))
		}
	}
}

// cancelAllAttempts cancels all attempts in flight. Probes are ended without a
// cancel message.
func (q *Query) cancelAllAttempts(now time.Time) {
	for seq := range q.attempts {
		a := &q.attempts[seq]
		if !a.inFlight {
			continue
		}
		if a.shardIndex == probeIndex {
			a.inFlight = false
			continue
		}
		q.cancelAttempt(now, uint32(seq))
	}
}

// cancelAttempt cancels one attempt. The time since it was sent is reported to
// the replica-choice policy as a lower bound of its latency. The attempt may
// have run.
func (q *Query) cancelAttempt(now time.Time, seq uint32) {
	a := &q.attempts[seq]
	q.endAttempt(a)
	q.mayHaveRun = true
	q.deps.Choose.Abandoned(now, a.server, now.Sub(a.sentAt))
	q.out.addCancel(a.owner, a.queryID, seq)
}

// finish cancels all attempts in flight, drops queries not yet sent and sets the
// result.
func (q *Query) finish(now time.Time) {
	q.cancelAllAttempts(now)
	q.phase = phaseEnded
	q.out.step.Sends = nil
	result := &Result{
		Version: q.plan.Version, AnsweredShards: q.answered, TotalShards: q.totalShards(), Reason: q.reason,
		Overloaded: q.overloaded && q.answered < q.totalShards(),
	}
	switch {
	case result.TotalShards > 0 && result.AnsweredShards == result.TotalShards:
		result.Outcome, result.Reason = OutcomeFull, ""
	case !q.mayHaveRun:
		result.Outcome = OutcomeNotRun
		result.RetryAfter = max(q.retryAfter, defaultRetryAfter)
	case q.spec.Kind == msgs.KindLookup:
		result.Outcome = OutcomeUnknown
	default:
		result.Outcome = OutcomePartial
	}
	q.fillAnswer(result)
	q.out.step.Result = result
}

// Size implements Machine.
func (q *Query) Size() int {
	if q.topK == nil {
		return len(q.body)
	}
	return q.topK.Size()
}

// totalShards returns the number of shards that a complete answer needs.
func (q *Query) totalShards() int {
	if q.spec.Kind == msgs.KindLookup {
		return 1
	}
	return q.plan.Shards
}

// fillAnswer copies the merged answers to the result unless the request was not
// run.
func (q *Query) fillAnswer(result *Result) {
	if result.Outcome == OutcomeNotRun {
		return
	}
	result.Body = q.body
	if q.topK != nil {
		result.Hits = q.topK.Hits()
	}
}
