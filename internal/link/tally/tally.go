package tally

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/roll"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
)

const (
	// path is the path of reports on the port for other VMs.
	path = "/v1/rollout"
	// pollInterval is the time between two steps, a fraction of the time between reports.
	pollInterval = 50 * time.Millisecond
	// callTimeout bounds a report. The round trip to another VM is a few milliseconds, and a
	// pause of a busy VM 0.1 s.
	callTimeout = 400 * time.Millisecond
	// maxMessageBytes bounds a report. Those of 10 roll-outs of services with 20 routes in 4 zones
	// from 8 VMs have 0.4 MB.
	maxMessageBytes = 4 << 20
)

// Deps holds the dependencies of an Exchange.
type Deps struct {
	Member *roll.Member
	// Clock includes the time in suspension.
	Clock func() time.Duration
	// Rollouts returns the roll-outs that are ordered, and Situation what the VM knows beside the
	// time and the roll-outs.
	Rollouts  func() map[ident.ServiceID]roll.Rollout
	Situation func() roll.Situation
	// Permit puts permits into force.
	Permit func(map[ident.ServiceID]roll.Permit)
	// Store executes a write. It returns depot.ErrConflict if another VM wrote before.
	Store func(ctx context.Context, write roll.Write) error
	// Address returns the address of a VM, or "" if it is not known.
	Address func(vm ident.VMID) string
	Events  *events.Recorder
}

// Exchange runs the part of this VM in roll-outs.
type Exchange struct {
	deps Deps

	mu sync.Mutex
	// active is set while there are roll-outs.
	active bool
	// clients holds the connections to deciding VMs by address, and busy the VMs whose reply is
	// awaited.
	clients map[string]*httpc.Client
	busy    coll.Set[ident.VMID]
	calls   conc.WaitGroup
}

// New returns an exchange.
func New(deps Deps) *Exchange {
	return &Exchange{deps: deps, clients: map[string]*httpc.Client{}, busy: coll.NewSet[ident.VMID]()}
}

// Run takes part in roll-outs until ctx ends. Without any it makes no calls.
func (x *Exchange) Run(ctx context.Context) {
	defer x.calls.Wait()
	for sleep.For(ctx, pollInterval) {
		x.step(ctx)
	}
}

func (x *Exchange) step(ctx context.Context) {
	rollouts := x.deps.Rollouts()
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(rollouts) == 0 && !x.active {
		return
	}
	x.active = len(rollouts) > 0
	situation := x.deps.Situation()
	situation.Now, situation.Rollouts = x.deps.Clock(), rollouts
	step := x.deps.Member.Update(situation)
	x.deps.Permit(step.Permits)
	for _, message := range step.Messages {
		if !x.busy.Has(message.To) {
			x.busy.Add(message.To)
			x.calls.Go(func() { x.report(ctx, message) })
		}
	}
	for _, write := range step.Writes {
		x.calls.Go(func() { x.store(ctx, write) })
	}
	if !x.active {
		for address, client := range x.clients {
			client.Close()
			delete(x.clients, address)
		}
	}
}

// store executes a write. If it fails, the next decision repeats it.
func (x *Exchange) store(ctx context.Context, write roll.Write) {
	switch err := x.deps.Store(ctx, write); {
	case errors.Is(err, depot.ErrConflict):
		x.deps.Events.Sample("rollout_overtaken", string(write.Service), "another VM wrote the stage")
	case err != nil:
		x.deps.Events.Sample("rollout_unstored", string(write.Service), err.Error())
	default:
	}
}

// report sends reports to a VM and handles its replies.
func (x *Exchange) report(ctx context.Context, message roll.Message) {
	sentAt := x.deps.Clock()
	replies, err := x.call(ctx, message)
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busy, message.To)
	if err != nil {
		x.deps.Events.Sample("rollout_unreported", string(message.To), err.Error())
		x.deps.Member.HandleFailure(x.deps.Clock(), message.To)
		return
	}
	x.deps.Member.HandleReply(sentAt, message.To, replies)
}

func (x *Exchange) call(ctx context.Context, message roll.Message) ([]roll.Reply, error) {
	client, err := x.client(message.To)
	if err != nil {
		return nil, err
	}
	wire := encodeReports(message.Reports)
	body, err := wire.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "tally: encode")
	}
	answer, err := client.Do(ctx, httpc.Call{Method: fasthttp.MethodPost, Path: path, Body: body})
	if err != nil {
		return nil, err
	}
	if answer.Status != fasthttp.StatusOK {
		return nil, errors.Newf("tally: status %d", answer.Status)
	}
	return decodeReplies(answer.Body)
}

