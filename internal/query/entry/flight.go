package entry

import (
	"context"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/mesh"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/course"
)

// flight drives the machine of one request. Its methods are safe for
// concurrent use.
type flight struct {
	mesh mesh.Sender
	done chan course.Result

	mu      sync.Mutex
	machine course.Machine
	ended   bool
	timer   *time.Timer
	// queue holds steps whose messages have not been sent. They are sent in
	// order and without the lock, because the mesh may answer at once.
	queue    []course.Step
	flushing bool
}

func newFlight(machine course.Machine, sender mesh.Sender) *flight {
	return &flight{mesh: sender, done: make(chan course.Result, 1), machine: machine}
}

// execute runs a request to its end.
func (e *Entry) execute(ctx context.Context, spec course.Spec) course.Result {
	f := newFlight(e.machine(spec), e.deps.Mesh)
	e.pending.add(spec.ID, f)
	defer e.pending.remove(spec.ID)
	f.start()
	select {
	case result := <-f.done:
		return result
	case <-ctx.Done():
		f.step(func(now time.Time) course.Step { return f.machine.Abort(now, "the caller gave up") })
		return <-f.done
	}
}

func (e *Entry) machine(spec course.Spec) course.Machine {
	deps := e.machineDeps(spec.Service)
	if spec.Kind == msgs.KindAction {
		return course.NewAction(deps, spec)
	}
	return course.NewQuery(deps, spec)
}

func (f *flight) start() {
	f.step(f.machine.Start)
}

func (f *flight) onReply(from ident.VMID, reply msgs.Reply) {
	f.step(func(now time.Time) course.Step { return f.machine.OnReply(now, from, reply) })
}

func (f *flight) onLost(to ident.VMID, query msgs.Query, sent bool) {
	f.step(func(now time.Time) course.Step { return f.machine.OnLost(now, to, query, sent) })
}

func (f *flight) onTimer() {
	f.step(f.machine.OnTimer)
}

// step feeds one event to the machine and carries out what it asks for.
func (f *flight) step(event func(now time.Time) course.Step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	step := event(time.Now())
	f.queue = append(f.queue, step)
	if step.Result != nil {
		f.finishLocked(*step.Result)
	} else {
		f.resetTimerLocked()
	}
	f.flushLocked()
}

func (f *flight) finishLocked(result course.Result) {
	f.ended = true
	if f.timer != nil {
		f.timer.Stop()
	}
	f.done <- result
}

func (f *flight) resetTimerLocked() {
	wait := time.Until(f.machine.NextTimer())
	if f.timer == nil {
		f.timer = time.AfterFunc(wait, f.onTimer)
		return
	}
	f.timer.Reset(wait)
}

// flushLocked sends the queued steps. It gives up the lock while it sends.
func (f *flight) flushLocked() {
	if f.flushing {
		return
	}
	f.flushing = true
	for len(f.queue) > 0 {
		step := f.queue[0]
		f.queue = f.queue[1:]
		f.mu.Unlock()
		f.send(step)
		f.mu.Lock()
	}
	f.flushing = false
}

func (f *flight) send(step course.Step) {
	for _, send := range step.Sends {
		f.mesh.SendQuery(send.To, send.Query)
	}
	for _, cancel := range step.Cancels {
		f.mesh.SendCancel(cancel.To, cancel.Cancel)
	}
}
