package server

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
)

// outcome is how a job ended.
type outcome int

const (
	completed outcome = iota
	cancelled
	expired
	// processEnded means that the run of the server ended before the job did.
	processEnded
)

// admission is the decision of an engine on a new request.
type admission int

const (
	accepted admission = iota
	shed
	// coldOverload means that the request exceeded the concurrency limit of a
	// cold server, which therefore restarts.
	coldOverload
	// staleConnection means that the request arrived on a connection of an
	// earlier run.
	staleConnection
)

// job is one request that an engine has accepted.
type job struct {
	id       string
	deadline time.Time
	cancel   chan struct{}
	runEnded <-chan struct{}
	// ended is closed when the job is no longer in flight.
	ended chan struct{}
	cold  bool
	// inFlight is the number of requests at the server when this one arrived,
	// itself included, and limit the number that the server can execute at once.
	inFlight int
	limit    int
	// started is whether the job got a slot.
	started bool
	// cancelled is whether cancel has been closed.
	cancelled bool
}

// engine simulates the execution of requests: slots, a short queue for them and
// cold start. A run is the lifetime of one simulated process of the server. An
// engine is safe for concurrent use.
type engine struct {
	limits  svcdoc.Limits
	options Options

	// startedAt is when the engine was created, in nanoseconds since the Unix
	// epoch. It is part of all boot ids.
	startedAt int64

	mu             sync.Mutex
	rand           *rand.Rand
	runNumber      int
	runEnded       chan struct{}
	completedInRun int
	inFlight       int // accepted and not finished, waiting for a slot or not
	busySlots      int
	slotQueue      []chan struct{}
	jobs           map[string]*job
	slowFactor     float64
	shedding       bool
	draining       bool
	ignoreCancels  bool
	counts         Stats
}

func newEngine(spec svcdoc.Server, options Options) *engine {
	return &engine{
		limits:     spec.Limits,
		options:    options,
		startedAt:  time.Now().UnixNano(),
		rand:       rand.New(rand.NewPCG(options.Seed, hash64(string(spec.ID)))),
		runNumber:  1,
		runEnded:   make(chan struct{}),
		jobs:       map[string]*job{},
		slowFactor: 1,
	}
}

// boot returns the boot id of the present run.
func (e *engine) boot() ident.BootID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return ident.BootID(fmt.Sprintf("%x-%d", e.startedAt, e.runNumber))
}

// run returns the number of the present run. It grows with each restart.
func (e *engine) run() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runNumber
}

// accept decides on a request that arrived on a connection of the given run. It
// returns the job if the request is accepted or if it overloads a cold server.
// The caller passes accepted jobs to execute and then to finish.
func (e *engine) accept(run int, id string, deadline time.Time) (*job, admission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run != e.runNumber {
		return nil, staleConnection
	}
	if e.shedding || e.draining {
		e.counts.Shed++
		return nil, shed
	}
	j := e.newJobLocked(id, deadline)
	if j.cold && j.inFlight > j.limit {
		e.counts.ColdOverloads++
		e.restartLocked()
		return j, coldOverload
	}
	if e.queueFullLocked() {
		e.counts.Shed++
		return nil, shed
	}
	e.inFlight++
	if e.inFlight > e.limits.Slots {
		e.counts.SlotExcess++
	}
	e.counts.Accepted++
	e.counts.SlotPeak = max(e.counts.SlotPeak, e.inFlight)
	e.counts.LastWorkAt = time.Now().UnixNano()
	e.jobs[id] = j
	return j, accepted
}

func (e *engine) newJobLocked(id string, deadline time.Time) *job {
	j := &job{
		id:       id,
		deadline: deadline,
		cancel:   make(chan struct{}),
		runEnded: e.runEnded,
		ended:    make(chan struct{}),
		cold:     e.coldLocked(),
		inFlight: e.inFlight + 1,
		limit:    e.limits.Slots,
	}
	if j.cold {
		j.limit = e.limits.ColdSlots
	}
	return j
}

