// Package runner runs forwarded requests: it sends the attempts that a relay.Query
// decides on, waits for replies and timers, and assembles the answer.
package runner

import (
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/link/deleg"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/poison"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

const (
	// responseMargin is subtracted from the caller's deadline in addition to the
	// overhead. It covers late timers and the writing of the answer.
	responseMargin = 6 * time.Millisecond
	// abandonedGracePeriod is how long an attempt may go on after its request was
	// answered, so that its connection can be reused. It stays well below the half
	// second after which a backend server may no longer work for a caller that left.
	abandonedGracePeriod = 150 * time.Millisecond
)

// Sender sends attempts to backend servers. It calls done once with the result, on any
// goroutine. wait allows the attempt to wait for a connection.
type Sender interface {
	Send(target pool.Target, message *pool.Message, deadline time.Time, wait bool, done func(pool.Result)) *pool.Call
}

// ViewSource provides this VM's current view of the fleet.
type ViewSource interface {
	View() *roster.View
}

// Deps holds the dependencies of a Runner.
type Deps struct {
	Env    *relay.Env
	Sender Sender
	// OrderSender sends orders to the VMs that Delegates chooses. Both are nil if this
	// VM sends all attempts itself.
	OrderSender OrderSender
	Delegates   *Delegates
	// Admit decides which requests are admitted.
	Admit admit.QueuingPolicy
	// Identity tells which requests are repeats of each other.
	Identity poison.Identity
	// Ledger knows which requests end backend servers. nil lets all requests run.
	Ledger  *poison.Ledger
	Views   ViewSource
	Events  *events.Recorder
	Metrics *metrics.Set
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	deps           Deps
	requestMetrics *requestMetrics
}

// New returns a runner.
func New(deps Deps) *Runner {
	return &Runner{deps: deps, requestMetrics: newRequestMetrics(deps.Metrics)}
}

// Run runs one request and returns its answer. It blocks until there is an answer or
// the caller has left.
func (r *Runner) Run(request Request) Answer {
	e := &execution{runner: r, request: request, wake: make(chan struct{}, 1)}
	e.fingerprint = sync.OnceValue(func() poison.Fingerprint { return r.deps.Identity.Of(request.Message.Head, request.Message.Body) })
	message := *request.Message
	message.OnEnd = e.observeLateEnd
	e.request.Message = &message
	defer r.requestMetrics.begin()()
	if request.Route.IsSearch() {
		e.parts = newParts(request.Route.Limit, len(request.Route.Shards))
	}
	e.admitRequest = e.newAdmitRequest()
	decision, refusal, refused := e.inspect()
	if refused {
		r.report(e, refusal)
		refusal.Unsent = !refusal.Gone
		return refusal
	}
	if decision.Verdict == poison.Try {
		e.isTrial = true
		defer r.deps.Ledger.EndTrial(e.fingerprint())
	}
	if refusal, refused := e.begin(); refused {
		r.report(e, refusal)
		refusal.Unsent = !refusal.Gone
		return refusal
	}
	e.admittedAt = time.Now()
	plan := relay.RequestInfo{
		Route: request.Route, Service: request.Service, Arrived: request.Arrived, Overhead: request.Overhead, Deadline: request.Deadline(), Counted: request.Counted,
		Tenant: request.tenantID(), Kind: request.kind(),
		Trial: e.isTrial, Ends: decision.Ends, LastEnd: decision.LastEnd, Trusted: decision.Trusted, Suspect: e.isSuspect,
	}
	query, sends := relay.New(r.deps.Env, plan, time.Now())
	e.query = query
	e.send(sends)
	answer := e.awaitOutcome()
	e.setRetryAfter(&answer)
	e.finishAdmission(answer)
	r.report(e, answer)
	return answer
}

// execution is the state of one request in flight.
type execution struct {
	runner  *Runner
	request Request
	// admitRequest is what was passed to the admission policy.
	admitRequest admit.Request
	query        *relay.Query
	calls        []sentAttempt
	// orders holds the groups of attempts that other VMs send.
	orders []sentOrder
	wake   chan struct{}

	mu      sync.Mutex
	replies []reply
	// answered is set once the request has an answer or its caller has left. Later
	// replies only update statistics.
	answered bool

	// fullRefusals counts the attempts that backend servers refused because all their
	// slots were busy.
	fullRefusals int
	// serversNamedTime is set once a backend server has named a time to retry.
	serversNamedTime bool
	// retryDenied is set once the retry budget has denied a retry after a refusal by a
	// full backend server.
	retryDenied bool

	// unanswered lists the attempts without a reply at the time of the answer.
	unanswered []relay.PendingAttempt

	admittedAt time.Time
	// admitOutcome is set from the answer until it is reported to the admission policy,
	// and pending is the number of attempts without a result. mu guards both.
	admitOutcome *admit.Outcome
	pending      int
	// attempts is the number of attempts sent so far.
	attempts int

	// fingerprint is computed when it is first needed.
	fingerprint func() poison.Fingerprint
	// isTrial is set if the request runs as a trial.
	isTrial bool

	parts *parts
	// results holds the results by attempt if the request is not a search.
	results []pool.Result
}

// sentAttempt is an attempt that this VM sent itself.
type sentAttempt struct {
	call           *pool.Call
	shard, attempt int
}

// sentOrder is a group of attempts that another VM sends.
type sentOrder struct {
	pending  *deleg.PendingOrder
	vm       ident.VMID
	attempts []orderedAttempt
}

// reply is the result of an attempt.
type reply struct {
	shard, attempt int
	// process is the server process that the attempt went to.
	process notice.Process
	result  pool.Result
	sentAt  time.Time
	// remoteElapsed is the duration of the attempt as measured by the VM that sent it
	// on behalf of this one, or 0.
	remoteElapsed time.Duration
	// mergedBlock holds the part if another VM merged it with others, and records holds
	// its records if that VM reported it separately.
	mergedBlock *mergedBlock
	records     []byte
}

// elapsed returns the duration of the attempt.
func (r *reply) elapsed(now time.Time) time.Duration {
	if r.remoteElapsed > 0 {
		return r.remoteElapsed
	}
	return now.Sub(r.sentAt)
}

func (e *execution) send(sends []relay.Send) {
	for _, s := range e.delegate(sends) {
		e.sendDirectly(s)
	}
}

func (e *execution) sendDirectly(s relay.Send) {
	now := time.Now()
	if s.Reason != "first" {
		e.runner.requestMetrics.countRepeat(s.Replica.Service, repeatSent)
		e.trace("request_"+s.Reason, "attempt overdue or unanswered", slog.Int("shard", s.Shard),
			slog.String("server", string(s.Replica.ID)), slog.Bool("crosses", s.CrossZone), slog.Duration("left", s.Timeout))
	}
	traffic := e.runner.requestMetrics.traffic(s.CrossZone)
	traffic.attempts.Inc()
	e.mu.Lock()
	e.pending++
	e.attempts++
	e.mu.Unlock()
	call := e.runner.deps.Sender.Send(e.runner.target(s.Replica), e.request.Message, now.Add(s.Timeout), s.AwaitConnection, func(result pool.Result) {
		traffic.bytes.Add(result.Size())
		e.addReply(reply{shard: s.Shard, attempt: s.Attempt, process: s.Replica.Process(), result: result, sentAt: now})
	})
	e.calls = append(e.calls, sentAttempt{call: call, shard: s.Shard, attempt: s.Attempt})
}

// addReply queues the result of an attempt for processing. It may be called on any
// goroutine.
func (e *execution) addReply(r reply) {
	e.addReplies([]reply{r})
}

// addReplies queues the results of attempts for processing, or records them if the
// request was already answered. It may be called on any goroutine.
func (e *execution) addReplies(replies []reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending -= len(replies)
	if e.answered {
		for _, r := range replies {
			e.recordLateReply(r)
		}
		if e.pending == 0 && e.admitOutcome != nil {
			e.releaseAdmission(time.Now())
		}
		return
	}
	e.replies = append(e.replies, replies...)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *execution) isAnswered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answered
}

