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
	// lost means that the server's process ended.
	lost
)

// entry is the result of asking an engine to take a job.
type entry int

const (
	taken entry = iota
	shed
	// fell means that the job was too much for a cold server.
	fell
	// stale means that the job came over a connection of an earlier run.
	stale
)

// job is one request that an engine has taken.
type job struct {
	id       string
	deadline time.Time
	cancel   chan struct{}
	died     <-chan struct{}
	cold     bool
	running  int
	bears    int
	began    bool
}

// engine is the part of a backend server that does work: slots, a short queue
// and cold start. It is safe for concurrent use.
type engine struct {
	limits  svcdoc.Limits
	options Options

	// began is the start of the host in nanoseconds since the Unix epoch.
	began int64

	mu        sync.Mutex
	rand      *rand.Rand
	boots     int
	died      chan struct{}
	completed int
	atOnce    int
	used      int
	waiting   []chan struct{}
	jobs      map[string]*job
	slow      float64
	shedding  bool
	draining  bool
	deaf      bool
	counts    Stats
}

func newEngine(spec svcdoc.Server, options Options) *engine {
	return &engine{
		limits:  spec.Limits,
		options: options,
		began:   time.Now().UnixNano(),
		rand:    rand.New(rand.NewPCG(options.Seed, hash64(string(spec.ID)))),
		boots:   1,
		died:    make(chan struct{}),
		jobs:    map[string]*job{},
		slow:    1,
	}
}

// boot returns the identity of the present run of the server's process.
func (e *engine) boot() ident.BootID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return ident.BootID(fmt.Sprintf("%x-%d", e.began, e.boots))
}

// run returns the number of the present run of the server.
func (e *engine) run() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boots
}

// take accepts a request that arrived on a connection of the given run, or says
// why not.
func (e *engine) take(run int, id string, deadline time.Time) (*job, entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run != e.boots {
		return nil, stale
	}
	if e.shedding || e.draining {
		e.counts.Shed++
		return nil, shed
	}
	j := e.newJobLocked(id, deadline)
	if j.cold && j.running > j.bears {
		e.counts.ColdOverloads++
		e.restartLocked()
		return j, fell
	}
	if e.queueFullLocked() {
		e.counts.Shed++
		return nil, shed
	}
	e.atOnce++
	if e.atOnce > e.limits.Slots {
		e.counts.SlotExcess++
	}
	e.counts.Accepted++
	e.counts.SlotPeak = max(e.counts.SlotPeak, e.atOnce)
	e.counts.LastWorkAt = time.Now().UnixNano()
	e.jobs[id] = j
	return j, taken
}

func (e *engine) newJobLocked(id string, deadline time.Time) *job {
	j := &job{
		id:       id,
		deadline: deadline,
		cancel:   make(chan struct{}),
		died:     e.died,
		cold:     e.coldLocked(),
		running:  e.atOnce + 1,
		bears:    e.limits.Slots,
	}
	if j.cold {
		j.bears = e.limits.ColdSlots
	}
	return j
}

func (e *engine) queueFullLocked() bool {
	return e.atOnce >= e.limits.Slots+e.options.Queue
}

func (e *engine) coldLocked() bool {
	return e.limits.ColdSlots > 0 && e.completed < e.limits.WarmAfter
}

// perform waits for a slot and works off the job.
func (e *engine) perform(j *job) outcome {
	timer := time.NewTimer(time.Until(j.deadline))
	defer timer.Stop()
	slot := e.claimSlot(j.died)
	if end, ended := await(j, slot, timer.C); ended {
		e.giveUpSlot(slot, j.died)
		return end
	}
	defer e.releaseSlot(j.died)
	j.began = true
	service := time.NewTimer(e.serviceTime())
	defer service.Stop()
	if end, ended := await(j, service.C, timer.C); ended {
		return end
	}
	return completed
}

// await waits until ready gives a value or is closed. It reports how the job
// ended if it ended before.
func await[T any](j *job, ready <-chan T, late <-chan time.Time) (outcome, bool) {
	select {
	case <-ready:
		return completed, false
	case <-j.cancel:
		return cancelled, true
	case <-late:
		return expired, true
	case <-j.died:
		return lost, true
	}
}

// finish takes the job off the books after perform.
func (e *engine) finish(j *job, end outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.died != e.died {
		return
	}
	e.atOnce--
	if e.jobs[j.id] == j {
		delete(e.jobs, j.id)
	}
	switch end {
	case completed:
		e.completed++
		e.counts.Completed++
	case cancelled:
		e.counts.Cancelled++
	case expired:
		e.counts.Expired++
	}
}

// abort cancels the named job if it is under way.
func (e *engine) abort(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j, ok := e.jobs[id]; ok && !e.deaf {
		delete(e.jobs, id)
		close(j.cancel)
	}
}

// restart ends all jobs and begins a new run in cold start.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restartLocked()
}

func (e *engine) restartLocked() {
	close(e.died)
	e.died = make(chan struct{})
	e.boots++
	e.completed, e.atOnce, e.used = 0, 0, 0
	e.waiting = nil
	e.jobs = map[string]*job{}
}

// connect spends the server's own time for a new connection in a slot.
func (e *engine) connect() {
	if e.limits.ConnectCost <= 0 {
		return
	}
	e.mu.Lock()
	j := &job{cancel: make(chan struct{}), died: e.died}
	e.mu.Unlock()
	slot := e.claimSlot(j.died)
	if _, ended := await(j, slot, nil); ended {
		e.giveUpSlot(slot, j.died)
		return
	}
	defer e.releaseSlot(j.died)
	timer := time.NewTimer(e.limits.ConnectCost)
	defer timer.Stop()
	await(j, timer.C, nil)
}

// serviceTime draws the time that the next job takes.
func (e *engine) serviceTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	sigma := e.options.Sigma
	scale := math.Exp(e.rand.NormFloat64()*sigma - sigma*sigma/2)
	if e.coldLocked() {
		scale *= coldFactor
	}
	return time.Duration(float64(e.options.Mean) * scale * e.slow)
}
