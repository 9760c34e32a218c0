package chaos

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/change"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// changeTimeout limits the wait for the outcome of a change.
const changeTimeout = 10 * time.Second

// Operator makes changes of the configuration and returns their outcomes.
type Operator interface {
	Do(ctx context.Context, request change.Request) change.Outcome
}

// operators takes zones and backend servers out of service and returns them to
// it, and applies documents of one service concurrently.
type operators struct {
	operator  Operator
	recorder  *trace.Recorder
	documents map[ident.ServiceID]*svcdoc.Document
	// edits is the number of the last edited document, by which edits differ.
	edits atomic.Int64

	mu sync.Mutex
	// locks holds the lock of each zone and backend server.
	locks map[string]subjectLock
}

func newOperators(deps Deps) *operators {
	o := &operators{
		operator:  deps.Operator,
		recorder:  deps.Recorder,
		documents: map[ident.ServiceID]*svcdoc.Document{},
		locks:     map[string]subjectLock{},
	}
	for _, document := range deps.Documents {
		o.documents[document.Service] = document
	}
	return o
}

func (o *operators) register(i *Injector) {
	i.injections[ZoneOut] = o.takeOut(change.ZoneOut, change.ZoneIn)
	i.injections[ServerOut] = o.takeOut(change.ServerOut, change.ServerIn)
	i.injections[Race] = o.race
}

// lock returns the lock of a zone or backend server, which it creates on first
// use.
func (o *operators) lock(subject string) subjectLock {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.locks[subject] == nil {
		o.locks[subject] = newSubjectLock()
	}
	return o.locks[subject]
}

// takeOut returns the injection that takes a subject out of service by a change
// of kind out and returns it to service by one of kind in. Steps for the same
// subject run one after another.
func (o *operators) takeOut(out, in change.Kind) injection {
	return func(ctx context.Context, step Step) error {
		lock := o.lock(step.Target)
		if !lock.lock(ctx) {
			return ctx.Err()
		}
		defer lock.unlock()
		return applyFor(ctx, step.For,
			func() error { return o.do(ctx, change.Request{Kind: out, Subject: step.Target}) },
			func() error { return o.do(ctx, change.Request{Kind: in, Subject: step.Target}) })
	}
}

// race applies two edited documents of a service concurrently and later applies
// the original one. The two are identical in every second step.
func (o *operators) race(ctx context.Context, step Step) error {
	document := o.documents[ident.ServiceID(step.Target)]
	number := o.edits.Add(2)
	other := number - number/2%2
	return applyFor(ctx, step.For,
		func() error {
			var group conc.WaitGroup
			group.Go(func() { _ = o.do(ctx, applyRequest(document, number)) })
			group.Go(func() { _ = o.do(ctx, applyRequest(document, other)) })
			group.Wait()
			return nil
		},
		func() error { return o.do(ctx, applyRequest(document, 0)) })
}

// applyRequest returns the request to apply a document whose deadline is extended
// by number milliseconds.
func applyRequest(document *svcdoc.Document, number int64) change.Request {
	edited := *document
	edited.Deadline += time.Duration(number) * time.Millisecond
	return change.Request{Kind: change.Apply, Subject: string(document.Service), Document: &edited}
}

// do makes a change and records its outcome. It fails unless the change was
// accepted or was in force already. The end of ctx does not interrupt it.
func (o *operators) do(ctx context.Context, request change.Request) error {
	request.By = "chaos"
	begun := o.recorder.Now()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), changeTimeout)
	defer cancel()
	outcome := o.operator.Do(bounded, request)
	o.recorder.Record(trace.Event{Kind: trace.KindCommand, Command: &trace.Command{
		Change:   outcome.ID,
		Verb:     verbs[request.Kind],
		Subject:  request.Subject,
		IssuedAt: begun,
		Result:   result(outcome.Status),
		Serial:   outcome.Serial,
	}})
	if outcome.Status != change.Accepted && outcome.Status != change.Unchanged {
		return errors.Newf("chaos: %s %s is %s: %s", request.Kind, request.Subject, outcome.Status, outcome.Reason)
	}
	return nil
}

// verbs are the names of changes in histories.
var verbs = map[change.Kind]trace.Verb{
	change.Apply:     trace.VerbApply,
	change.ZoneOut:   trace.VerbZoneOut,
	change.ZoneIn:    trace.VerbZoneIn,
	change.ServerOut: trace.VerbServerOut,
	change.ServerIn:  trace.VerbServerIn,
}

// result returns the result that the history records for a change. A change that
// was in force already counts as a read of the serial.
func result(status change.Status) trace.Result {
	switch status {
	case change.Accepted:
		return trace.ResultAccepted
	case change.Unchanged:
		return trace.ResultRead
	case change.Unknown:
		return trace.ResultUnknown
	default:
		return trace.ResultRejected
	}
}
