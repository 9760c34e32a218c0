package server

// States that the health endpoint claims.
const (
	stateOK       = "ok"
	stateDraining = "draining"
)

// stats returns the counts of the engine.
func (e *engine) stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.counts
	stats.Cold = e.coldLocked()
	return stats
}

// claim returns what the engine would claim now.
func (e *engine) claim() claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := stateOK
	if e.draining {
		state = stateDraining
	}
	return claim{State: state, Running: e.atOnce, Slots: e.limits.Slots}
}

// setSlow multiplies the service times of jobs that begin from now on.
func (e *engine) setSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// setShedding makes the engine refuse all jobs, or ends that.
func (e *engine) setShedding(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shedding = on
}

// setDraining makes the engine refuse new jobs because the server leaves, or
// ends that.
func (e *engine) setDraining(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = on
}

// setDeaf makes the engine ignore cancellations, or ends that.
func (e *engine) setDeaf(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deaf = on
}

// countRun counts the execution of an action.
func (e *engine) countRun(duplicate bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Executions++
	if duplicate {
		e.counts.Duplicates++
	}
}