// queueFullLocked reports whether all slots and places of the queue are taken.
func (e *engine) queueFullLocked() bool {
	return e.inFlight >= e.limits.Slots+e.options.Queue
}

// coldLocked reports whether the run has not completed enough jobs to be warm.
func (e *engine) coldLocked() bool {
	return e.limits.ColdSlots > 0 && e.completedInRun < e.limits.WarmAfter
}

// execute waits for a slot and holds it for the service time of the job.
func (e *engine) execute(j *job) outcome {
	timer := time.NewTimer(time.Until(j.deadline))
	defer timer.Stop()
	slot := e.requestSlot(j.runEnded)
	if end, ended := await(j, slot, timer.C); ended {
		e.withdrawSlot(slot, j.runEnded)
		return end
	}
	defer e.releaseSlot(j.runEnded)
	j.started = true
	service := time.NewTimer(e.serviceTime())
	defer service.Stop()
	if end, ended := await(j, service.C, timer.C); ended {
		return end
	}
	return completed
}

// await waits until ready has a value or is closed. If the job ends before
// that, await returns how it ended and true.
func await[T any](j *job, ready <-chan T, deadline <-chan time.Time) (outcome, bool) {
	select {
	case <-ready:
		return completed, false
	case <-j.cancel:
		return cancelled, true
	case <-deadline:
		return expired, true
	case <-j.runEnded:
		return processEnded, true
	}
}

// finish removes the job and counts its outcome. Jobs of earlier runs are
// ignored.
func (e *engine) finish(j *job, end outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(j.ended)
	if j.runEnded != e.runEnded {
		return
	}
	e.inFlight--
	if e.jobs[j.id] == j {
		delete(e.jobs, j.id)
	}
	switch end {
	case completed:
		e.completedInRun++
		e.counts.Completed++
	case cancelled:
		e.counts.Cancelled++
	case expired:
		e.counts.Expired++
	}
}

// noJob is a closed channel.
var noJob = func() <-chan struct{} {
	ended := make(chan struct{})
	close(ended)
	return ended
}()

// cancel cancels the job with the given request id if it is in flight. The
// returned channel is closed when the job no longer is, or at once while
// cancellations are ignored.
func (e *engine) cancel(id string) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := e.jobs[id]
	if !ok || e.ignoreCancels {
		return noJob
	}
	if !j.cancelled {
		j.cancelled = true
		close(j.cancel)
	}
	return j.ended
}

// restart ends all jobs with processEnded and begins a new run in cold start.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restartLocked()
}

func (e *engine) restartLocked() {
	close(e.runEnded)
	e.runEnded = make(chan struct{})
	e.runNumber++
	e.completedInRun, e.inFlight, e.busySlots = 0, 0, 0
	e.slotQueue = nil
	e.jobs = map[string]*job{}
}

// chargeConnection occupies a slot for the time that a new connection costs the
// server.
func (e *engine) chargeConnection() {
	if e.limits.ConnectCost <= 0 {
		return
	}
	e.mu.Lock()
	j := &job{cancel: make(chan struct{}), runEnded: e.runEnded}
	e.mu.Unlock()
	slot := e.requestSlot(j.runEnded)
	if _, ended := await(j, slot, nil); ended {
		e.withdrawSlot(slot, j.runEnded)
		return
	}
	defer e.releaseSlot(j.runEnded)
	timer := time.NewTimer(e.limits.ConnectCost)
	defer timer.Stop()
	await(j, timer.C, nil)
}

// serviceTime draws the service time of the next job from a log-normal
// distribution.
func (e *engine) serviceTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	sigma := e.options.Sigma
	scale := math.Exp(e.rand.NormFloat64()*sigma - sigma*sigma/2)
	if e.coldLocked() {
		scale *= coldFactor
	}
	return time.Duration(float64(e.options.Mean) * scale * e.slowFactor)
}
