package runner

import (
	"math"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

// newAdmitRequest returns what admission is decided on: the service (for a search that
// of its first shard, since searches over the same shards share servers), the rank of the
// tenant or else that of the route, the tenant, and the goal, since an answer after the goal
// is worth little.
func (e *execution) newAdmitRequest() admit.Request {
	route, rank := e.request.Route, e.request.Route.Rank
	admitRequest := admit.Request{Service: e.request.Service, Kind: route.Name, Wait: e.request.Wait, Timeout: route.Timeout}
	if table := e.runner.deps.Views.View().Table; table != nil {
		admitRequest.ByTenant = table.HasTenants()
	}
	if tenant := e.request.Tenant; tenant != nil {
		rank = tenant.Rank
		admitRequest.Tenant, admitRequest.Weight = tenant.Name, tenant.Rate
	}
	admitRequest.Class = ident.Class(min(max(rank, 0), math.MaxUint8))
	if route.IsSearch() {
		admitRequest.Service = route.Shards[0]
	}
	goal := route.Goal
	if goal <= 0 {
		goal = route.Timeout
	}
	admitRequest.Deadline = e.request.Arrived.Add(goal - min(e.request.Overhead, goal/4))
	return admitRequest
}

// begin requests admission and waits while the request is queued. It returns the answer
// if the request is refused or the caller leaves first.
func (e *execution) begin() (answer Answer, refused bool) {
	admission := e.runner.deps.Admit
	decision := admission.Admit(time.Now(), e.admitRequest)
	if waiter := decision.Waiter; waiter != nil {
		timer := time.NewTimer(time.Until(waiter.Until))
		defer timer.Stop()
		callerGone := false
		select {
		case <-waiter.Granted:
		case <-waiter.Refused:
		case <-timer.C:
		case <-e.request.Gone:
			callerGone = true
		}
		decision.Admitted = admission.EndWait(waiter)
		if callerGone {
			if decision.Admitted {
				admission.Done(time.Now(), e.admitRequest, admit.Outcome{})
			}
			return Answer{Gone: true}, true
		}
		if !decision.Admitted {
			decision = admission.RefuseWaiter(time.Now(), waiter)
		}
	}
	if decision.Admitted {
		return Answer{}, false
	}
	e.runner.requestMetrics.countRefusal(e.admitRequest.Class, decision.Reason)
	return Answer{Outcome: relay.Outcome{
		Verdict: relay.Refused, Reason: decision.Reason, RetryAfter: decision.RetryAfter,
	}}, true
}

// setRetryAfter replaces the time after which the caller of a request may retry that full
// servers refused, unless the servers themselves name a time.
func (e *execution) setRetryAfter(answer *Answer) {
	if answer.Verdict != relay.Refused || e.fullRefusals == 0 || e.serversNamedTime {
		return
	}
	if after := e.runner.deps.Admit.RetryAfter(time.Now(), e.admitRequest); after > 0 {
		answer.RetryAfter = after
	}
}

// overloadShare is the share of its attempts that full servers have to refuse before a
// request counts as a sign of overload. A few of the servers of a search may be full
// while the others have free slots.
const overloadShare = 0.25

// overloaded reports whether full backend servers refused more attempts of the request
// than retries could replace.
func (e *execution) overloaded(failed bool) bool {
	return failed && e.retryDenied || float64(e.fullRefusals) > overloadShare*float64(e.attempts)
}

// finishAdmission ends the admission of a request. A failed request stays admitted
// while backend servers may still work on its attempts: requests that fail fast would
// otherwise be replaced by new ones faster than servers can handle.
func (e *execution) finishAdmission(answer Answer) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	failed := answer.Verdict != relay.Success
	e.admitOutcome = &admit.Outcome{Took: now.Sub(e.admittedAt), Late: now.After(e.admitRequest.Deadline), Overloaded: e.overloaded(failed)}
	if !failed || e.pending == 0 {
		e.releaseAdmission(now)
	}
}

// releaseAdmission reports the end of the request to the admission policy. It must be
// called only once, with mu held.
func (e *execution) releaseAdmission(now time.Time) {
	e.runner.deps.Admit.Done(now, e.admitRequest, *e.admitOutcome)
	e.admitOutcome = nil
}
