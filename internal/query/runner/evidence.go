package runner

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/query/poison"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

const (
	// trialPatience is the share of the time left until the goal, or until the deadline if
	// there is no goal, for which a request waits for the trial of a repeat.
	trialPatience = 0.5
	// trialRetryAfter is the time after which a caller may retry whose request waited in vain.
	trialRetryAfter = 300 * time.Millisecond
)

// inspect decides whether the request may run, by what is known of its repeats. It waits
// while one of them is tried. It returns the answer if the request is refused or the caller
// leaves.
func (e *execution) inspect() (decision poison.Decision, answer Answer, refused bool) {
	ledger := e.runner.deps.Ledger
	if ledger.Empty() {
		return poison.Decision{}, Answer{}, false
	}
	latest := time.Now().Add(time.Duration(trialPatience * float64(time.Until(e.admitRequest.Deadline))))
	for {
		now := time.Now()
		decision = ledger.Decide(now, e.fingerprint())
		switch {
		case decision.Verdict == poison.Refuse:
			return decision, Answer{Outcome: relay.Outcome{
				Verdict: relay.Refused, Quarantined: true, Reason: "quarantined: backend servers ended while they ran it", RetryAfter: decision.RetryAfter,
			}}, true
		case decision.Verdict != poison.Wait:
			return decision, Answer{}, false
		case !now.Before(latest):
			return decision, Answer{Outcome: relay.Outcome{
				Verdict: relay.Refused, Reason: "a repeat is tried, which may end backend servers", RetryAfter: trialRetryAfter + rand.N(trialRetryAfter),
			}}, true
		}
		if !e.awaitTrial(decision, latest) {
			return decision, Answer{Gone: true}, true
		}
	}
}

// awaitTrial waits until the trial of a repeat may have ended, at most until latest. It
// returns false if the caller leaves.
func (e *execution) awaitTrial(decision poison.Decision, latest time.Time) bool {
	if decision.Until.Before(latest) {
		latest = decision.Until
	}
	timer := time.NewTimer(time.Until(latest))
	defer timer.Stop()
	select {
	case <-decision.Changed:
	case <-timer.C:
	case <-e.request.Gone:
		return false
	}
	return true
}

// isSuspect reports whether repeats of the request have ended backend servers.
func (e *execution) isSuspect() bool {
	ledger := e.runner.deps.Ledger
	return !ledger.Empty() && ledger.State(time.Now(), e.fingerprint()) != poison.Clear
}

// observeEnd records that the process of a backend server ended while it had the request,
// unless a server has answered it. The end of a server of a version that is being rolled out is
// put down to the version.
func (e *execution) observeEnd(now time.Time, r *reply) {
	if !r.result.Ended && !r.result.MayHaveEnded {
		return
	}
	end := e.endOf(r.process, r.result.Shared, r.result.Ended)
	e.traceEnd(end, e.query.Cleared(), slog.Int("shard", r.shard), slog.Duration("after", now.Sub(r.sentAt)))
	if !e.query.Cleared() && !e.query.IsExposed(r.shard, r.attempt) {
		e.recordEnd(now, end)
	}
}

// observeLateEnd is like observeEnd for an end that is told after the result of the attempt.
// It may be called on any goroutine, also after Run has returned.
func (e *execution) observeLateEnd(process notice.Process, shared int, certain bool) {
	e.runner.deps.Env.Health.Gone(process.ID)
	end := e.endOf(process, shared, certain)
	answered := e.runner.deps.Ledger.AnsweredSince(e.request.Arrived, e.fingerprint())
	e.traceEnd(end, answered, slog.Bool("late", true))
	replica := e.runner.deps.Views.View().Replica(process.ID)
	exposed := replica != nil && e.runner.deps.Env.Exposures.IsTarget(replica)
	if !answered && !exposed {
		e.recordEnd(time.Now(), end)
	}
}

// endOf returns the end of a process that had the request, or may have had it.
func (e *execution) endOf(process notice.Process, shared int, certain bool) poison.End {
	return poison.End{Process: process, Shared: shared, Trial: e.isTrial, Uncertain: !certain}
}

func (e *execution) traceEnd(end poison.End, answered bool, attrs ...slog.Attr) {
	attrs = append([]slog.Attr{
		slog.String("server", string(end.Process.ID)), slog.Int64("born", end.Process.Born), slog.String("request", e.fingerprint().String()),
		slog.Bool("answered", answered), slog.Int("shared", end.Shared), slog.Bool("certain", !end.Uncertain),
	}, attrs...)
	e.trace("server_ended", "it had the request", attrs...)
}

func (e *execution) recordEnd(now time.Time, end poison.End) {
	e.runner.deps.Ledger.ServerEnded(now, e.fingerprint(), e.request.Message.Head, end)
}

// observeAnswer records that a server has answered the request. Further answers to the same
// request matter only while there is evidence against some requests.
func (e *execution) observeAnswer(now time.Time, reply relay.Reply) {
	if ledger := e.runner.deps.Ledger; reply.Kind == relay.Served && (!e.query.Cleared() || !ledger.Empty()) {
		ledger.Completed(now, e.fingerprint())
	}
}

// knownFingerprint returns the fingerprint for logs, or "" if nothing is known of any request.
func (e *execution) knownFingerprint() string {
	if e.runner.deps.Ledger.Empty() {
		return ""
	}
	return e.fingerprint().String()
}
