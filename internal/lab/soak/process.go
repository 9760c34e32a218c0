package soak

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process runs a program and restarts it when it exits. It signals only the process
// that it started. It is safe for concurrent use.
type Process struct {
	// programs are run in turn, one at each start.
	programs []string
	starts   int
	args     []string
	// logs is the file to which the program's output is appended.
	logs string
	// restartDelay is the time between an exit and the next start.
	restartDelay time.Duration
	// onExit is called after each exit with the state and whether a signal of this
	// Process may have caused it.
	onExit func(state *os.ProcessState, asked bool)

	mu        sync.Mutex
	cmd       *exec.Cmd
	signalled bool
	closed    bool
	done      chan struct{}
}

// StartProcess starts a program whose output is appended to the file logs, and starts the next
// of programs, in turn, restartDelay after each exit until Close. It calls onExit after each
// exit.
func StartProcess(programs, args []string, logs string, restartDelay time.Duration, onExit func(*os.ProcessState, bool)) (*Process, error) {
	p := &Process{programs: programs, args: args, logs: logs, restartDelay: restartDelay, onExit: onExit, done: make(chan struct{})}
	cmd, err := p.start()
	if err != nil {
		return nil, err
	}
	go p.supervise(cmd)
	return p, nil
}

func (p *Process) start() (*exec.Cmd, error) {
	logs, err := os.OpenFile(p.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "soak: logs of a process")
	}
	defer func() { _ = logs.Close() }()
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.programs[p.starts%len(p.programs)], p.args...)
	cmd.Stdout, cmd.Stderr = logs, logs
	if p.closed {
		return nil, errors.New("soak: process is closed")
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "soak: start a process")
	}
	p.starts++
	p.cmd, p.signalled = cmd, false
	return cmd, nil
}

// supervise waits for the process and restarts it, until Close or a failed start.
func (p *Process) supervise(cmd *exec.Cmd) {
	defer close(p.done)
	for {
		// The state says how it exited; the error only repeats that.
		_ = cmd.Wait()
		p.mu.Lock()
		signalled, closed := p.signalled, p.closed
		p.cmd = nil
		p.mu.Unlock()
		if closed {
			return
		}
		p.onExit(cmd.ProcessState, signalled)
		time.Sleep(p.restartDelay)
		next, err := p.start()
		if err != nil {
			return
		}
		cmd = next
	}
}

// Signal sends a signal to the running process. It reports false if no process runs or
// the signal can't be sent. mayEnd says whether the signal may make the process exit.
func (p *Process) Signal(signal syscall.Signal, mayEnd bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	p.signalled = p.signalled || mayEnd
	return p.cmd.Process.Signal(signal) == nil
}

// Handles reports whether the running process ignores or catches a signal. Before its
// program is loaded, a process handles none.
func (p *Process) Handles(signal syscall.Signal) bool {
	ignored, caught := Disposition(p.PID(), signal)
	return ignored || caught
}

// Disposition reports whether a process ignores or catches a signal. Both are false if
// the signal has its default action or there is no such process.
func Disposition(pid int, signal syscall.Signal) (ignored, caught bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false, false
	}
	has := func(name string) bool {
		_, rest, _ := strings.Cut(string(status), "\n"+name+":")
		line, _, _ := strings.Cut(rest, "\n")
		mask, err := strconv.ParseUint(strings.TrimSpace(line), 16, 64)
		return err == nil && mask&(1<<(signal-1)) != 0
	}
	return has("SigIgn"), has("SigCgt")
}

// PID returns the id of the running process, or 0.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Close kills the process, waits for its exit and doesn't restart it.
func (p *Process) Close() {
	p.mu.Lock()
	p.closed = true
	if p.cmd != nil {
		// An error means that it has exited already.
		_ = p.cmd.Process.Kill()
	}
	p.mu.Unlock()
	<-p.done
}
