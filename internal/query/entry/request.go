package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/engine"
)

// Request is a request of a caller.
type Request struct {
	// ID is the caller's ID of the request, for logs only.
	ID      string
	Service ident.ServiceID
	// Class is the name of the caller class. Unknown classes have the lowest
	// priority.
	Class string
	// Deadline is the time by which the caller needs the answer. Zero means the
	// default of the service document.
	Deadline time.Time
	// Key is the key of a lookup or the idempotency key of an action.
	Key string
	// Route selects the shard of an action. Empty means Key.
	Route  string
	Action string
	// Body is retained and must not be changed after the call.
	Body []byte
	// Limit is the maximum number of hits of a search.
	Limit int
}

// RequestProblem says what is wrong with a request that was rejected because of
// its content or deadline.
type RequestProblem uint8

const (
	// ProblemNone means that the request is valid.
	ProblemNone RequestProblem = iota
	// ProblemUnknownService means that no document is in force for the service.
	ProblemUnknownService
	// ProblemUnknownAction means that the service document does not list the
	// action.
	ProblemUnknownAction
	// ProblemDeadlinePassed means that the deadline has passed.
	ProblemDeadlinePassed
)

// Result is the result of a request. If Problem is set, the request was not run.
type Result struct {
	engine.Result
	Problem RequestProblem
	held    *budget.Holder
}

// Release gives back the memory of the result, which must not be used afterwards.
func (r *Result) Release() {
	r.held.Release()
}

// Search runs a search over all shards. It returns by the deadline or when ctx is
// done, if need be with the hits of only some shards.
func (e *Entry) Search(ctx context.Context, request Request) Result {
	return e.handle(ctx, request, msgs.KindSearch)
}

// Lookup reads one key from the shard that the key selects. It returns by the
// deadline or when ctx is done.
func (e *Entry) Lookup(ctx context.Context, request Request) Result {
	request.Route = request.Key
	return e.handle(ctx, request, msgs.KindLookup)
}

// Action runs a non-idempotent action at most once. It returns by the deadline or
// when ctx is done, with OutcomeUnknown if the action may have run.
func (e *Entry) Action(ctx context.Context, request Request) Result {
	if request.Route == "" {
		request.Route = request.Key
	}
	return e.handle(ctx, request, msgs.KindAction)
}

func (e *Entry) handle(ctx context.Context, request Request, kind msgs.Kind) Result {
	e.active.begin()
	defer e.active.end()
	now := time.Now()
	current := e.deps.Views.Load()
	if !current.Admitting {
		return e.refuse(request, current.Refusal, notAdmittingRetryAfter)
	}
	doc, ok := current.Config.Services[request.Service]
	if !ok {
		return problemResult(ProblemUnknownService, "unknown service")
	}
	if kind == msgs.KindAction && !doc.IsNonIdempotent(request.Action) {
		return problemResult(ProblemUnknownAction, "unknown action")
	}
	spec := e.spec(now, request, kind, doc)
	if !now.Before(spec.Deadline) {
		return problemResult(ProblemDeadlinePassed, "the deadline has passed")
	}
	return e.admitAndRun(ctx, now, request, spec)
}

// notAdmittingRetryAfter is the RetryAfter of requests that are refused because
// this VM admits no new requests.
const notAdmittingRetryAfter = time.Second

func (e *Entry) admitAndRun(ctx context.Context, now time.Time, request Request, spec engine.Spec) Result {
	admission := admit.Request{Service: spec.Service, Class: spec.Class, Deadline: spec.Deadline}
	decision := e.admit.Admit(now, admission)
	if !decision.Admitted {
		return e.refuse(request, decision.Reason, decision.RetryAfter)
	}
	result, held := e.execute(ctx, spec)
	end := time.Now()
	e.metrics.observe(spec.Service, spec.Kind, &result, end.Sub(now))
	e.admit.Done(end, admission, admit.Outcome{
		Took:       end.Sub(now),
		Late:       result.Reason == engine.ReasonDeadline,
		Overloaded: result.Overloaded,
	})
	return Result{Result: result, held: held}
}

func (e *Entry) spec(now time.Time, request Request, kind msgs.Kind, doc *svcdoc.Document) engine.Spec {
	deadline := request.Deadline
	if deadline.IsZero() {
		deadline = now.Add(doc.Deadline)
	}
	return engine.Spec{
		ID:       e.lastID.Add(1),
		Service:  request.Service,
		Kind:     kind,
		Class:    doc.Class(request.Class),
		Key:      request.Key,
		Route:    request.Route,
		Action:   request.Action,
		Body:     request.Body,
		Limit:    request.Limit,
		Deadline: deadline.Add(-min(answerMargin, deadline.Sub(now)/2)),
	}
}

// refuse returns a result for a request that is not admitted. Every refusal is
// counted; only a sample is logged.
func (e *Entry) refuse(request Request, reason string, retryAfter time.Duration) Result {
	e.deps.Events.Sample("query_refused", string(request.Service), reason,
		slog.String("request", request.ID), slog.String("class", request.Class))
	return Result{Result: engine.Result{Outcome: engine.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}}
}

func problemResult(problem RequestProblem, reason string) Result {
	return Result{Problem: problem, Result: engine.Result{Outcome: engine.OutcomeNotRun, Reason: reason}}
}
