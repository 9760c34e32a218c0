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
	// killTimeout and stopTimeout limit the wait for a process to end after a
	// kill and after a planned stop.
	killTimeout = 5 * time.Second
	stopTimeout = 30 * time.Second
	// replaceTimeout limits the wait for the replacement of a process.
	replaceTimeout = 5 * time.Second
	// settleTime is the time between the end of a freeze and the next fault of the
	// same VM, in which requests that the freeze delayed can end.
	settleTime = 1500 * time.Millisecond
	// pollInterval is the time between two checks whether a process runs.
	pollInterval = 20 * time.Millisecond
)

// PID is a process id of the operating system.
type PID int

// Processes finds and signals the processes of VMs.
type Processes interface {
	// Find returns the present process of a VM. It fails if none runs.
	Find(vm ident.VMID) (PID, error)
	// Signal sends a signal to a process.
	Signal(pid PID, signal syscall.Signal) error
	// Runs reports whether the process still runs.
	Runs(pid PID) bool
	// DelayReplacement starts or ends a delay of the replacement of the VM's
	// process. The process isn't replaced before the delay ends.
	DelayReplacement(vm ident.VMID, on bool) error
}

// vmProcesses kills, freezes and stops the processes of VMs. Steps for the same
// VM run one after another, so that no process is killed during a planned stop.
type vmProcesses struct {
	processes Processes
	recorder  *trace.Recorder
	addresses map[ident.VMID]string
	locks     map[ident.VMID]subjectLock
}

func newVMProcesses(deps Deps) *vmProcesses {
	m := &vmProcesses{
		processes: deps.Processes,
		recorder:  deps.Recorder,
		addresses: map[ident.VMID]string{},
		locks:     map[ident.VMID]subjectLock{},
	}
	for _, vm := range deps.VMs {
		m.addresses[vm.ID] = vm.Address
		m.locks[vm.ID] = newSubjectLock()
	}
	return m
}

func (m *vmProcesses) register(i *Injector) {
	i.injections[KillVM] = m.exclusive(m.kill)
	i.injections[StopVM] = m.exclusive(m.stop)
	i.injections[FreezeVM] = m.exclusive(m.freeze)
}

// exclusive returns the injection that calls act with the present process of the
// step's VM while it holds the lock of the VM.
func (m *vmProcesses) exclusive(act func(context.Context, Step, ident.VMID, PID) error) injection {
	return func(ctx context.Context, step Step) error {
		vm := ident.VMID(step.Target)
		lock := m.locks[vm]
		if !lock.lock(ctx) {
			return ctx.Err()
		}
		defer lock.unlock()
		pid, err := m.processes.Find(vm)
		if err != nil {
			return err
		}
		return act(ctx, step, vm, pid)
	}
}

func (m *vmProcesses) kill(ctx context.Context, step Step, vm ident.VMID, pid PID) error {
	return m.terminateFor(ctx, step, termination{vm: vm, pid: pid, signal: syscall.SIGKILL, timeout: killTimeout})
}

func (m *vmProcesses) stop(ctx context.Context, step Step, vm ident.VMID, pid PID) error {
	return m.terminateFor(ctx, step, termination{vm: vm, pid: pid, signal: syscall.SIGTERM, timeout: stopTimeout, planned: true})
}

// termination is how a process is to be ended.
type termination struct {
	vm      ident.VMID
	pid     PID
	signal  syscall.Signal
	timeout time.Duration
	planned bool
}

// terminateFor ends a process, waits until it is gone and delays its replacement
// for the duration of the step.
func (m *vmProcesses) terminateFor(ctx context.Context, step Step, t termination) error {
	return applyFor(ctx, step.For,
		func() error { return m.terminate(t) },
		func() error { return m.awaitReplacement(ctx, t.vm) })
}

// awaitReplacement ends the delay of the replacement of a VM's process and waits
// up to replaceTimeout for the replacement, so that the next step for the VM
// finds a process.
func (m *vmProcesses) awaitReplacement(ctx context.Context, vm ident.VMID) error {
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

// terminate ends a process and waits until it is gone. It records the start and
// the end of that.
func (m *vmProcesses) terminate(t termination) error {
	if err := m.processes.DelayReplacement(t.vm, true); err != nil {
		return err
	}
	m.record(t, false)
	if err := m.processes.Signal(t.pid, t.signal); err != nil {
		return err
	}
	deadline := time.Now().Add(t.timeout)
	for m.processes.Runs(t.pid) {
		if time.Now().After(deadline) {
			return errors.Newf("chaos: %s still runs %s after signal %v", t.vm, t.timeout, t.signal)
		}
		time.Sleep(pollInterval)
	}
	m.record(t, true)
	return nil
}

func (m *vmProcesses) record(t termination, ended bool) {
	m.recorder.Record(trace.Event{Kind: trace.KindStop, Stop: &trace.Stop{
		VM:      t.vm,
		Address: m.addresses[t.vm],
		Planned: t.planned,
		Ended:   ended,
	}})
}

func (m *vmProcesses) freeze(ctx context.Context, step Step, _ ident.VMID, pid PID) error {
	err := applyFor(ctx, step.For,
		func() error { return m.processes.Signal(pid, syscall.SIGSTOP) },
		func() error { return m.processes.Signal(pid, syscall.SIGCONT) })
	sleep(ctx, settleTime)
	return err
}
