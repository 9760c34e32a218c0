package entry

import (
	"context"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/mesh"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/engine"
)

// copies is the number of copies of a result while it is encoded for the caller.
const copies = 2

// execution runs the state machine of one request. Its methods are safe for
// concurrent use.
type execution struct {
	mesh mesh.Sender
	// done receives the result. It has a buffer of one.
	done chan engine.Result

	mu      sync.Mutex
	machine engine.Machine
	ended   bool
	timer   *time.Timer
	// unsentSteps holds the steps whose messages have not been sent. They are
	// sent in order and without holding mu, because the mesh may deliver the
	// reply before the send returns.
	unsentSteps []engine.Step
	sending     bool
	// held accounts for the memory of the hits or the body so far. It is nil until an answer
	// arrives that holds memory.
	held *budget.Holder
}

func newExecution(machine engine.Machine, sender mesh.Sender) *execution {
	return &execution{mesh: sender, done: make(chan engine.Result, 1), machine: machine}
}

// execute runs a request and returns its result, and what accounts for the memory of it. It
// aborts the request when ctx is done.
func (e *Entry) execute(ctx context.Context, spec engine.Spec) (engine.Result, *budget.Holder) {
	x := newExecution(e.newMachine(spec), e.deps.Mesh)
	e.pending.add(spec.ID, x)
	defer e.pending.remove(spec.ID)
	x.start()
	select {
	case result := <-x.done:
		return result, x.held
	case <-ctx.Done():
		x.handleEvent(func(now time.Time) engine.Step { return x.machine.Abort(now, "the caller gave up") })
		result := <-x.done
		return result, x.held
	}
}

func (e *Entry) newMachine(spec engine.Spec) engine.Machine {
	deps := e.machineDeps(spec.Service)
	if spec.Kind == msgs.KindAction {
		return engine.NewAction(deps, spec)
	}
	return engine.NewQuery(deps, spec)
}

func (x *execution) start() {
	x.handleEvent(x.machine.Start)
}

func (x *execution) onReply(from ident.VMID, reply msgs.Reply) {
	defer msgs.Release(reply.Answers)
	x.handleEvent(func(now time.Time) engine.Step {
		step := x.machine.OnReply(now, from, reply)
		x.hold(reply.Answers)
		return step
	})
}

// hold takes over the memory of answers that the machine has handled.
func (x *execution) hold(answers []msgs.Answer) {
	for i := range answers {
		if x.held == nil && answers[i].Held != nil {
			x.held = answers[i].Held.Sibling(x.onNoMemory)
		}
	}
	if x.held != nil {
		x.held.Set(budget.Answer, copies*x.machine.Size())
	}
}

// onNoMemory ends the request with the answers so far, to make room for other requests. Otherwise
// all would wait for their last answer, and none would get the memory for it.
func (x *execution) onNoMemory() {
	x.handleEvent(func(now time.Time) engine.Step { return x.machine.Abort(now, "no memory for the other answers") })
}

func (x *execution) onLost(to ident.VMID, query msgs.Query, sent bool) {
	x.handleEvent(func(now time.Time) engine.Step { return x.machine.OnLost(now, to, query, sent) })
}

func (x *execution) onTimer() {
	x.handleEvent(x.machine.OnTimer)
}

// handleEvent passes one event to the machine, resets the timer or publishes the
// result, and sends the messages. Events after the result are ignored.
func (x *execution) handleEvent(event func(now time.Time) engine.Step) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return
	}
	step := event(time.Now())
	x.unsentSteps = append(x.unsentSteps, step)
	if step.Result != nil {
		x.finishLocked(*step.Result)
	} else {
		x.resetTimerLocked()
	}
	x.sendQueuedLocked()
}

func (x *execution) finishLocked(result engine.Result) {
	x.ended = true
	if x.timer != nil {
		x.timer.Stop()
	}
	x.done <- result
}

func (x *execution) resetTimerLocked() {
	wait := time.Until(x.machine.NextTimer())
	if x.timer == nil {
		x.timer = time.AfterFunc(wait, x.onTimer)
		return
	}
	x.timer.Reset(wait)
}

// sendQueuedLocked sends unsentSteps unless another goroutine is already sending
// them. It releases mu during each send.
func (x *execution) sendQueuedLocked() {
	if x.sending {
		return
	}
	x.sending = true
	for len(x.unsentSteps) > 0 {
		step := x.unsentSteps[0]
		x.unsentSteps = x.unsentSteps[1:]
		x.mu.Unlock()
		x.send(step)
		x.mu.Lock()
	}
	x.sending = false
}

func (x *execution) send(step engine.Step) {
	for _, send := range step.Sends {
		x.mesh.SendQuery(send.To, send.Query)
	}
	for _, cancel := range step.Cancels {
		x.mesh.SendCancel(cancel.To, cancel.Cancel)
	}
}
