package kvsrv

import (
	"sync"
	"time"
)

// Fault is the faulty behaviour of the service. The zero value is none.
type Fault struct {
	// Down makes the service refuse all calls.
	Down bool `json:"down"`
	// SlowMillis delays each call, in milliseconds.
	SlowMillis int `json:"slow_ms"`
	// LoseEvery makes every n-th write take effect and then lose its answer.
	LoseEvery int `json:"lose_every"`
}

// faults holds the fault in force.
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

// admit delays the call and reports whether the service is up. The channel is
// closed when the fault changes.
func (f *faults) admit() (<-chan struct{}, bool) {
	f.mu.Lock()
	fault, changed := f.fault, f.changed
	f.mu.Unlock()
	time.Sleep(time.Duration(fault.SlowMillis) * time.Millisecond)
	return changed, !fault.Down
}

// loseAnswer reports whether the answer to this write is to be lost.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.LoseEvery <= 0 {
		return false
	}
	f.writes++
	return f.writes%f.fault.LoseEvery == 0
}
