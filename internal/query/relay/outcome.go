package relay

import (
	"math/rand/v2"
	"time"
)

// decide sets the outcome if it is certain at now.
func (q *Query) decide(now time.Time) {
	if q.outcome != nil {
		return
	}
	total := len(q.shards)
	switch {
	case q.request.Route.IsSearch() && q.answered+q.failed == total && q.answered >= q.required:
		q.outcome = &Outcome{Verdict: Success, Missing: total - q.answered, Reason: "all shards decided"}
	case total-q.failed < q.required:
		q.outcome = q.failedOutcome()
	case !q.goal.IsZero() && !now.Before(q.goal) && q.answered >= q.required:
		q.outcome = &Outcome{Verdict: Success, Missing: total - q.answered, Reason: "goal reached"}
	case !now.Before(q.request.Deadline):
		q.outcome = q.deadlineOutcome(total)
	}
}

// failedOutcome returns the outcome of a query that can no longer succeed because too
// many shards have failed.
func (q *Query) failedOutcome() *Outcome {
	if q.EndsServers() {
		return q.harmfulOutcome()
	}
	if q.anyMayHaveRun() {
		return &Outcome{Verdict: Failed, Reason: "no backend server gave a usable answer"}
	}
	reason := "no backend server accepts the request"
	if q.backoff > 0 {
		reason = "backend servers want no more requests for now"
	}
	return q.refusal(reason)
}

// deadlineOutcome returns the outcome of a query whose deadline has passed.
func (q *Query) deadlineOutcome(total int) *Outcome {
	switch {
	case q.request.Route.IsSearch() && q.answered >= q.required:
		return &Outcome{Verdict: Success, Missing: total - q.answered, Reason: "deadline reached"}
	case q.anyMayHaveRun():
		return &Outcome{Verdict: TimedOut, Reason: "deadline reached"}
	default:
		return q.refusal("deadline reached before it was sent")
	}
}

// CancelUnsent cancels the attempts that were not sent yet, once the query has failed or
// timed out. It turns the outcome into a refusal if no backend server can have run the
// request or will run it. cancel cancels one pending attempt unless it was sent, and
// reports whether it is certain that the attempt was not and will not be sent.
func (q *Query) CancelUnsent(cancel func(shard, attempt int) bool) Outcome {
	for i := range q.shards {
		for j := range q.shards[i].attempts {
			a := &q.shards[i].attempts[j]
			if a.pending && cancel(i, j) {
				a.mayHaveRun, a.maybeReceived = false, false
			}
		}
	}
	if !q.anyMayHaveRun() {
		q.outcome = q.refusal(q.outcome.Reason + "; nothing was sent")
	}
	return *q.outcome
}

// anyMayHaveRun reports whether a backend server may have run the request, or may still
// run it.
func (q *Query) anyMayHaveRun() bool {
	for i := range q.shards {
		for j := range q.shards[i].attempts {
			if q.shards[i].attempts[j].mayHaveRun {
				return true
			}
		}
	}
	return false
}

// refusal returns the outcome of a query that no backend server has run or will run.
func (q *Query) refusal(reason string) *Outcome {
	received := false
	for i := range q.shards {
		received = received || q.shards[i].maybeReceived()
	}
	return &Outcome{Verdict: Refused, Reason: reason, RetryAfter: q.retryAfter(), NothingSent: !received}
}

// retryAfter returns the RetryAfter of a refusal. Its random share keeps refused callers
// from returning at the same time.
func (q *Query) retryAfter() time.Duration {
	return max(q.env.Options.RetryAfter, q.backoff) + rand.N(q.env.Options.RetryAfter)
}
