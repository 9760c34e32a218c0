package chaos

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

const (
	// killTimeout and stopTimeout bound the wait for the end of a process.
	killTimeout = 5 * time.Second
	stopTimeout = 30 * time.Second
	// replaceTimeout bounds the wait for the process that replaces one.
	replaceTimeout = 5 * time.Second
	// settleTime separates a freeze from the next fault of the same VM, so that
	// requests that the freeze delayed are over.
	settleTime = 1500 * time.Millisecond
	// pollInterval is the time between two looks at a process.
	pollInterval = 20 * time.Millisecond
)

// PID is the id of an operating system's process.
type PID int

// Processes signals the processes of VMs.
type Processes interface {
	// Find returns the present process of a VM. It fails if none runs.
	Find(vm ident.VMID) (PID, error)
	Signal(pid PID, signal syscall.Signal) error
	// Runs reports whether the process still runs.
	Runs(pid PID) bool
	// DelayReplacement delays the replacement of the VM's process while on is true.
	DelayReplacement(vm ident.VMID, on bool) error
}

// machines kills, freezes and stops the processes of VMs. Steps for the same
// VM wait for each other, so that a planned stop is never also a kill.
type machines struct {
	processes Processes
	recorder  *trace.Recorder
	addresses map[ident.VMID]string
	turns     map[ident.VMID]turn
}

func newMachines(deps Deps) *machines {
	m := &machines{
		processes: deps.Processes,
		recorder:  deps.Recorder,
		addresses: map[ident.VMID]string{},
		turns:     map[ident.VMID]turn{},
	}
	for _, vm := range deps.VMs {
		m.addresses[vm.ID] = vm.Address
		m.turns[vm.ID] = newTurn()
	}
	return m
}

func (m *machines) register(i *Injector) {
	i.effects[KillVM] = m.inTurn(m.kill)
	i.effects[StopVM] = m.inTurn(m.stop)
	i.effects[FreezeVM] = m.inTurn(m.freeze)
}

// inTurn returns the effect of an action on the present process of a VM.
func (m *machines) inTurn(act func(context.Context, Step, ident.VMID, PID) error) effect {
	return func(ctx context.Context, step Step) error {
		vm := ident.VMID(step.Target)
		turn := m.turns[vm]
		if !turn.take(ctx) {
			return ctx.Err()
		}
		defer turn.release()
		pid, err := m.processes.Find(vm)
		if err != nil {
			return err
		}
		return act(ctx, step, vm, pid)
	}
}

func (m *machines) kill(ctx context.Context, step Step, vm ident.VMID, pid PID) error {
	return m.end(ctx, step, ending{vm: vm, pid: pid, signal: syscall.SIGKILL, timeout: killTimeout})
}

func (m *machines) stop(ctx context.Context, step Step, vm ident.VMID, pid PID) error {
	return m.end(ctx, step, ending{vm: vm, pid: pid, signal: syscall.SIGTERM, timeout: stopTimeout, planned: true})
}

// ending says how a process is ended.
type ending struct {
	vm      ident.VMID
	pid     PID
	signal  syscall.Signal
	timeout time.Duration
	planned bool
}

// end ends a process, waits until it is gone and delays its replacement.
func (m *machines) end(ctx context.Context, step Step, e ending) error {
	return during(ctx, step.For,
		func() error { return m.terminate(e) },
		func() error { return m.replace(ctx, e.vm) })
}

// replace lets the process of a VM be replaced and waits for that, so that the
// next step for the VM finds one.
func (m *machines) replace(ctx context.Context, vm ident.VMID) error {
	if err := m.processes.DelayReplacement(vm, false); err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	for {
		if _, err := m.processes.Find(vm); err == nil || !sleep(bounded, pollInterval) {
			return nil
		}
	}
}

func (m *machines) terminate(e ending) error {
	if err := m.processes.DelayReplacement(e.vm, true); err != nil {
		return err
	}
	m.record(e, false)
	if err := m.processes.Signal(e.pid, e.signal); err != nil {
		return err
	}
	deadline := time.Now().Add(e.timeout)
	for m.processes.Runs(e.pid) {
		if time.Now().After(deadline) {
			return errors.Newf("chaos: %s runs %s after signal %v", e.vm, e.timeout, e.signal)
		}
		time.Sleep(pollInterval)
	}
	m.record(e, true)
	return nil
}

func (m *machines) record(e ending, ended bool) {
	m.recorder.Record(trace.Event{Kind: trace.KindStop, Stop: &trace.Stop{
		VM:      e.vm,
		Address: m.addresses[e.vm],
		Planned: e.planned,
		Ended:   ended,
	}})
}

func (m *machines) freeze(ctx context.Context, step Step, _ ident.VMID, pid PID) error {
	err := during(ctx, step.For,
		func() error { return m.processes.Signal(pid, syscall.SIGSTOP) },
		func() error { return m.processes.Signal(pid, syscall.SIGCONT) })
	sleep(ctx, settleTime)
	return err
}