// recordLateReply updates statistics from a reply that arrived after the answer, and
// releases it.
func (e *execution) recordLateReply(r reply) {
	now := time.Now()
	e.observeEnd(now, &r)
	interpreted := e.interpret(now, r)
	e.observeAnswer(now, interpreted)
	if r.result.Outcome == pool.Answered || r.result.Outcome == pool.NotRun {
		e.query.HandleReply(now, r.shard, r.attempt, interpreted)
	} else {
		e.query.Abandon(now, r.shard, r.attempt, r.result.Cancelled)
	}
	r.result.Release()
}

// awaitOutcome feeds replies and time into the query until it has an outcome or the
// caller leaves.
func (e *execution) awaitOutcome() Answer {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if outcome, ok := e.query.Outcome(); ok {
			return e.finish(outcome)
		}
		timer.Reset(time.Until(e.query.Next()))
		select {
		case <-e.wake:
			e.processReplies()
		case <-timer.C:
			e.send(e.query.Tick(time.Now()))
			e.reportDenied()
		case <-e.request.Gone:
			e.query.Stop()
			e.unanswered = e.query.PendingAttempts()
			e.abandonPending()
			return Answer{Gone: true}
		}
	}
}

// processReplies passes the replies that have arrived to the query and sends the
// attempts it asks for.
func (e *execution) processReplies() {
	e.mu.Lock()
	replies := e.replies
	e.replies = nil
	e.mu.Unlock()
	now := time.Now()
	for _, r := range replies {
		e.observeLoad(now, &r)
		e.observeEnd(now, &r)
		interpreted := e.interpret(now, r)
		e.observeAnswer(now, interpreted)
		if interpreted.Kind != relay.Served {
			e.trace("attempt_failed", interpreted.Reason, slog.Int("shard", r.shard), slog.Int("attempt", r.attempt),
				slog.String("fate", r.result.Outcome.String()), slog.Duration("after", now.Sub(r.sentAt)))
		}
		sends, counts := e.query.HandleReply(now, r.shard, r.attempt, interpreted)
		e.storeReply(r, counts)
		e.send(sends)
	}
	e.reportDenied()
}

