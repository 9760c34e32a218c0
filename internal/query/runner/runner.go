// Package runner runs forwarded requests: it sends the attempts that a
// relay.Query asks for, waits for answers and time, and puts the answer
// together.
package runner

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/link/ferry"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

const (
	// returnMargin is kept from the caller's deadline beside the overhead, for
	// late timers and the writing of the answer.
	returnMargin = 6 * time.Millisecond
	// linger is the time for which an attempt that nobody waits for may go on,
	// so that its connection stays of use. It stays well below the half second
	// after which a backend server may no longer work for a caller that left.
	linger = 150 * time.Millisecond
)

// Sender sends attempts to backend servers.
type Sender interface {
	Send(target pool.Target, message *pool.Message, deadline time.Time, wait bool, done func(pool.Result)) *pool.Call
}

// Beliefs provides what this VM currently knows of the fleet.
type Beliefs interface {
	View() *roster.View
}

// Request is one request of a caller.
type Request struct {
	Message *pool.Message
	Route   *routes.Route
	// Service is the service that was picked for a request that is no search.
	Service ident.ServiceID
	Arrived time.Time
	// Overhead is the time that the caller spends outside this VM: before the
	// request arrived, and until the answer does.
	Overhead time.Duration
	// Wait is the time that the caller will wait, or 0 if it told none.
	Wait time.Duration
	// Gone is closed when the caller left.
	Gone <-chan struct{}
}

// Answer is the answer to a request.
type Answer struct {
	relay.Outcome
	// Gone is set if the caller left first. Nothing else is set then.
	Gone bool
	// Result is the backend server's answer to a request that is no search. The
	// receiver releases it.
	Result pool.Result
	// Records is the merged body of a search.
	Records []byte
	// Signatures are those of the parts of a search.
	Signatures []string
}

// Deps are what a Runner needs.
type Deps struct {
	Env    *relay.Env
	Sender Sender
	// OrderSender sends orders to the VMs that Delegates chooses. Both are nil if this
	// VM sends all attempts itself.
	OrderSender OrderSender
	Delegates   *Delegates
	// Admit decides which requests are admitted.
	Admit   admit.Queue
	Beliefs Beliefs
	Events  *events.Recorder
	Metrics *metrics.Set
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	deps   Deps
	meters *meters
}

// New returns a runner.
func New(deps Deps) *Runner {
	return &Runner{deps: deps, meters: newMeters(deps.Metrics)}
}

// Run runs one request and returns its answer.
func (r *Runner) Run(request Request) Answer {
	f := &flight{runner: r, request: request, wake: make(chan struct{}, 1)}
	defer r.meters.enter()()
	if request.Route.IsSearch() {
		f.parts = newParts(request.Route.Limit, len(request.Route.Shards))
	}
	f.asked = f.admission()
	if refusal, refused := f.enter(); refused {
		r.report(f, refusal)
		return refusal
	}
	f.admitted = time.Now()
	plan := relay.Plan{Route: request.Route, Service: request.Service, Arrived: request.Arrived, Overhead: request.Overhead, Deadline: deadline(request)}
	query, sends := relay.New(r.deps.Env, plan, time.Now())
	f.query = query
	f.send(sends)
	answer := f.wait()
	f.leave(answer)
	r.report(f, answer)
	return answer
}

// deadline is the time by which the answer has to leave.
func deadline(request Request) time.Time {
	wait := request.Route.Timeout
	if request.Wait > 0 && request.Wait < wait {
		wait = request.Wait
	}
	return request.Arrived.Add(wait - min(request.Overhead+returnMargin, wait/4))
}

// flight is one request under way.
type flight struct {
	runner  *Runner
	request Request
	// asked is what the request asked of the admission.
	asked admit.Request
	query *relay.Query
	calls []sent
	// orders are the groups of attempts that other VMs send.
	orders []*ferry.Ordered
	wake   chan struct{}

	mu      sync.Mutex
	replies []reply
	// over is set once the request is answered. Replies are then only learned
	// from.
	over bool

	// full counts the attempts that backend servers refused because they were
	// full.
	full int
	// starved is set once the budget denied a retry of a request that full servers
	// refused.
	starved bool

	// waiting lists the attempts without a reply when the request was answered.
	waiting []string

	admitted time.Time
	// outcome is what the admission is still to be told of an answered request, and
	// open the number of attempts without a result. mu guards both.
	outcome *admit.Outcome
	open    int
	// attempts counts all attempts.
	attempts int

	parts *parts
	// results keeps the answers of a request that is no search.
	results []pool.Result
}

