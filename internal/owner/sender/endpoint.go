package sender

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/client"
	"github.com/samphirestair/samphirestair/internal/owner/queue"
	"github.com/samphirestair/samphirestair/internal/owner/warmth"
)

// cancelBacklog is the number of cancels that may be queued per server.
const cancelBacklog = 64

// errNoBoot means that an answer lacks the boot identity.
var errNoBoot = errors.New("sender: answer without boot identity")

// endpoint sends work to one backend server. It is safe for concurrent use.
type endpoint struct {
	sender  *Sender
	id      ident.ServerID
	address string
	dialer  *client.Dialer
	// lease is nil while this VM does not own the server.
	lease atomic.Pointer[view.Holding]
	// outOfService is set while operators have taken the server out of service.
	outOfService atomic.Bool
	// draining is set while the server reports that it is draining.
	draining atomic.Bool
	// healthRequests triggers a health check.
	healthRequests chan struct{}
	cancels        chan *job

	// mu guards the fields below.
	mu     sync.Mutex
	group  ident.GroupID
	server svcdoc.Server
	// term is that of the lease applied last, or 0 before the first.
	term            uint64
	tracker         *warmth.Tracker
	queue           *queue.Queue
	workers         []*worker
	idleWorkers     []*worker
	maps            indexMaps
	backoff         connectBackoff
	generation      processGeneration
	lastResponseAt  time.Time
	timer           *time.Timer
	timerDue        time.Time
	lastBadAnswerAt time.Time
	// pausedUntil is set before the group is handed over. No job is started until
	// then.
	pausedUntil time.Time
	monitoring  bool
	handshaking bool
	closed      bool
	// outbox holds answers that unlock sends.
	outbox []outgoing
}

// outgoing is an answer in the outbox.
type outgoing struct {
	job    *job
	answer msgs.Answer
}

func newEndpoint(s *Sender, group ident.GroupID, server svcdoc.Server, now time.Time) *endpoint {
	e := &endpoint{
		sender: s, id: server.ID, group: group, address: server.Address, server: server,
		dialer:  client.NewDialer(server.Address, server.Limits.ConnectCost, s.deps.Dial),
		cancels: make(chan *job, cancelBacklog), healthRequests: make(chan struct{}, 1),
		tracker: warmth.New(server.Limits, now),
		queue:   queue.New(queue.Options{MaxWaiting: s.opts.MaxWaiting}),
	}
	e.updateLimit()
	return e
}

// add queues a job, or refuses it at once.
func (e *endpoint) add(v *view.View, j *job, now time.Time) {
	e.mu.Lock()
	defer e.unlock()
	switch {
	case !e.leased(now):
		e.refuse(j, msgs.Answer{Status: msgs.StatusWrongOwner, Owner: e.sender.otherOwner(v, e.id)})
	case e.closed || e.refusesNewWork() || v.Config.ServerOut(&e.server):
		e.refuse(j, msgs.Answer{Status: msgs.StatusNotRun})
	case j.isVersionProbe() && e.maps.known():
		e.refuse(j, msgs.Answer{Status: msgs.StatusWrongVersion})
	case e.backoff.active(now):
		e.refuse(j, msgs.Answer{Status: msgs.StatusNotRun, RetryMicros: micros(e.backoff.remaining(now))})
	default:
		e.enqueue(j, now)
	}
}

// enqueue queues a job, refuses the job that the queue drops in exchange, and
// dispatches.
func (e *endpoint) enqueue(j *job, now time.Time) {
	if dropped := e.queue.Add(&j.item, now); dropped != nil {
		e.sender.deps.Events.Count("queue_refused")
		e.refuse(dropped.Payload.(*job), msgs.Answer{
			Status: msgs.StatusNotRun, RetryMicros: micros(e.queue.RetryAfter()),
		})
	}
	e.dispatch(now)
}

// dispatch refuses the jobs that cannot meet their deadline, starts jobs while
// there are free slots, and sets the timer for the queue's next event.
func (e *endpoint) dispatch(now time.Time) {
	if e.closed {
		return
	}
	for _, item := range e.queue.Expire(now) {
		e.sender.deps.Events.Count("queue_expired")
		e.refuse(item.Payload.(*job), msgs.Answer{Status: msgs.StatusNotRun, RetryMicros: micros(e.queue.RetryAfter())})
	}
	for e.queue.Ready() && !e.paused(now) {
		w := e.acquireWorker()
		if w == nil {
			break
		}
		item := e.queue.Start()
		w.job = item.Payload.(*job)
		w.jobs <- w.job
	}
	e.scheduleTimer(now)
}

// scheduleTimer sets the timer for the queue's next event, unless it is due
// earlier.
func (e *endpoint) scheduleTimer(now time.Time) {
	next, ok := e.queue.NextEvent()
	if !ok || (e.timerDue.After(now) && !next.Before(e.timerDue)) {
		return
	}
	e.timerDue = next
	wait := max(next.Sub(now), time.Millisecond)
	if e.timer == nil {
		e.timer = time.AfterFunc(wait, e.onTimer)
		return
	}
	e.timer.Reset(wait)
}

