package sender

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/client"
)

const (
	// connectBackoffMin and connectBackoffMax bound the time for which a server
	// receives no work after a connection could not be opened.
	connectBackoffMin = 100 * time.Millisecond
	connectBackoffMax = time.Second
	// recentResponse is the time after a response during which a server counts as
	// reachable, whatever happens to new connections.
	recentResponse = 100 * time.Millisecond
	// cancelRepeatDelay is the time after which a cancel is repeated if the
	// server may have been frozen and not have read the request yet.
	cancelRepeatDelay = 50 * time.Millisecond
	// slotGrace is the time for which a slot stays in use after the deadline. The
	// server counts the deadline from the arrival of the request, hence later.
	slotGrace = 10 * time.Millisecond
	// cancelTimeout is the timeout of connecting for a cancel, and of the cancel.
	cancelTimeout = 500 * time.Millisecond
)

// connectBackoff is an exponential backoff after failures to connect to a server.
// The server receives no work until it ends. The zero value is no backoff.
type connectBackoff struct {
	until time.Time
	delay time.Duration
}

func (o *connectBackoff) active(now time.Time) bool {
	return now.Before(o.until)
}

func (o *connectBackoff) remaining(now time.Time) time.Duration {
	return o.until.Sub(now)
}

// increase starts a backoff, or doubles the delay of the last one.
func (o *connectBackoff) increase(now time.Time) {
	o.delay = min(max(2*o.delay, connectBackoffMin), connectBackoffMax)
	o.until = now.Add(o.delay)
}

// finish ends a job after its request to the server, and sends its answer unless
// it has been answered before.
func (e *endpoint) finish(w *worker, j *job, result *client.Result) {
	e.mu.Lock()
	now := time.Now()
	e.observeResult(j, result, now)
	e.releaseSlot(j, result)
	e.updateLimit()
	e.releaseWorker(w)
	if !j.answered {
		j.answered = true
		e.outbox = append(e.outbox, outgoing{job: j, answer: e.resultAnswer(j, result, now)})
	} else {
		result.Held.Release()
	}
	e.dispatch(now)
	e.unlock()
}

// resultAnswer returns the answer to a job with the given result.
func (e *endpoint) resultAnswer(j *job, result *client.Result, now time.Time) msgs.Answer {
	a := msgs.Answer{
		Status: result.Status, Version: uint64(result.Version), Hits: result.Hits, Body: result.Body, Held: result.Held,
		WaitMicros: micros(j.sentAt.Sub(j.receivedAt)), ServiceMicros: micros(result.ServiceTime),
	}
	if result.Outcome == client.OutcomeUnsent && !e.leased(now) {
		a.Status = msgs.StatusWrongOwner
		a.Owner = e.sender.otherOwner(e.sender.deps.Views.Load(), e.id)
	}
	if a.Status == msgs.StatusNotRun {
		a.RetryMicros = micros(e.queue.RetryAfter())
	}
	e.addServerStatus(j, &a)
	return a
}

// observeResult updates the state of the server from the result of a request.
func (e *endpoint) observeResult(j *job, result *client.Result, now time.Time) {
	if result.Outcome == client.OutcomeAnswered {
		e.responded(j.sentAt, now)
		e.observeBoot(result.Boot, result.Maps, now)
	}
	before := e.tracker.State().Phase
	switch {
	case result.Reset:
		e.tracker.ObserveReset(now)
	case result.Shed:
		e.sender.deps.Events.Count("server_shed")
		e.tracker.ObserveShed(e.queue.AtServer(), now)
		e.requestHealthCheck()
	case result.Outcome == client.OutcomeAnswered && result.Status == msgs.StatusOK:
		e.tracker.ObserveCompletion(comparableServiceTime(j, result), now)
	case result.Outcome == client.OutcomeTimedOut:
		e.sender.deps.Events.Count("connection_silent")
	}
	e.recordPhaseChange(before)
	if errors.Is(result.Err, budget.ErrNoMemory) {
		e.sender.deps.Events.Count("answer_without_memory")
		return
	}
	if result.Err != nil && result.Outcome != client.OutcomeTimedOut {
		e.recordBadAnswer("request", result.Err, now)
	}
}

// comparableServiceTime returns the service time of a read. It returns 0 for an
// action, whose service time differs too much from that of reads to be compared.
func comparableServiceTime(j *job, result *client.Result) time.Duration {
	if j.query.msg.Kind == msgs.KindAction {
		return 0
	}
	return result.ServiceTime
}

