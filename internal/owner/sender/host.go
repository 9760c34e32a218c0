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
	"github.com/samphirestair/samphirestair/internal/owner/lane"
	"github.com/samphirestair/samphirestair/internal/owner/queue"
	"github.com/samphirestair/samphirestair/internal/owner/warmth"
)

// cancelBacklog is the number of cancels that may wait per server.
const cancelBacklog = 64

// errNoBoot means that an answer does not carry the boot identity.
var errNoBoot = errors.New("sender: answer without boot identity")

// host drives one backend server. It is safe for concurrent use.
type host struct {
	sender  *Sender
	id      ident.ServerID
	address string
	dialer  *lane.Dialer
	// holding is nil while this VM does not own the server.
	holding atomic.Pointer[view.Holding]
	// out is set while the server may not receive new work.
	out atomic.Bool
	// draining is set while the server claims that it leaves.
	draining atomic.Bool
	// doubt asks for a look at the claimed health.
	doubt   chan struct{}
	cancels chan *job

	mu      sync.Mutex
	group   ident.GroupID
	server  svcdoc.Server
	term    uint64
	tracker *warmth.Tracker
	queue   *queue.Queue
	runners []*runner
	idle    []*runner
	maps    indexMaps
	down    outage
	run     serverRun
	heardAt time.Time
	timer   *time.Timer
	timerAt time.Time
	badAt   time.Time
	// pausedUntil is set while the group is about to be handed over.
	pausedUntil time.Time
	watching    bool
	probing     bool
	closed      bool
	// outbox holds answers that are sent once the mutex is free.
	outbox []outgoing
}

// outgoing is an answer that has not been sent yet.
type outgoing struct {
	job    *job
	answer msgs.Answer
}

func newHost(s *Sender, group ident.GroupID, server svcdoc.Server, now time.Time) *host {
	h := &host{
		sender: s, id: server.ID, group: group, address: server.Address, server: server,
		dialer:  lane.NewDialer(server.Address, server.Limits.ConnectCost, s.deps.Dial),
		cancels: make(chan *job, cancelBacklog), doubt: make(chan struct{}, 1),
		tracker: warmth.New(server.Limits, now),
		queue:   queue.New(queue.Options{MaxWaiting: s.opts.MaxWaiting}),
	}
	h.rebound()
	return h
}

// add queues a job, or refuses it at once.
func (h *host) add(v *view.View, j *job, now time.Time) {
	h.mu.Lock()
	defer h.unlock()
	switch {
	case !h.leased(now):
		h.refuse(j, msgs.Answer{Status: msgs.StatusWrongOwner, Owner: h.sender.believedOwner(v, h.id)})
	case h.closed || h.barred() || v.Config.ServerOut(&h.server):
		h.refuse(j, msgs.Answer{Status: msgs.StatusNotRun})
	case j.isProbe() && h.maps.known():
		h.refuse(j, msgs.Answer{Status: msgs.StatusWrongVersion})
	case h.down.active(now):
		h.refuse(j, msgs.Answer{Status: msgs.StatusNotRun, RetryMicros: micros(h.down.left(now))})
	default:
		h.enqueue(j, now)
	}
}

// enqueue queues a job and starts what can be started.
func (h *host) enqueue(j *job, now time.Time) {
	if dropped := h.queue.Add(&j.item, now); dropped != nil {
		h.sender.deps.Events.Count("queue_refused")
		h.refuse(dropped.Payload.(*job), msgs.Answer{
			Status: msgs.StatusNotRun, RetryMicros: micros(h.queue.RetryAfter()),
		})
	}
	h.advance(now)
}

// advance refuses what cannot meet its deadline, starts what has a free slot,
// and sets the timer for the next such time.
func (h *host) advance(now time.Time) {
	if h.closed {
		return
	}
	for _, item := range h.queue.Expire(now) {
		h.sender.deps.Events.Count("queue_expired")
		h.refuse(item.Payload.(*job), msgs.Answer{Status: msgs.StatusNotRun, RetryMicros: micros(h.queue.RetryAfter())})
	}
	for h.queue.Ready() && !h.paused(now) {
		r := h.freeRunner()
		if r == nil {
			break
		}
		item := h.queue.Start()
		r.job = item.Payload.(*job)
		r.jobs <- r.job
	}
	h.arm(now)
}

// arm sets the timer for the queue's next event.
func (h *host) arm(now time.Time) {
	next, ok := h.queue.NextEvent()
	if !ok || (h.timerAt.After(now) && !next.Before(h.timerAt)) {
		return
	}
	h.timerAt = next
	wait := max(next.Sub(now), time.Millisecond)
	if h.timer == nil {
		h.timer = time.AfterFunc(wait, h.tick)
		return
	}
	h.timer.Reset(wait)
}

