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

// changeTimeout bounds the wait of an operator for the outcome of a change.
const changeTimeout = 10 * time.Second

// Operator carries out changes of the configuration.
type Operator interface {
	Do(ctx context.Context, request change.Request) change.Outcome
}

// operators takes zones and backend servers out of service and back, and
// applies documents that race each other.
type operators struct {
	operator  Operator
	recorder  *trace.Recorder
	documents map[ident.ServiceID]*svcdoc.Document
	// races numbers the documents that are applied, so that all differ.
	races atomic.Int64

	mu    sync.Mutex
	turns map[string]turn
}

func newOperators(deps Deps) *operators {
	o := &operators{
		operator:  deps.Operator,
		recorder:  deps.Recorder,
		documents: map[ident.ServiceID]*svcdoc.Document{},
		turns:     map[string]turn{},
	}
	for _, document := range deps.Documents {
		o.documents[document.Service] = document
	}
	return o
}

func (o *operators) register(i *Injector) {
	i.effects[ZoneOut] = o.inTurn(change.ZoneOut, change.ZoneIn)
	i.effects[ServerOut] = o.inTurn(change.ServerOut, change.ServerIn)
	i.effects[Race] = o.race
}

// turn returns the turn of a zone or backend server.
func (o *operators) turn(subject string) turn {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.turns[subject] == nil {
		o.turns[subject] = newTurn()
	}
	return o.turns[subject]
}

// inTurn returns the effect that takes a subject out of service and back.
// Steps for the same subject wait for each other.
func (o *operators) inTurn(out, in change.Kind) effect {
	return func(ctx context.Context, step Step) error {
		turn := o.turn(step.Target)
		if !turn.take(ctx) {
			return ctx.Err()
		}
		defer turn.release()
		return during(ctx, step.For,
			func() error { return o.do(ctx, change.Request{Kind: out, Subject: step.Target}) },
			func() error { return o.do(ctx, change.Request{Kind: in, Subject: step.Target}) })
	}
}

// race lets two operators apply documents of one service at once, which are
// the same at every other time, and later applies the original one.
func (o *operators) race(ctx context.Context, step Step) error {
	document := o.documents[ident.ServiceID(step.Target)]
	number := o.races.Add(2)
	other := number - number/2%2
	return during(ctx, step.For,
		func() error {
			var group conc.WaitGroup
			group.Go(func() { _ = o.do(ctx, applyRequest(document, number)) })
			group.Go(func() { _ = o.do(ctx, applyRequest(document, other)) })
			group.Wait()
			return nil
		},
		func() error { return o.do(ctx, applyRequest(document, 0)) })
}

// applyRequest returns the request to apply a document with a deadline that
// number determines.
func applyRequest(document *svcdoc.Document, number int64) change.Request {
	edited := *document
	edited.Deadline += time.Duration(number) * time.Millisecond
	return change.Request{Kind: change.Apply, Subject: string(document.Service), Document: &edited}
}

// do carries out a change and records it. It fails unless what was asked for is
// in force.
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

var verbs = map[change.Kind]trace.Verb{
	change.Apply:     trace.VerbApply,
	change.ZoneOut:   trace.VerbZoneOut,
	change.ZoneIn:    trace.VerbZoneIn,
	change.ServerOut: trace.VerbServerOut,
	change.ServerIn:  trace.VerbServerIn,
}

// result returns what the operator was told. A change that was in force
// already only read the serial.
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
