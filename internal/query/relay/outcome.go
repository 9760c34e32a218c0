package relay

import (
	"math/rand/v2"
	"time"
)

// decide sets the outcome if there is one at now.
func (q *Query) decide(now time.Time) {
	if q.outcome != nil {
		return
	}
	total := len(q.shards)
	switch {
	case q.plan.Route.IsSearch() && q.parts+q.lost == total && q.parts >= q.least:
		q.outcome = &Outcome{Verdict: Success, Missing: total - q.parts, Reason: "all shards decided"}
	case total-q.lost < q.least:
		q.outcome = q.hopeless()
	case !q.goal.IsZero() && !now.Before(q.goal) && q.parts >= q.least:
		q.outcome = &Outcome{Verdict: Success, Missing: total - q.parts, Reason: "goal reached"}
	case !now.Before(q.plan.Deadline):
		q.outcome = q.late(total)
	}
}

// hopeless is the outcome of a query that can't succeed any more.
func (q *Query) hopeless() *Outcome {
	if q.mayHaveRun() {
		return &Outcome{Verdict: Failed, Reason: "no backend server gave a usable answer"}
	}
	return &Outcome{Verdict: Refused, Reason: "no backend server takes the request", RetryAfter: q.retryAfter()}
}

func (q *Query) late(total int) *Outcome {
	switch {
	case q.plan.Route.IsSearch() && q.parts >= q.least:
		return &Outcome{Verdict: Success, Missing: total - q.parts, Reason: "deadline reached"}
	case q.mayHaveRun():
		return &Outcome{Verdict: TimedOut, Reason: "deadline reached"}
	default:
		return &Outcome{Verdict: Refused, Reason: "deadline reached before it was sent", RetryAfter: q.retryAfter()}
	}
}

// CancelUnsent turns a failure into a refusal if no backend server got the request
// after all. withdraw gives up an attempt that is under way and reports whether
// it is certain that it was not and will not be sent.
func (q *Query) CancelUnsent(withdraw func(shard, attempt int) bool) Outcome {
	for i := range q.shards {
		for j := range q.shards[i].attempts {
			a := &q.shards[i].attempts[j]
			if a.open && withdraw(i, j) {
				a.mayRun = false
			}
		}
	}
	if !q.mayHaveRun() {
		q.outcome = &Outcome{Verdict: Refused, Reason: q.outcome.Reason + "; nothing was sent", RetryAfter: q.retryAfter()}
	}
	return *q.outcome
}

// mayHaveRun reports whether a backend server may run the request or have run
// it.
func (q *Query) mayHaveRun() bool {
	for i := range q.shards {
		for j := range q.shards[i].attempts {
			if q.shards[i].attempts[j].mayRun {
				return true
			}
		}
	}
	return false
}

func (q *Query) retryAfter() time.Duration {
	return max(q.env.Options.RetryAfter, q.quiet) + rand.N(q.env.Options.RetryAfter)
}