// sent is one attempt.
type sent struct {
	call           *pool.Call
	shard, attempt int
}

// reply is the result of an attempt.
type reply struct {
	shard, attempt int
	result         pool.Result
	sentAt         time.Time
	// took is the time that the attempt took at the VM that sent it for this one.
	took time.Duration
	// block holds the part if another VM merged it with others, and records are its
	// records if that VM reported it alone.
	block   *block
	records []byte
}

// elapsed is the time that the attempt took.
func (r *reply) elapsed(now time.Time) time.Duration {
	if r.took > 0 {
		return r.took
	}
	return now.Sub(r.sentAt)
}

func (f *flight) send(sends []relay.Send) {
	for _, s := range f.carry(sends) {
		f.start(s)
	}
}

func (f *flight) start(s relay.Send) {
	now := time.Now()
	if s.Reason != "first" {
		f.runner.meters.repeat(s.Replica.Service, repeatSent)
		f.trace("request_"+s.Reason, "attempt overdue or unanswered", slog.Int("shard", s.Shard),
			slog.String("server", string(s.Replica.ID)), slog.Bool("crosses", s.Crosses), slog.Duration("left", s.Left))
	}
	traffic := f.runner.meters.traffic(s.Crosses)
	traffic.attempts.Inc()
	f.mu.Lock()
	f.open++
	f.attempts++
	f.mu.Unlock()
	call := f.runner.deps.Sender.Send(f.runner.target(s.Replica), f.request.Message, now.Add(s.Left), s.Wait, func(result pool.Result) {
		traffic.bytes.Add(result.Size())
		f.take(reply{shard: s.Shard, attempt: s.Attempt, result: result, sentAt: now})
	})
	f.calls = append(f.calls, sent{call: call, shard: s.Shard, attempt: s.Attempt})
}

// take accepts the result of an attempt, on any goroutine.
func (f *flight) take(r reply) {
	f.takeAll([]reply{r})
}

// takeAll accepts the results of attempts, on any goroutine.
func (f *flight) takeAll(replies []reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open -= len(replies)
	if f.over {
		for _, r := range replies {
			f.learnLate(r)
		}
		if f.open == 0 && f.outcome != nil {
			f.giveBack(time.Now())
		}
		return
	}
	f.replies = append(f.replies, replies...)
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *flight) isOver() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.over
}

// learnLate learns from a reply that came after the answer.
func (f *flight) learnLate(r reply) {
	now := time.Now()
	if r.result.Fate == pool.Answered || r.result.Fate == pool.NotRun {
		f.query.Answer(now, r.shard, r.attempt, f.interpret(now, r))
	} else {
		f.query.Abandon(now, r.shard, r.attempt, r.result.Cancelled)
	}
	r.result.Release()
}

// wait drives the query to its outcome.
func (f *flight) wait() Answer {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if outcome, ok := f.query.Outcome(); ok {
			return f.finish(outcome)
		}
		timer.Reset(time.Until(f.query.Next()))
		select {
		case <-f.wake:
			f.drain()
		case <-timer.C:
			f.send(f.query.Tick(time.Now()))
			f.reportDenied()
		case <-f.request.Gone:
			f.query.Stop()
			f.waiting = f.query.Waiting()
			f.end()
			return Answer{Gone: true}
		}
	}
}

// drain hands the replies that have arrived to the query.
func (f *flight) drain() {
	f.mu.Lock()
	replies := f.replies
	f.replies = nil
	f.mu.Unlock()
	now := time.Now()
	for _, r := range replies {
		f.learnLoad(now, &r)
		meaning := f.interpret(now, r)
		if meaning.Kind != relay.Served {
			f.trace("attempt_failed", meaning.Reason, slog.Int("shard", r.shard), slog.Int("attempt", r.attempt),
				slog.String("fate", r.result.Fate.String()), slog.Duration("after", now.Sub(r.sentAt)))
		}
		sends, counts := f.query.Answer(now, r.shard, r.attempt, meaning)
		f.keep(r, counts)
		f.send(sends)
	}
	f.reportDenied()
}

// reportDenied logs and counts the attempts that the budget did not bear.
func (f *flight) reportDenied() {
	for _, d := range f.query.Denied() {
		f.runner.meters.repeat(d.Service, repeatDenied)
		if d.Reason == hedge.NotRun && f.full > 0 {
			f.starved = true
		}
		f.trace("repeat_denied", d.Reason.String(), slog.Int("shard", d.Shard), slog.String("service", string(d.Service)),
			slog.Float64("balance", d.Spending.Balance), slog.Float64("limit", d.Spending.Limit), slog.Int("sharers", d.Spending.Sharers), slog.Duration("age", d.Spending.Age))
	}
}

