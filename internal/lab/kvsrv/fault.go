package kvsrv

import (
	"sync"
	"time"
)

// Fault is a fault of the service. The zero value is a healthy service.
type Fault struct {
	// Down makes the service refuse all calls.
	Down bool `json:"down"`
	// SlowMillis delays each call, in milliseconds.
	SlowMillis int `json:"slow_ms"`
	// LoseEvery makes every n-th write take effect and then lose its answer.
	LoseEvery int `json:"lose_every"`
}

// faults holds the fault in effect. It is safe for concurrent use.
type faults struct {
	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	writes  int
}

func newFaults() *faults {
	return &faults{changed: make(chan struct{})}
}

// set replaces the fault and ends the waiting watches.
func (f *faults) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	f.writes = 0
	close(f.changed)
	f.changed = make(chan struct{})
}

// admit delays a call as the fault demands and reports whether the service is up. The
// channel is closed when the fault changes.
func (f *faults) admit() (<-chan struct{}, bool) {
	f.mu.Lock()
	fault, changed := f.fault, f.changed
	f.mu.Unlock()
	time.Sleep(time.Duration(fault.SlowMillis) * time.Millisecond)
	return changed, !fault.Down
}

// loseAnswer counts a write and reports whether its answer has to be lost.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.LoseEvery <= 0 {
		return false
	}
	f.writes++
	return f.writes%f.fault.LoseEvery == 0
}
