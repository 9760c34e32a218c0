package sender

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/lane"
)

const (
	// outageMin and outageMax bound the time for which a server is not tried
	// again after a connection could not be opened.
	outageMin = 100 * time.Millisecond
	outageMax = time.Second
	// heardRecently is the time for which an answer shows that a server can be
	// reached.
	heardRecently = 100 * time.Millisecond
	// cancelAgainAfter is the time between two cancels of work that a frozen
	// server may not have read yet.
	cancelAgainAfter = 50 * time.Millisecond
	// slotGrace is the time after the deadline for which a slot is kept, because
	// the server counts the deadline from the arrival of the request.
	slotGrace = 10 * time.Millisecond
	// cancelTimeout bounds one cancel.
	cancelTimeout = 500 * time.Millisecond
)

// outage is the time during which a server that cannot be connected to is left
// alone. The zero value is no outage.
type outage struct {
	until   time.Time
	backoff time.Duration
}

func (o *outage) active(now time.Time) bool {
	return now.Before(o.until)
}

func (o *outage) left(now time.Time) time.Duration {
	return o.until.Sub(now)
}

// extend begins or extends an outage.
func (o *outage) extend(now time.Time) {
	o.backoff = min(max(2*o.backoff, outageMin), outageMax)
	o.until = now.Add(o.backoff)
}

// finish ends a job that was handed to its connection.
func (h *host) finish(r *runner, j *job, result *lane.Result) {
	h.mu.Lock()
	now := time.Now()
	h.observe(j, result, now)
	h.endSlot(j, result)
	h.rebound()
	h.release(r)
	if !j.answered {
		j.answered = true
		h.outbox = append(h.outbox, outgoing{job: j, answer: h.resultAnswer(j, result, now)})
	}
	h.advance(now)
	h.unlock()
}

// resultAnswer makes the answer of a job from the server's result.
func (h *host) resultAnswer(j *job, result *lane.Result, now time.Time) msgs.Answer {
	a := msgs.Answer{
		Status: result.Status, Version: uint64(result.Version), Hits: result.Hits, Body: result.Body,
		WaitMicros: micros(j.sentAt.Sub(j.added)), ServiceMicros: micros(result.Service),
	}
	if result.Outcome == lane.OutcomeUnsent && !h.leased(now) {
		a.Status = msgs.StatusWrongOwner
		a.Owner = h.sender.believedOwner(h.sender.deps.Views.Load(), h.id)
	}
	if a.Status == msgs.StatusNotRun {
		a.RetryMicros = micros(h.queue.RetryAfter())
	}
	h.complete(j, &a)
	return a
}

// observe learns from a result.
func (h *host) observe(j *job, result *lane.Result, now time.Time) {
	if result.Outcome == lane.OutcomeAnswered {
		h.heard(now)
		h.observeBoot(result.Boot, result.Maps, now)
	}
	before := h.tracker.State().Phase
	switch {
	case result.Reset:
		h.tracker.ObserveReset(now)
	case result.Shed:
		h.sender.deps.Events.Count("server_shed")
		h.tracker.ObserveShed(h.queue.AtServer(), now)
		h.suspect()
	case result.Outcome == lane.OutcomeAnswered && result.Status == msgs.StatusOK:
		h.tracker.ObserveCompletion(measured(j, result), now)
	case result.Outcome == lane.OutcomeSilent:
		h.sender.deps.Events.Count("connection_silent")
	}
	h.notePhase(before)
	if result.Err != nil && result.Outcome != lane.OutcomeSilent {
		h.recordBad("request", result.Err, now)
	}
}

// measured returns the service time if it can be compared with that of other
// requests. Actions differ too much from reads.
func measured(j *job, result *lane.Result) time.Duration {
	if j.call.query.Kind == msgs.KindAction {
		return 0
	}
	return result.Service
}