// learnLoad takes what an answer told of its server's queue.
func (f *flight) learnLoad(now time.Time, r *reply) {
	result := &r.result
	if result.Slots == 0 {
		return
	}
	if result.Fate == pool.NotRun && !result.Misdirected && result.Running >= result.Slots {
		f.full++
	}
	perSlot := float64(result.Waiting) / float64(result.Slots)
	wait := time.Duration(perSlot * float64(now.Sub(r.sentAt)) / (1 + perSlot))
	f.runner.deps.Admit.Observe(now, f.asked.Service, f.asked.Class, wait, 0)
}

// keep keeps what the answer to the caller needs.
func (f *flight) keep(r reply, counts bool) {
	if f.request.Route.IsSearch() {
		switch {
		case r.block != nil && !r.block.spoiled:
			f.parts.addBlock(r.block)
		case counts && r.result.Response != nil:
			f.parts.add(r.shard, r.result.Signature, r.result.Response.Body())
		case counts:
			f.parts.add(r.shard, r.result.Signature, r.records)
		default:
		}
		r.result.Release()
		return
	}
	for len(f.results) <= r.attempt {
		f.results = append(f.results, pool.Result{})
	}
	f.results[r.attempt] = r.result
}

// end detaches the attempts that are still under way.
func (f *flight) end() {
	f.mu.Lock()
	f.over = true
	rest := f.replies
	f.replies = nil
	for _, r := range rest {
		f.learnLate(r)
	}
	f.mu.Unlock()
	for _, s := range f.calls {
		s.call.CancelAfter(linger)
	}
	for _, ordered := range f.orders {
		ordered.Cancel()
	}
}

func (f *flight) finish(outcome relay.Outcome) Answer {
	if outcome.Verdict == relay.Failed || outcome.Verdict == relay.TimedOut {
		outcome = f.query.Withdraw(f.withdraw)
	}
	f.waiting = f.query.Waiting()
	f.end()
	answer := Answer{Outcome: outcome}
	if outcome.Verdict == relay.Success {
		if f.request.Route.IsSearch() {
			answer.Signatures, answer.Records = f.parts.merged()
			answer.Missing = len(f.request.Route.Shards) - len(answer.Signatures)
		} else {
			answer.Result = f.results[outcome.Attempt]
			f.results[outcome.Attempt].Response = nil
		}
	}
	for i := range f.results {
		f.results[i].Release()
	}
	return answer
}

// withdraw gives an attempt up if it was not sent yet, and reports whether that
// is certain.
func (f *flight) withdraw(shard, attempt int) bool {
	for _, s := range f.calls {
		if s.shard == shard && s.attempt == attempt {
			return s.call.CancelUnsent()
		}
	}
	return false
}

func (f *flight) trace(kind, reason string, attrs ...slog.Attr) {
	f.runner.deps.Events.Trace(kind, f.request.Message.ID, reason, append(attrs, slog.String("route", f.request.Route.Name))...)
}

// report logs and counts the answer to a request.
func (r *Runner) report(f *flight, answer Answer) {
	took := time.Since(f.request.Arrived)
	kind := "request_answered"
	switch {
	case answer.Gone:
		kind = "request_cancelled"
		answer.Reason = "caller left"
	case answer.Verdict != relay.Success:
		kind = "request_" + answer.Verdict.String()
	case answer.Missing > 0:
		kind = "request_partial"
	case f.request.Route.Goal > 0 && took > f.request.Route.Goal:
		kind = "request_late"
	}
	r.meters.observe(f.request.Route, kind, took)
	if kind == "request_answered" {
		return
	}
	parts, crossed := 0, ""
	if f.query != nil {
		parts, crossed = f.query.Parts(), f.query.Crossings()
	}
	f.trace(kind, answer.Reason, slog.Duration("took", took), slog.Int("parts", parts), slog.Int("missing", answer.Missing),
		slog.Int("attempts", f.attempts), slog.String("crossed", crossed), slog.String("waiting", strings.Join(f.waiting, ",")), slog.Uint64("version", uint64(r.version())), slog.Duration("retry_after", answer.RetryAfter))
}

func (r *Runner) version() ident.Version {
	if table := r.deps.Beliefs.View().Table; table != nil {
		return table.Config().Version
	}
	return 0
}