func (h *host) tick() {
	h.mu.Lock()
	defer h.unlock()
	h.timerAt = time.Time{}
	h.advance(time.Now())
}

// cancel withdraws a job. A job that the server may have keeps its slot.
func (h *host) cancel(j *job) {
	h.mu.Lock()
	defer h.unlock()
	if j.answered {
		return
	}
	action := j.call.query.Kind == msgs.KindAction
	switch {
	case h.queue.Cancel(&j.item):
		h.refuse(j, cancelAnswer(action))
	case j.sentAt.IsZero():
		// A runner has the job but has not written it; see admit.
		h.refuse(j, cancelAnswer(action))
	case !action:
		h.refuse(j, msgs.Answer{Status: msgs.StatusCancelled})
		h.sendCancel(j)
	}
}

// cancelAnswer is the answer to a cancelled job that was not sent.
func cancelAnswer(action bool) msgs.Answer {
	if action {
		return msgs.Answer{Status: msgs.StatusNotRun}
	}
	return msgs.Answer{Status: msgs.StatusCancelled}
}

// refuse answers a job without a result of the server. Jobs that have been
// answered are left alone.
func (h *host) refuse(j *job, a msgs.Answer) {
	if j.answered {
		return
	}
	j.answered = true
	a.WaitMicros = micros(time.Since(j.added))
	h.complete(j, &a)
	h.outbox = append(h.outbox, outgoing{job: j, answer: a})
}

// unlock frees the mutex and sends the answers that were made under it. Sending
// may call back into the host.
func (h *host) unlock() {
	outbox := h.outbox
	h.outbox = nil
	h.mu.Unlock()
	for _, out := range outbox {
		out.job.answer(out.answer)
	}
}

// complete adds what every answer tells about the server.
func (h *host) complete(j *job, a *msgs.Answer) {
	a.Queued = uint32(h.queue.Waiting() + h.queue.InUse())
	a.Slots = uint32(h.queue.ConcurrencyLimit())
	a.Maps = h.maps.tell(j.call.key.from, a.Status == msgs.StatusWrongVersion, time.Now())
}

// leased reports whether this VM holds the lease of the server's group.
func (h *host) leased(now time.Time) bool {
	holding := h.holding.Load()
	return holding != nil && holding.Valid(now)
}

// rebound passes the present bound on to the queue.
func (h *host) rebound() {
	h.queue.SetConcurrencyLimit(min(h.tracker.ConcurrencyLimit(), h.laneLimit()), h.tracker.MeanServiceTime())
}

// laneLimit is the number of connections that may carry work. One connection is
// kept for cancels.
func (h *host) laneLimit() int {
	return max(min(h.server.Limits.Slots, h.server.Limits.Connections-1), 1)
}

// observeBoot notes the boot identity and the index maps of an answer.
func (h *host) observeBoot(boot ident.BootID, maps string, now time.Time) {
	if boot == "" {
		h.recordBad("boot identity", errNoBoot, now)
		return
	}
	before := h.tracker.State().Phase
	if h.tracker.ObserveBoot(boot, now) {
		h.sender.deps.Events.Count("boot_changed")
	}
	if err := h.maps.observe(maps); err != nil {
		h.recordBad("index maps", err, now)
	}
	h.notePhase(before)
	h.rebound()
}

// observeHello notes what the server said on a new connection and returns the
// run of the server that the connection leads to.
func (h *host) observeHello(hello lane.Hello, now time.Time) uint64 {
	h.down = outage{}
	h.queue.ServerResponded(now)
	h.observeBoot(hello.Boot, hello.Maps, now)
	run, replaced := h.run.observe(hello)
	if replaced {
		h.queue.ServerRestarted()
	}
	return run
}

// notePhase records a return to cold, or the end of the warm-up.
func (h *host) notePhase(before warmth.Phase) {
	state := h.tracker.State()
	if state.Phase == before || state.Phase == warmth.Warming {
		return
	}
	h.sender.deps.Events.Record("server_"+string(state.Phase), string(h.id), string(state.PhaseReason),
		slog.Int("bound", state.ConcurrencyLimit), slog.String("boot", string(state.Boot)))
}

// recordBad records an unusable answer, in full at most once a second.
func (h *host) recordBad(what string, err error, now time.Time) {
	if now.Sub(h.badAt) < time.Second {
		h.sender.deps.Events.Count("bad_answer")
		return
	}
	h.badAt = now
	h.sender.deps.Events.Record("bad_answer", string(h.id), what, slog.Any("error", err))
}

func micros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), 1<<32-1))
}