// endSlot frees the slot of a job, or keeps it while the run of the server that
// it was sent to may still work on it.
func (h *host) endSlot(j *job, result *lane.Result) {
	over := result.Outcome == lane.OutcomeUnsent || result.Outcome == lane.OutcomeAnswered
	if result.Outcome == lane.OutcomeBroken {
		defer h.queue.ServerResponded(time.Now())
	}
	switch {
	case over || j.run < h.run.number:
		h.queue.Finish(&j.item)
	default:
		j.frozen = result.Outcome == lane.OutcomeSilent && !h.heardAt.After(j.sentAt)
		h.queue.Abandon(&j.item, j.workUntil.Sub(j.sentAt)+slotGrace)
		if j.call.query.Kind != msgs.KindAction {
			h.sendCancel(j)
		}
	}
}

// connectFailed ends a job for which no connection could be opened.
func (h *host) connectFailed(r *runner, j *job, err error) {
	h.mu.Lock()
	defer h.unlock()
	now := time.Now()
	h.queue.Finish(&j.item)
	h.noteConnectError(err, now)
	h.refuse(j, msgs.Answer{Status: msgs.StatusNotRun, RetryMicros: micros(h.down.left(now))})
	h.release(r)
	h.advance(now)
}

// noteConnectError learns from a connection that could not be opened. A server
// that answers on other connections is not taken to be unreachable.
func (h *host) noteConnectError(err error, now time.Time) {
	if lane.IsReset(err) {
		before := h.tracker.State().Phase
		h.tracker.ObserveReset(now)
		h.notePhase(before)
		h.rebound()
	}
	if !lane.IsBusy(err) && now.Sub(h.heardAt) > heardRecently {
		h.beginOutage(err, now)
	}
}

// beginOutage refuses all waiting jobs, so that they can go to other replicas.
func (h *host) beginOutage(err error, now time.Time) {
	if h.down.until.IsZero() {
		h.sender.deps.Events.Record("server_unreachable", string(h.id), err.Error())
	}
	h.down.extend(now)
	h.refuseWaiting(msgs.Answer{Status: msgs.StatusNotRun, RetryMicros: micros(h.down.left(now))})
}

// refuseWaiting gives all waiting jobs the same answer.
func (h *host) refuseWaiting(a msgs.Answer) {
	for _, item := range h.queue.Clear() {
		h.refuse(item.Payload.(*job), a)
	}
}

// sendCancel passes a cancel on to the server.
func (h *host) sendCancel(j *job) {
	if h.closed || h.server.Limits.Connections < 2 {
		return
	}
	h.watch()
	select {
	case h.cancels <- j:
	default:
		h.sender.deps.Events.Count("cancel_dropped")
	}
}

// cancelAtServer sends one cancel. If the server acknowledges it and nothing
// waits for its answer any more, the slot is free.
func (h *host) cancelAtServer(l *lane.Lane, j *job) {
	if h.ended(j) {
		return
	}
	hello, fresh, err := l.Connect(time.Now().Add(cancelTimeout))
	acknowledged := err == nil && l.Cancel(j.id, time.Now().Add(cancelTimeout))
	h.mu.Lock()
	defer h.unlock()
	now := time.Now()
	if fresh {
		h.observeHello(hello, now)
	}
	if err != nil {
		h.noteConnectError(err, now)
	}
	if acknowledged {
		h.heard(now)
		h.acknowledge(j)
	}
	h.advance(now)
}

// acknowledge notes that the server acknowledged a cancel. A server that was
// frozen may do so before it reads the request itself, so it is told again.
func (h *host) acknowledge(j *job) {
	if !j.frozen {
		h.queue.FinishAbandoned(&j.item)
		return
	}
	j.frozen = false
	time.AfterFunc(cancelAgainAfter, func() {
		h.mu.Lock()
		defer h.unlock()
		h.sendCancel(j)
	})
}

// ended reports whether a job has no slot any more.
func (h *host) ended(j *job) bool {
	h.mu.Lock()
	defer h.unlock()
	return h.queue.Ended(&j.item)
}

// heard notes a sign of life of the server.
func (h *host) heard(now time.Time) {
	h.heardAt = now
	h.queue.ServerResponded(now)
}