// releaseSlot frees the slot of a job, or keeps it in use while the server process
// that the job was sent to may still work on it.
func (e *endpoint) releaseSlot(j *job, result *client.Result) {
	ended := result.Outcome == client.OutcomeUnsent || result.Outcome == client.OutcomeAnswered
	if result.Outcome == client.OutcomeBroken {
		defer e.queue.ServerResponded(j.sentAt, time.Now())
	}
	switch {
	case ended || j.generation < e.generation.number:
		e.queue.Finish(&j.item)
	default:
		j.maybeUnread = result.Outcome == client.OutcomeTimedOut && !e.lastResponseAt.After(j.sentAt)
		e.queue.Abandon(&j.item, j.workDeadline.Sub(j.sentAt)+slotGrace)
		if j.query.msg.Kind != msgs.KindAction {
			e.queueCancel(j)
		}
	}
}

// connectFailed ends a job for which no connection could be opened.
func (e *endpoint) connectFailed(w *worker, j *job, err error) {
	e.mu.Lock()
	defer e.unlock()
	now := time.Now()
	e.queue.Finish(&j.item)
	e.observeConnectError(err, now)
	e.refuse(j, msgs.Answer{Status: msgs.StatusNotRun, RetryMicros: micros(e.backoff.remaining(now))})
	e.releaseWorker(w)
	e.dispatch(now)
}

// observeConnectError updates the state of the server after a connection could not
// be opened. There is no backoff if the server responds on other connections, or
// if the cause is on this side.
func (e *endpoint) observeConnectError(err error, now time.Time) {
	if client.IsReset(err) {
		before := e.tracker.State().Phase
		e.tracker.ObserveReset(now)
		e.recordPhaseChange(before)
		e.updateLimit()
	}
	if !client.IsDialLimited(err) && now.Sub(e.lastResponseAt) > recentResponse {
		e.startBackoff(err, now)
	}
}

// startBackoff starts or increases the backoff, and refuses all waiting jobs, so
// that they can go to other replicas.
func (e *endpoint) startBackoff(err error, now time.Time) {
	if e.backoff.until.IsZero() {
		e.sender.deps.Events.Record("server_unreachable", string(e.id), err.Error())
	}
	e.backoff.increase(now)
	e.refuseWaiting(msgs.Answer{Status: msgs.StatusNotRun, RetryMicros: micros(e.backoff.remaining(now))})
}

// refuseWaiting gives all waiting jobs the same answer.
func (e *endpoint) refuseWaiting(a msgs.Answer) {
	for _, item := range e.queue.Clear() {
		e.refuse(item.Payload.(*job), a)
	}
}

// queueCancel queues a cancel for the server. It is dropped if too many are
// queued, or if the limits leave no connection for cancels.
func (e *endpoint) queueCancel(j *job) {
	if e.closed || e.server.Limits.Connections < 2 {
		return
	}
	e.startMonitor()
	select {
	case e.cancels <- j:
	default:
		e.sender.deps.Events.Count("cancel_dropped")
	}
}

// cancelAtServer sends a cancel. The slot of an abandoned job is freed once the
// server acknowledges the cancel.
func (e *endpoint) cancelAtServer(serverClient *client.Client, j *job) {
	if e.jobEnded(j) {
		return
	}
	askedAt := time.Now()
	hello, fresh, err := serverClient.Connect(askedAt.Add(cancelTimeout))
	acknowledged := err == nil && serverClient.Cancel(j.id, time.Now().Add(cancelTimeout))
	e.mu.Lock()
	defer e.unlock()
	now := time.Now()
	if fresh {
		e.observeHello(hello, now)
	}
	if err != nil {
		e.observeConnectError(err, now)
	}
	if acknowledged {
		e.responded(askedAt, now)
		e.cancelAcknowledged(j)
	}
	e.dispatch(now)
}

// cancelAcknowledged handles the acknowledgement of a cancel. A server that was
// frozen may acknowledge it before it reads the request itself, so the cancel is
// sent once more.
func (e *endpoint) cancelAcknowledged(j *job) {
	if !j.maybeUnread {
		e.queue.FinishAbandoned(&j.item)
		return
	}
	j.maybeUnread = false
	time.AfterFunc(cancelRepeatDelay, func() {
		e.mu.Lock()
		defer e.unlock()
		e.queueCancel(j)
	})
}

// jobEnded reports whether a job has no slot and does not wait for one.
func (e *endpoint) jobEnded(j *job) bool {
	e.mu.Lock()
	defer e.unlock()
	return e.queue.Ended(&j.item)
}

// responded records that the server responded to something that it was asked at
// askedAt.
func (e *endpoint) responded(askedAt, now time.Time) {
	e.lastResponseAt = now
	e.queue.ServerResponded(askedAt, now)
}
