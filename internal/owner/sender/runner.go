package sender

import (
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/lane"
)

const (
	// budgetMargin is the part of the time left that the server is not told,
	// so that its own answer to the deadline arrives in time.
	budgetMargin = 2 * time.Millisecond
	// maxWriteDelay is the longest time between the calculation of the budget
	// and the write. A process that was paused in between does not write.
	maxWriteDelay = 20 * time.Millisecond
	// connectAhead bounds the opening of a connection without work.
	connectAhead = 300 * time.Millisecond
	// silenceFactor is the multiple of the mean service time after which a
	// connection without an answer is taken to be silent.
	silenceFactor = 50
)

// runner carries one job at a time over one connection.
type runner struct {
	host *host
	lane *lane.Lane
	jobs chan *job
	// job is the present job, guarded by the host's mutex, as is run, the
	// server's run that the connection leads to.
	job *job
	run uint64
	// request is used by the runner's goroutine only.
	request  lane.Request
	prepared time.Time
	// guard is mayWrite.
	guard func() bool
}

// freeRunner returns a runner without a job, or nil if all are busy. The
// caller holds the host's mutex.
func (h *host) freeRunner() *runner {
	if n := len(h.idle); n > 0 {
		r := h.idle[n-1]
		h.idle = h.idle[:n-1]
		return r
	}
	if len(h.runners) >= h.laneLimit() {
		return nil
	}
	r := &runner{host: h, lane: lane.New(h.dialer, h.sender.opts.MaxAnswerBytes), jobs: make(chan *job, 1)}
	r.guard = r.mayWrite
	h.runners = append(h.runners, r)
	h.sender.workers.Go(r.loop)
	return r
}

// release takes a runner back after a job.
func (h *host) release(r *runner) {
	r.job = nil
	if h.closed || len(h.runners) > h.laneLimit() {
		h.runners = slices.DeleteFunc(h.runners, func(other *runner) bool { return other == r })
		close(r.jobs)
		return
	}
	h.idle = append(h.idle, r)
}

// probe opens a connection although nothing may be sent, so that the server
// says hello.
func (h *host) probe() {
	if h.closed || h.out.Load() || h.probing {
		return
	}
	if r := h.freeRunner(); r != nil {
		h.probing = true
		r.jobs <- nil
	}
}

// connected ends the opening of a connection without work.
func (h *host) connected(r *runner, hello lane.Hello, fresh bool, err error) {
	h.mu.Lock()
	defer h.unlock()
	now := time.Now()
	h.probing = false
	if fresh {
		r.run = h.observeHello(hello, now)
	}
	if err != nil {
		h.noteConnectError(err, now)
	}
	h.release(r)
	h.advance(now)
}

func (r *runner) loop() {
	defer r.lane.Close()
	for j := range r.jobs {
		if j == nil {
			r.connect()
		} else {
			r.carry(j)
		}
	}
}

// connect opens a new connection without work.
func (r *runner) connect() {
	r.lane.Close()
	hello, fresh, err := r.lane.Connect(time.Now().Add(connectAhead))
	r.host.connected(r, hello, fresh, err)
}

// carry carries one job to its end.
func (r *runner) carry(j *job) {
	hello, fresh, err := r.lane.Connect(j.item.Deadline)
	if err != nil {
		r.host.connectFailed(r, j, err)
		return
	}
	if !r.host.admit(r, j, hello, fresh) {
		return
	}
	result := r.lane.Do(&r.request, r.guard)
	r.host.finish(r, j, &result)
}

// mayWrite is asked right before the first byte of a request is written.
func (r *runner) mayWrite() bool {
	now := time.Now()
	return r.host.leased(now) && !r.host.barred() && now.Sub(r.prepared) < maxWriteDelay
}

// admit decides right before the write whether the job may be sent, and
// prepares the request. If it returns false, the runner is free again.
func (h *host) admit(r *runner, j *job, hello lane.Hello, fresh bool) bool {
	h.mu.Lock()
	defer h.unlock()
	now := time.Now()
	if fresh {
		r.run = h.observeHello(hello, now)
	}
	if h.mustRefuse(j, now) || !h.queue.Send(&j.item) {
		h.release(r)
		h.advance(now)
		return false
	}
	j.sentAt, j.run = now, r.run
	j.id = h.sender.nextID()
	r.prepare(j, now)
	return true
}

// mustRefuse refuses a started job that may not be sent any more, and reports
// whether it did.
func (h *host) mustRefuse(j *job, now time.Time) bool {
	holding := h.holding.Load()
	switch {
	case j.answered:
	case holding == nil || !holding.Valid(now):
		v := h.sender.deps.Views.Load()
		h.refuse(j, msgs.Answer{Status: msgs.StatusWrongOwner, Owner: h.sender.believedOwner(v, h.id)})
	case h.closed || h.barred() || h.sender.deps.Views.Load().Config.ServerOut(&h.server):
		h.refuse(j, msgs.Answer{Status: msgs.StatusNotRun})
	default:
		j.workUntil = earlier(j.item.Deadline, holding.Until().Add(h.sender.opts.LeaseGrace))
		if j.workUntil.Sub(now) > budgetMargin {
			return false
		}
		h.refuse(j, msgs.Answer{Status: msgs.StatusNotRun})
	}
	h.queue.Finish(&j.item)
	return true
}

// prepare fills the request of a job.
func (r *runner) prepare(j *job, now time.Time) {
	q := &j.call.query
	r.prepared = now
	r.request = lane.Request{
		ID: j.id, Kind: q.Kind, Version: ident.Version(q.Version), Shard: j.shard,
		Action: q.Action, Key: q.Key, Body: q.Body,
		Deadline: j.workUntil, Budget: j.workUntil.Sub(now) - budgetMargin,
		Silence: max(r.host.sender.opts.MinSilenceTimeout, silenceFactor*r.host.tracker.MeanServiceTime()),
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
