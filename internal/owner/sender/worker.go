package sender

import (
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/client"
)

const (
	// budgetMargin is subtracted from the time budget that is sent to the server,
	// so that the server's own deadline answer arrives in time.
	budgetMargin = 2 * time.Millisecond
	// maxWriteDelay is the longest time between the calculation of the budget and
	// the write. A request is not written if the process was suspended for longer
	// in between.
	maxWriteDelay = 20 * time.Millisecond
	// handshakeTimeout is the timeout of opening a connection without work.
	handshakeTimeout = 300 * time.Millisecond
	// silenceFactor times the mean service time is the time without an answer
	// after which a connection is closed as silent, but not less than
	// Options.MinSilenceTimeout.
	silenceFactor = 50
)

// worker executes one job at a time over one connection.
type worker struct {
	endpoint *endpoint
	client   *client.Client
	// jobs receives the jobs. A nil job asks for a handshake only.
	jobs chan *job
	// job is the current job, and generation that of the server process at the
	// other end. Both are guarded by the endpoint's mutex.
	job        *job
	generation uint64
	// request is used by the worker's goroutine only.
	request    client.Request
	preparedAt time.Time
	// guard is the method value of mayWrite, created once per worker.
	guard func() bool
}

// acquireWorker returns a worker without a job, or nil if all are busy. It starts
// one if there are fewer than workConnections. The endpoint's mutex must be held.
func (e *endpoint) acquireWorker() *worker {
	if n := len(e.idleWorkers); n > 0 {
		w := e.idleWorkers[n-1]
		e.idleWorkers = e.idleWorkers[:n-1]
		return w
	}
	if len(e.workers) >= e.workConnections() {
		return nil
	}
	w := &worker{endpoint: e, client: client.New(e.dialer, e.sender.clientOptions()), jobs: make(chan *job, 1)}
	w.guard = w.mayWrite
	e.workers = append(e.workers, w)
	e.sender.goroutines.Go(w.loop)
	return w
}

// releaseWorker makes a worker idle after a job, or ends it if it is no longer
// needed.
func (e *endpoint) releaseWorker(w *worker) {
	w.job = nil
	if e.closed || len(e.workers) > e.workConnections() {
		e.workers = slices.DeleteFunc(e.workers, func(other *worker) bool { return other == w })
		close(w.jobs)
		return
	}
	e.idleWorkers = append(e.idleWorkers, w)
}

// startHandshake opens a connection without work, so that the server says hello
// with its boot identity.
func (e *endpoint) startHandshake() {
	if e.closed || e.outOfService.Load() || e.handshaking {
		return
	}
	if w := e.acquireWorker(); w != nil {
		e.handshaking = true
		w.jobs <- nil
	}
}

// finishHandshake handles the result of a handshake.
func (e *endpoint) finishHandshake(w *worker, hello client.Hello, fresh bool, err error) {
	e.mu.Lock()
	defer e.unlock()
	now := time.Now()
	e.handshaking = false
	if fresh {
		w.generation = e.observeHello(hello, now)
	}
	if err != nil {
		e.observeConnectError(err, now)
	}
	e.releaseWorker(w)
	e.dispatch(now)
}

func (w *worker) loop() {
	defer w.client.Close()
	for j := range w.jobs {
		if j == nil {
			w.handshake()
		} else {
			w.execute(j)
		}
	}
}

// handshake replaces the connection by a new one.
func (w *worker) handshake() {
	w.client.Close()
	hello, fresh, err := w.client.Connect(time.Now().Add(handshakeTimeout))
	w.endpoint.finishHandshake(w, hello, fresh, err)
}

// execute sends one job to the server and passes on the result.
func (w *worker) execute(j *job) {
	hello, fresh, err := w.client.Connect(j.item.Deadline)
	if err != nil {
		w.endpoint.connectFailed(w, j, err)
		return
	}
	if !w.endpoint.admit(w, j, hello, fresh) {
		return
	}
	result := w.client.Do(&w.request, w.guard)
	w.endpoint.finish(w, j, &result)
}

// mayWrite reports whether the request may be written. It is called right before
// the first byte.
func (w *worker) mayWrite() bool {
	now := time.Now()
	return w.endpoint.leased(now) && !w.endpoint.refusesNewWork() && now.Sub(w.preparedAt) < maxWriteDelay
}

// admit decides right before the write whether the job may be sent, and prepares
// the request. If it returns false, it has released the worker.
func (e *endpoint) admit(w *worker, j *job, hello client.Hello, fresh bool) bool {
	e.mu.Lock()
	defer e.unlock()
	now := time.Now()
	if fresh {
		w.generation = e.observeHello(hello, now)
	}
	if e.refuseIfUnsendable(j, now) || !e.queue.Send(&j.item) {
		e.releaseWorker(w)
		e.dispatch(now)
		return false
	}
	j.sentAt, j.generation = now, w.generation
	j.id = e.sender.nextID()
	w.prepare(j, now)
	return true
}

// refuseIfUnsendable ends a started job that may not be sent any more, and answers
// it unless it has been answered. It reports whether it did.
func (e *endpoint) refuseIfUnsendable(j *job, now time.Time) bool {
	lease := e.lease.Load()
	switch {
	case j.answered:
	case lease == nil || !lease.Valid(now):
		v := e.sender.deps.Views.Load()
		e.refuse(j, msgs.Answer{Status: msgs.StatusWrongOwner, Owner: e.sender.otherOwner(v, e.id)})
	case e.closed || e.refusesNewWork() || e.sender.deps.Views.Load().Config.ServerOut(&e.server):
		e.refuse(j, msgs.Answer{Status: msgs.StatusNotRun})
	default:
		j.workDeadline = earlier(j.item.Deadline, lease.Until().Add(e.sender.opts.LeaseGrace))
		if j.workDeadline.Sub(now) > budgetMargin {
			return false
		}
		e.refuse(j, msgs.Answer{Status: msgs.StatusNotRun})
	}
	e.queue.Finish(&j.item)
	return true
}

// prepare fills the request of a job.
func (w *worker) prepare(j *job, now time.Time) {
	m := &j.query.msg
	w.preparedAt = now
	w.request = client.Request{
		ID: j.id, Kind: m.Kind, Version: ident.Version(m.Version), Shard: j.shard,
		Action: m.Action, Key: m.Key, Body: m.Body,
		Deadline: j.workDeadline, TimeLeft: j.workDeadline.Sub(now) - budgetMargin,
		AnswerTimeout: max(w.endpoint.sender.opts.MinSilenceTimeout, silenceFactor*w.endpoint.tracker.MeanServiceTime()),
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
