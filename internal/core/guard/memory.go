package guard

import (
	"fmt"
	"net"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"

	"github.com/samphirestair/samphirestair/internal/base/accept"
	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/core/events"
)

const (
	// memoryFraction is the fraction of the VM's memory that is set as the Go memory
	// limit, above which the garbage collector runs more often. The rest is left to
	// stacks and buffers.
	memoryFraction = 0.7
	// memoryShare is the share of the process's memory that may be held for the messages of
	// callers, backend servers and other VMs. Until the garbage collector runs, the heap grows
	// to twice what is in use, and what the process needs for itself comes on top. With 0.25 the
	// test of untrusted callers has reached 95 of 96 MB.
	memoryShare = 0.2
)

// Memory bounds what all listeners of a process hold, and reports it.
type Memory struct {
	Budget    *budget.Budget
	events    *events.Recorder
	reporters map[string]*Reporter
}

// NewMemory returns the bound of a process that has size bytes and the named listeners. It also
// sets the memory limit of the Go runtime.
func NewMemory(size int64, listeners []string, recorder *events.Recorder, set *metrics.Set) *Memory {
	debug.SetMemoryLimit(int64(memoryFraction * float64(size)))
	m := &Memory{Budget: budget.New(int(memoryShare * float64(size))), events: recorder, reporters: map[string]*Reporter{}}
	for _, kind := range budget.Kinds() {
		set.NewGauge(fmt.Sprintf("samphirestair_held_bytes{kind=%q}", kind), func() float64 { return float64(m.Budget.Held(kind)) })
	}
	set.NewGauge("samphirestair_held_bytes_limit", func() float64 { return float64(m.Budget.Limit()) })
	for _, name := range listeners {
		m.reporters[name] = NewReporter(name, recorder, set)
	}
	return m
}

// Reporter returns the reporter of a listener.
func (m *Memory) Reporter(listener string) *Reporter {
	return m.reporters[listener]
}

// Bound returns a listener that accepts from l, which is a TCP listener, within the limits in
// options and the memory.
func (m *Memory) Bound(l net.Listener, name string, options accept.Options) *accept.Listener {
	options.Failed = func(err error) { m.events.Sample("accept_failed", name, err.Error()) }
	options.Budget = m.Budget
	options.Closed = func() { m.Reporter(name).Closed(HoldsMost) }
	// net.Listen returns this type for all TCP addresses.
	return accept.NewListener(l.(*net.TCPListener), options)
}

// State returns the limit of the memory that may be held and what is held by kind, in bytes.
func (m *Memory) State() map[string]int {
	state := map[string]int{"limit": m.Budget.Limit()}
	for _, kind := range budget.Kinds() {
		state[kind.String()] = m.Budget.Held(kind)
	}
	return state
}
