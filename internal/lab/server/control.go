package server

// States that the health endpoint reports.
const (
	stateOK       = "ok"
	stateDraining = "draining"
)

// stats returns the engine's counters and whether it is cold.
func (e *engine) stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.counts
	stats.Cold = e.coldLocked()
	return stats
}

// health returns the present state of the engine.
func (e *engine) health() health {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := stateOK
	if e.draining {
		state = stateDraining
	}
	return health{State: state, Running: e.inFlight, Slots: e.limits.Slots}
}

// setSlow sets the factor for the service times of jobs that start from now on.
func (e *engine) setSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowFactor = factor
}

// setShedding makes the engine shed all new requests, or ends that.
func (e *engine) setShedding(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shedding = on
}

// setDraining makes the engine shed all new requests because the server is
// draining, or ends that.
func (e *engine) setDraining(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = on
}

// setIgnoreCancels makes the engine ignore cancellations, or ends that.
func (e *engine) setIgnoreCancels(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ignoreCancels = on
}

// countExecution counts one execution of an action.
func (e *engine) countExecution(duplicate bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Executions++
	if duplicate {
		e.counts.Duplicates++
	}
}