// reportDenied logs and counts the attempts that the retry budget denied.
func (e *execution) reportDenied() {
	for _, d := range e.query.Denied() {
		e.runner.requestMetrics.countRepeat(d.Service, repeatDenied)
		if d.Reason == hedge.NotRun && e.fullRefusals > 0 {
			e.retryDenied = true
		}
		e.trace("repeat_denied", d.Reason.String(), slog.Int("shard", d.Shard), slog.String("service", string(d.Service)),
			slog.Float64("balance", d.BudgetState.Balance), slog.Float64("limit", d.BudgetState.Limit), slog.Int("sharers", d.BudgetState.SharedBy), slog.Duration("age", d.BudgetState.Age))
	}
}

// observeLoad estimates the queueing time from the load that the server reported with
// its reply, and passes it to the admission policy.
func (e *execution) observeLoad(now time.Time, r *reply) {
	result := &r.result
	if result.Slots == 0 {
		return
	}
	if result.Outcome == pool.NotRun && !result.Misdirected && result.Running >= result.Slots {
		e.fullRefusals++
	}
	e.serversNamedTime = e.serversNamedTime || result.RetryAfter > 0
	perSlot := float64(result.Waiting) / float64(result.Slots)
	wait := time.Duration(perSlot * float64(now.Sub(r.sentAt)) / (1 + perSlot))
	e.runner.deps.Admit.Observe(now, e.admitRequest.Service, e.admitRequest.Class, wait, 0)
}

// storeReply stores what the answer to the caller needs, and releases the rest.
func (e *execution) storeReply(r reply, counts bool) {
	if e.request.Route.IsSearch() {
		switch {
		case r.mergedBlock != nil && !r.mergedBlock.invalid:
			e.parts.addBlock(r.mergedBlock)
		case counts && r.result.Response != nil:
			e.parts.add(r.shard, r.result.Signature, r.result.Response.Body())
		case counts:
			e.parts.add(r.shard, r.result.Signature, r.records)
		default:
		}
		r.result.Release()
		return
	}
	for len(e.results) <= r.attempt {
		e.results = append(e.results, pool.Result{})
	}
	e.results[r.attempt] = r.result
}

// abandonPending marks the request as answered and cancels the attempts that are still
// in flight: those sent by this VM after a grace period, orders at once.
func (e *execution) abandonPending() {
	e.mu.Lock()
	e.answered = true
	late := e.replies
	e.replies = nil
	for _, r := range late {
		e.recordLateReply(r)
	}
	endsServers := e.query.EndsServers()
	e.mu.Unlock()
	for _, s := range e.calls {
		if endsServers {
			s.call.Cancel()
			continue
		}
		s.call.CancelAfter(abandonedGracePeriod)
	}
	for _, order := range e.orders {
		order.pending.Cancel()
	}
}

func (e *execution) finish(outcome relay.Outcome) Answer {
	if outcome.Verdict == relay.Failed || outcome.Verdict == relay.TimedOut {
		outcome = e.query.CancelUnsent(e.cancelUnsent)
	}
	e.unanswered = e.query.PendingAttempts()
	e.abandonPending()
	answer := Answer{Outcome: outcome}
	if outcome.Verdict == relay.Success {
		if e.request.Route.IsSearch() {
			answer.Signatures, answer.Records = e.parts.mergeAll()
			answer.Missing = len(e.request.Route.Shards) - len(answer.Signatures)
		} else {
			answer.Result = e.results[outcome.Attempt]
			e.results[outcome.Attempt] = pool.Result{}
		}
	}
	for i := range e.results {
		e.results[i].Release()
	}
	return answer
}

// cancelUnsent cancels an attempt if nothing of it was sent yet. It reports whether it
// is certain that nothing was or will be sent.
func (e *execution) cancelUnsent(shard, attempt int) bool {
	for _, s := range e.calls {
		if s.shard == shard && s.attempt == attempt {
			return s.call.CancelUnsent()
		}
	}
	return false
}

func (e *execution) trace(kind, reason string, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("route", e.request.Route.Name))
	if e.request.Tenant != nil {
		attrs = append(attrs, slog.String("tenant", string(e.request.Tenant.Name)))
	}
	e.runner.deps.Events.Trace(kind, e.request.Message.ID, reason, attrs...)
}
