package course

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// defaultRetryAfter is told with refusals that name no time of their own.
const defaultRetryAfter = 200 * time.Millisecond

// closeAttempt ends an attempt that was answered or lost.
func (q *Query) closeAttempt(a *attempt) {
	a.open = false
	q.shards[a.shard].open--
}

// closeOpen cancels the open attempts of a shard that has been answered.
func (q *Query) closeOpen(now time.Time, index int) {
	if q.shards[index].open == 0 {
		return
	}
	for seq := range q.attempts {
		if a := &q.attempts[seq]; a.open && a.shard == index {
			q.cancel(now, uint32(seq))
		}
	}
}

// closeAll cancels all open attempts.
func (q *Query) closeAll(now time.Time) {
	for seq := range q.attempts {
		a := &q.attempts[seq]
		if !a.open {
			continue
		}
		if a.shard == probeShard {
			a.open = false
			continue
		}
		q.cancel(now, uint32(seq))
	}
}

// cancel withdraws an attempt. What it took so far counts as a lower bound of
// its latency.
func (q *Query) cancel(now time.Time, seq uint32) {
	a := &q.attempts[seq]
	q.closeAttempt(a)
	q.mayHaveRun = true
	q.deps.Choose.Abandoned(now, a.server, now.Sub(a.sentAt))
	q.out.cancel(a.owner, a.message, seq)
}

// finish cancels what is open and sets the result.
func (q *Query) finish(now time.Time) {
	q.closeAll(now)
	q.phase = phaseEnded
	q.out.step.Sends = nil
	result := &Result{
		Version: q.plan.Version, AnsweredShards: q.answered, TotalShards: q.denominator(), Reason: q.reason,
		Overloaded: q.overloaded && q.answered < q.denominator(),
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
	q.fill(result)
	q.out.step.Result = result
}

// denominator returns the number of shards that a whole answer comes from.
func (q *Query) denominator() int {
	if q.spec.Kind == msgs.KindLookup {
		return 1
	}
	return q.plan.Shards
}

func (q *Query) fill(result *Result) {
	if result.Outcome == OutcomeNotRun {
		return
	}
	result.Body = q.body
	if q.top != nil {
		result.Hits = q.top.Hits()
	}
}
