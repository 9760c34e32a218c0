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

// Process runs a program, and starts it again when it ends. It signals only the
// process that it started. It is safe for concurrent use.
type Process struct {
	program string
	args    []string
	// logs gets what the program writes.
	logs string
	// pause is the time between an end and the next start.
	restartDelay time.Duration
	// ended is told each end: the state, and whether a signal of this Process
	// may have caused it.
	onExit func(state *os.ProcessState, asked bool)

	mu        sync.Mutex
	cmd       *exec.Cmd
	signalled bool
	closed    bool
	done      chan struct{}
}

// StartProcess starts a program whose output is appended to the file logs.
func StartProcess(program string, args []string, logs string, restartDelay time.Duration, onExit func(*os.ProcessState, bool)) (*Process, error) {
	p := &Process{program: program, args: args, logs: logs, restartDelay: restartDelay, onExit: onExit, done: make(chan struct{})}
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
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = logs, logs
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.New("soak: process is closed")
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "soak: start a process")
	}
	p.cmd, p.signalled = cmd, false
	return cmd, nil
}

// keep waits for the process and starts the next one.
func (p *Process) supervise(cmd *exec.Cmd) {
	defer close(p.done)
	for {
		// The state tells how it ended; the error repeats it.
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

// Signal sends a signal to the process that runs at present. It reports false if
// none does. ends says whether the process may end by it.
func (p *Process) Signal(signal syscall.Signal, mayEnd bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	p.signalled = p.signalled || mayEnd
	return p.cmd.Process.Signal(signal) == nil
}

// Handles reports whether the process ignores or catches a signal. None does before its
// program is loaded.
func (p *Process) Handles(signal syscall.Signal) bool {
	ignored, caught := Disposition(p.PID(), signal)
	return ignored || caught
}

// Disposition tells how a process takes a signal. It is false, false for the default
// and if there is no such process.
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

// PID returns the id of the process that runs at present, or 0.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Close kills the process and waits for its end.
func (p *Process) Close() {
	p.mu.Lock()
	p.closed = true
	if p.cmd != nil {
		// A failure means that it has ended.
		_ = p.cmd.Process.Kill()
	}
	p.mu.Unlock()
	<-p.done
}
