package runner

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

// admission is what the admission of a request depends on: the service, that of the
// first shard for a search, whose searches share their servers; the rank; and the
// goal, since a later answer is worth little.
func (f *flight) admission() admit.Request {
	route := f.request.Route
	ask := admit.Request{Service: f.request.Service, Class: ident.Class(min(max(route.Rank, 0), math.MaxUint8))}
	if route.IsSearch() {
		ask.Service = route.Shards[0]
	}
	aim := route.Goal
	if aim <= 0 {
		aim = route.Timeout
	}
	ask.Deadline = f.request.Arrived.Add(aim - min(f.request.Overhead, aim/4))
	return ask
}

// enter asks for admission and waits for room. It returns the answer if there is
// none, or if the caller leaves first.
func (f *flight) enter() (answer Answer, refused bool) {
	admission := f.runner.deps.Admit
	decision := admission.Admit(time.Now(), f.asked)
	if turn := decision.Turn; turn != nil {
		timer := time.NewTimer(time.Until(turn.Until))
		defer timer.Stop()
		left := false
		select {
		case <-turn.Granted:
		case <-timer.C:
		case <-f.request.Gone:
			left = true
		}
		decision.Admitted = admission.Leave(turn)
		if left {
			if decision.Admitted {
				admission.Done(time.Now(), f.asked, admit.Outcome{})
			}
			return Answer{Gone: true}, true
		}
	}
	if decision.Admitted {
		return Answer{}, false
	}
	return Answer{Outcome: relay.Outcome{
		Verdict: relay.Refused, Reason: decision.Reason, RetryAfter: decision.RetryAfter + rand.N(decision.RetryAfter),
	}}, true
}

// fullShare is the share of the attempts that full servers have to refuse before a
// request counts as a sign of overload. A few of the servers of a search may be full
// while the others are free.
const fullShare = 0.25

// overloaded reports whether backend servers refused more attempts of the request
// because they were full than retries could replace.
func (f *flight) overloaded(failed bool) bool {
	return failed && f.starved || float64(f.full) > fullShare*float64(f.attempts)
}

// leave gives back the room of a request. One that failed keeps it while backend
// servers may still work on its attempts: what fails fast would else be replaced
// faster than servers bear.
func (f *flight) leave(answer Answer) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := answer.Verdict != relay.Success
	f.outcome = &admit.Outcome{Took: now.Sub(f.admitted), Late: now.After(f.asked.Deadline), Overloaded: f.overloaded(failed)}
	if !failed || f.open == 0 {
		f.giveBack(now)
	}
}

// giveBack tells the admission that the request is done, once.
func (f *flight) giveBack(now time.Time) {
	f.runner.deps.Admit.Done(now, f.asked, *f.outcome)
	f.outcome = nil
}