// client returns the client of a VM.
func (x *Exchange) client(vm ident.VMID) (*httpc.Client, error) {
	address := x.deps.Address(vm)
	if address == "" {
		return nil, errors.Newf("tally: the address of %s is not known", vm)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if client := x.clients[address]; client != nil {
		return client, nil
	}
	client, err := httpc.New("http://"+address, httpc.Options{Timeout: callTimeout, DialTimeout: callTimeout, Connections: 1})
	if err != nil {
		return nil, errors.Wrap(err, "tally: client")
	}
	x.clients[address] = client
	return client, nil
}

// CountIn returns the number of roll-outs in a phase.
func (x *Exchange) CountIn(phase roll.Phase) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.deps.Member.CountIn(phase)
}

// Status returns what is known of each roll-out, for the state dump.
func (x *Exchange) Status() map[ident.ServiceID]roll.Status {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.deps.Member.Status()
}

// Handler returns a handler of the reports of other VMs. fallback handles other paths.
func (x *Exchange) Handler(fallback fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != path {
			fallback(ctx)
			return
		}
		var reports []roll.Report
		err := errors.New("tally: too large")
		if len(ctx.PostBody()) <= maxMessageBytes {
			reports, err = decodeReports(ctx.PostBody())
		}
		if err != nil {
			x.deps.Events.Sample("rollout_unreadable", ctx.RemoteAddr().String(), err.Error())
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		x.mu.Lock()
		replies := x.deps.Member.HandleReport(x.deps.Clock(), reports)
		x.mu.Unlock()
		body, err := encodeReplies(replies)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetBody(body)
	}
}

func encodeReports(reports []roll.Report) *Reports {
	wire := &Reports{Reports: make([]Report, 0, len(reports))}
	for _, r := range reports {
		one := Report{
			VM: string(r.VM), Boot: r.Boot, Number: r.Number, Service: string(r.Service), Position: uint64(r.Position), Seq: r.Seq,
			TargetRunning: r.TargetRunning, OthersRunning: r.OthersRunning,
		}
		for bucket, c := range r.Counts {
			one.Counts = append(one.Counts, Count{
				Route: bucket.Route, Zone: string(bucket.Zone), TargetFailed: c.Target.Failed, OthersFailed: c.Others.Failed,
				TargetTimes: c.Target.Times[:], OthersTimes: c.Others.Times[:],
			})
		}
		wire.Reports = append(wire.Reports, one)
	}
	return wire
}

func decodeReports(body []byte) ([]roll.Report, error) {
	var wire Reports
	if _, err := wire.UnmarshalMsg(body); err != nil {
		return nil, errors.Wrap(err, "tally: decode reports")
	}
	reports := make([]roll.Report, 0, len(wire.Reports))
	for _, r := range wire.Reports {
		one := roll.Report{
			VM: ident.VMID(r.VM), Boot: r.Boot, Number: r.Number, Service: ident.ServiceID(r.Service), Position: depot.Position(r.Position), Seq: r.Seq,
			TargetRunning: r.TargetRunning, OthersRunning: r.OthersRunning, Counts: make(map[roll.Bucket]roll.Counts, len(r.Counts)),
		}
		for _, c := range r.Counts {
			counts := roll.Counts{Target: roll.Tally{Failed: c.TargetFailed}, Others: roll.Tally{Failed: c.OthersFailed}}
			copy(counts.Target.Times[:], c.TargetTimes)
			copy(counts.Others.Times[:], c.OthersTimes)
			one.Counts[roll.Bucket{Route: c.Route, Zone: ident.Zone(c.Zone)}] = counts
		}
		reports = append(reports, one)
	}
	return reports, nil
}

func encodeReplies(replies []roll.Reply) ([]byte, error) {
	wire := &Replies{Replies: make([]Reply, 0, len(replies))}
	for _, r := range replies {
		record, err := json.Marshal(r.Record)
		if err != nil {
			return nil, errors.Wrap(err, "tally: encode record")
		}
		wire.Replies = append(wire.Replies, Reply{
			Service: string(r.Service), Declined: r.Declined, Share: r.Share, AgeMicros: r.Age.Microseconds(), Record: record,
		})
	}
	body, err := wire.MarshalMsg(nil)
	return body, errors.Wrap(err, "tally: encode replies")
}

func decodeReplies(body []byte) ([]roll.Reply, error) {
	var wire Replies
	if _, err := wire.UnmarshalMsg(body); err != nil {
		return nil, errors.Wrap(err, "tally: decode replies")
	}
	replies := make([]roll.Reply, 0, len(wire.Replies))
	for _, r := range wire.Replies {
		one := roll.Reply{Service: ident.ServiceID(r.Service), Declined: r.Declined, Share: r.Share, Age: time.Duration(r.AgeMicros) * time.Microsecond}
		if err := json.Unmarshal(r.Record, &one.Record); err != nil {
			return nil, errors.Wrap(err, "tally: decode record")
		}
		replies = append(replies, one)
	}
	return replies, nil
}
