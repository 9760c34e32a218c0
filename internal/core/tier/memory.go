package tier

import (
	"fmt"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/core/guard"
)

const (
	// memoryShare is the share of the process's memory that may be held for the messages of
	// callers, backend servers and other VMs. Until the garbage collector runs, the heap grows
	// to twice what is in use, and what the process needs for itself comes on top. With 0.25 the
	// test of untrusted callers has reached 95 of 96 MB.
	memoryShare = 0.2
	// maxSmallBody is the maximum size of the body of a request for an address list or for
	// the readiness, which need none.
	maxSmallBody = 16 << 10
)

// reportMemory creates the metrics of the memory that is held and of the connections that are
// closed.
func (t *Tier) reportMemory() {
	for _, kind := range budget.Kinds() {
		t.metrics.NewGauge(fmt.Sprintf("samphirestair_held_bytes{kind=%q}", kind), func() float64 { return float64(t.memory.Held(kind)) })
	}
	t.metrics.NewGauge("samphirestair_held_bytes_limit", func() float64 { return float64(t.memory.Limit()) })
	t.reporters = map[string]*guard.Reporter{}
	for _, name := range []string{callersPort, directoryPort, readyPort, peersPort, adminPort} {
		t.reporters[name] = guard.NewReporter(name, t.events, t.metrics)
	}
}

// smallBodies returns the limits of a listener whose requests need no bodies.
func (t *Tier) smallBodies(port string) guard.Options {
	return guard.Options{MaxBody: func() int { return maxSmallBody }, Reporter: t.reporters[port]}
}

// memoryState returns the limit of the memory that may be held and what is held by kind, in
// bytes.
func (t *Tier) memoryState() map[string]int {
	state := map[string]int{"limit": t.memory.Limit()}
	for _, kind := range budget.Kinds() {
		state[kind.String()] = t.memory.Held(kind)
	}
	return state
}