func (e *endpoint) onTimer() {
	e.mu.Lock()
	defer e.unlock()
	e.timerDue = time.Time{}
	e.dispatch(time.Now())
}

// cancel cancels a job. If its request may have reached the server, the slot stays
// in use, and an action is left to end.
func (e *endpoint) cancel(j *job) {
	e.mu.Lock()
	defer e.unlock()
	if j.answered {
		return
	}
	action := j.query.msg.Kind == msgs.KindAction
	switch {
	case e.queue.Cancel(&j.item):
		e.refuse(j, cancelAnswer(action))
	case j.sentAt.IsZero():
		// A worker has the job but has not written it; admit will drop it.
		e.refuse(j, cancelAnswer(action))
	case !action:
		e.refuse(j, msgs.Answer{Status: msgs.StatusCancelled})
		e.queueCancel(j)
	}
}

// cancelAnswer returns the answer to a cancelled job that was not sent.
func cancelAnswer(action bool) msgs.Answer {
	if action {
		return msgs.Answer{Status: msgs.StatusNotRun}
	}
	return msgs.Answer{Status: msgs.StatusCancelled}
}

// refuse answers a job without a result of the server. It does nothing if the job
// has been answered.
func (e *endpoint) refuse(j *job, a msgs.Answer) {
	if j.answered {
		return
	}
	j.answered = true
	a.WaitMicros = micros(time.Since(j.receivedAt))
	e.addServerStatus(j, &a)
	e.outbox = append(e.outbox, outgoing{job: j, answer: a})
}

// unlock releases the mutex and then sends the answers in the outbox. They are not
// sent under the mutex because sending may call back into the endpoint.
func (e *endpoint) unlock() {
	outbox := e.outbox
	e.outbox = nil
	e.mu.Unlock()
	for _, out := range outbox {
		out.job.answer(out.answer)
	}
}

// addServerStatus adds to an answer the server's load, its concurrency limit and,
// if the receiver does not know them, its index maps.
func (e *endpoint) addServerStatus(j *job, a *msgs.Answer) {
	a.Queued = uint32(e.queue.Waiting() + e.queue.InUse())
	a.Slots = uint32(e.queue.ConcurrencyLimit())
	a.Maps = e.maps.forReceiver(j.query.key.from, a.Status == msgs.StatusWrongVersion, time.Now())
}

// leased reports whether this VM holds the lease of the server's group.
func (e *endpoint) leased(now time.Time) bool {
	lease := e.lease.Load()
	return lease != nil && lease.Valid(now)
}

// updateLimit passes the current concurrency limit and service time on to the
// queue.
func (e *endpoint) updateLimit() {
	e.queue.SetConcurrencyLimit(min(e.tracker.ConcurrencyLimit(), e.workConnections()), e.tracker.MeanServiceTime())
}

// workConnections returns the number of connections for work. One more connection
// is reserved for cancels and health checks.
func (e *endpoint) workConnections() int {
	return max(min(e.server.Limits.Slots, e.server.Limits.Connections-1), 1)
}

// observeBoot applies the boot identity and the index maps of an answer.
func (e *endpoint) observeBoot(boot ident.BootID, maps string, now time.Time) {
	if boot == "" {
		e.recordBadAnswer("boot identity", errNoBoot, now)
		return
	}
	before := e.tracker.State().Phase
	if e.tracker.ObserveBoot(boot, now) {
		e.sender.deps.Events.Count("boot_changed")
	}
	if err := e.maps.observe(maps); err != nil {
		e.recordBadAnswer("index maps", err, now)
	}
	e.recordPhaseChange(before)
	e.updateLimit()
}

// observeHello applies the hello of a new connection and returns the generation of
// the server process at the other end.
func (e *endpoint) observeHello(hello client.Hello, now time.Time) uint64 {
	e.backoff = connectBackoff{}
	e.queue.ServerResponded(hello.AskedAt, now)
	e.observeBoot(hello.Boot, hello.Maps, now)
	generation, replaced := e.generation.observe(hello)
	if replaced {
		e.queue.ServerRestarted()
	}
	return generation
}

// recordPhaseChange logs that the server has become cold or warm. before is the
// previous phase.
func (e *endpoint) recordPhaseChange(before warmth.Phase) {
	state := e.tracker.State()
	if state.Phase == before || state.Phase == warmth.Warming {
		return
	}
	e.sender.deps.Events.Record("server_"+string(state.Phase), string(e.id), string(state.PhaseReason),
		slog.Int("bound", state.ConcurrencyLimit), slog.String("boot", string(state.Boot)))
}

// recordBadAnswer counts an unusable answer, and logs it at most once a second per
// server.
func (e *endpoint) recordBadAnswer(what string, err error, now time.Time) {
	if now.Sub(e.lastBadAnswerAt) < time.Second {
		e.sender.deps.Events.Count("bad_answer")
		return
	}
	e.lastBadAnswerAt = now
	e.sender.deps.Events.Record("bad_answer", string(e.id), what, slog.Any("error", err))
}

// micros returns d in microseconds, limited to the range of the result.
func micros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), 1<<32-1))
}
