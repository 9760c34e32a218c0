package deleg

import (
	"bufio"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/socket"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/core/guard"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/merge"
)

const (
	orderPath = "/v1/order"
	// maxOrderBytes is the maximum size of an encoded order, which holds the body of a
	// caller's request, and maxOrderAttempts the maximum number of its attempts.
	maxOrderBytes    = 17 << 20
	maxOrderAttempts = 4096
	// readTimeout bounds the time in which an order has to arrive, and serverIdleTimeout the time for
	// which a connection stays open without one. Other VMs close theirs much sooner.
	readTimeout       = 10 * time.Second
	serverIdleTimeout = 2 * time.Minute
	// maxLimit is the maximum Order.Limit.
	maxLimit = 1 << 16
	// heartbeatInterval is the time after which an empty report is sent if no attempt
	// has ended. It shows the sender of the order that this VM is alive. Before each
	// report this VM checks whether the sender has closed the connection.
	heartbeatInterval = 50 * time.Millisecond
	// cancelDelay is the time for which attempts of a cancelled order may continue:
	// connections of attempts that end within it can be reused. Together with the time
	// to detect the cancellation it stays below the 500 ms after which a backend server
	// must no longer work for a caller that left.
	cancelDelay = 80 * time.Millisecond
	// lateReportWindow is the time for which a report after the first one collects
	// further outcomes once it has one.
	lateReportWindow = 3 * time.Millisecond
)

// Sender sends attempts to backend servers; pool.Pool implements it.
type Sender interface {
	Send(target pool.Target, message *pool.Message, deadline time.Time, wait bool, done func(pool.Result)) *pool.Call
}

// ServerDeps holds the dependencies of a Server.
type ServerDeps struct {
	// Sender sends the attempts of orders.
	Sender Sender
	// Refuse reports whether this VM had better not execute an order.
	Refuse func(order *Order) bool
	// LateEnd is called if the process of a backend server ended, or may have ended, while it had
	// an attempt of an order that no server has answered, if that is known only after the
	// outcome was reported. shared is the number of requests of this VM that the process had.
	// LateEnd may be called on any goroutine. nil ignores such ends.
	LateEnd func(order *Order, process notice.Process, shared int)
	// Fallback handles requests to paths other than that of orders.
	Fallback fasthttp.RequestHandler
	// Events and Reporter may be nil.
	Events   *events.Recorder
	Reporter *guard.Reporter
}

// Server executes the orders of other VMs. It is safe for concurrent use.
type Server struct {
	deps ServerDeps
	http *fasthttp.Server
}

// NewServer returns a server of orders.
func NewServer(deps ServerDeps) *Server {
	s := &Server{deps: deps}
	s.http = guard.Protect(&fasthttp.Server{
		Handler:                       s.serve,
		ReadTimeout:                   readTimeout,
		IdleTimeout:                   serverIdleTimeout,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: true,
		CloseOnShutdown:               true,
		Logger:                        events.DiscardLogger{},
	}, guard.Options{MaxBody: func() int { return maxOrderBytes }, Reporter: deps.Reporter})
	return s
}

// Serve accepts orders from l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return errors.Wrap(s.http.Serve(l), "deleg: serve")
}

// Shutdown stops accepting orders and waits for those in progress.
func (s *Server) Shutdown() error {
	return errors.Wrap(s.http.Shutdown(), "deleg: shutdown")
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != orderPath {
		s.deps.Fallback(ctx)
		return
	}
	var order Order
	if _, err := order.UnmarshalMsg(ctx.PostBody()); err != nil || len(order.Sends) > maxOrderAttempts || order.Limit > maxLimit {
		s.deps.Events.Sample("order_refused", ctx.RemoteAddr().String(), "malformed or too large order")
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if socket.IsClosedByPeer(ctx.Conn()) {
		// This process may have been paused since the order arrived.
		s.deps.Events.Sample("order_dropped", ctx.RemoteAddr().String(), "the sender has closed the connection")
		ctx.SetConnectionClose()
		return
	}
	if s.deps.Refuse(&order) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	running := newExecution(&order, time.Now())
	running.start(&s.deps, &order)
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { running.writeReports(w, conn) })
}

// execution is the state of one order in progress.
type execution struct {
	startedAt time.Time
	pending   int
	total     int
	limit     int
	// firstReportAt is the latest time of the first report.
	firstReportAt time.Time
	results       chan attemptResult
	calls         []*pool.Call
	// answered is set once a server has answered.
	answered atomic.Bool
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	seq     uint32
	result  pool.Result
	endedAt time.Time
}

func newExecution(order *Order, now time.Time) *execution {
	return &execution{
		startedAt: now, pending: len(order.Sends), total: len(order.Sends), limit: int(order.Limit),
		firstReportAt: now.Add(time.Duration(order.PatienceMicros) * time.Microsecond),
		results:       make(chan attemptResult, len(order.Sends)),
	}
}

// start sends all attempts.
func (e *execution) start(deps *ServerDeps, order *Order) {
	message := &pool.Message{ID: order.Request, Head: order.Head, Body: order.Body, NoBody: order.NoBody}
	if deps.LateEnd != nil {
		message.OnEnd = func(process notice.Process, shared int, _ bool) {
			if !e.answered.Load() {
				deps.LateEnd(order, process, shared)
			}
		}
	}
	deadline := e.startedAt.Add(time.Duration(order.LeftMicros) * time.Microsecond)
	for _, send := range order.Sends {
		target := pool.Target{
			ID: ident.ServerID(send.Server), Address: send.Address, Born: send.Born, Connections: int(send.Connections),
		}
		seq := send.Seq
		e.calls = append(e.calls, deps.Sender.Send(target, message, deadline, false, func(r pool.Result) {
			if r.IsSignedSuccess() {
				e.answered.Store(true)
			}
			e.results <- attemptResult{seq: seq, result: r, endedAt: time.Now()}
		}))
	}
}

// writeReports writes reports until all attempts have ended. It cancels the remaining
// attempts if the sender of the order has closed the connection.
func (e *execution) writeReports(w *bufio.Writer, conn net.Conn) {
	defer e.cancelPending()
	out := msgp.NewWriter(w)
	for first := true; first || e.pending > 0; first = false {
		report := e.nextReport(first)
		if socket.IsClosedByPeer(conn) {
			return
		}
		err := report.EncodeMsg(out)
		if err == nil {
			err = out.Flush()
		}
		if err == nil {
			err = w.Flush()
		}
		if err != nil {
			return
		}
	}
}

// cancelPending cancels the remaining attempts, waits for them to end and releases
// their results.
func (e *execution) cancelPending() {
	if e.pending == 0 {
		return
	}
	for _, call := range e.calls {
		call.CancelAfter(cancelDelay)
	}
	for ; e.pending > 0; e.pending-- {
		r := <-e.results
		r.result.Release()
	}
}

// nextReport waits for the outcomes of one report. The first report collects until the
// remaining attempts are overdue, at the latest until firstReportAt. Later ones
// collect for lateReportWindow after their first outcome, or are empty after
// heartbeatInterval.
func (e *execution) nextReport(first bool) *Report {
	report := &Report{HasLimits: true}
	records := merge.NewRecords(e.limit)
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	if first {
		timer.Reset(time.Until(e.firstReportAt))
	}
	for e.pending > 0 {
		select {
		case r := <-e.results:
			e.pending--
			if limit, told := r.result.Limit.Get(); told && limit != notice.Unlimited {
				report.Limits = append(report.Limits, Limit{Seq: r.seq, PerSecond: float64(limit)})
			}
			end := Ended{Seq: r.seq, Shared: uint32(max(r.result.Shared, 0))}
			switch {
			case r.result.Ended:
				report.Ended = append(report.Ended, end)
			case r.result.MayHaveEnded:
				report.MayHaveEnded = append(report.MayHaveEnded, end)
			default:
			}
			report.setSlowdown(len(report.Outcomes), r.result.Slowdown)
			report.Outcomes = append(report.Outcomes, e.newOutcome(&r, records, !first))
			switch {
			case !first && len(report.Outcomes) == 1:
				timer.Reset(lateReportWindow)
			case first && e.total-e.pending == hedge.Quorum(e.total):
				elapsed := time.Since(e.startedAt)
				untilOverdue := hedge.OverdueAfter(elapsed) - elapsed
				timer.Reset(min(untilOverdue, max(time.Until(e.firstReportAt), 0)))
			default:
			}
			continue
		case <-timer.C:
		}
		break
	}
	report.Records = records.Bytes()
	return report
}

// setSlowdown stores the slowdown that belongs to an outcome, by its index, unless it is 0.
func (r *Report) setSlowdown(outcome, percent int) {
	if percent <= 0 {
		return
	}
	for len(r.Slowdowns) <= outcome {
		r.Slowdowns = append(r.Slowdowns, 0)
	}
	r.Slowdowns[outcome] = uint16(min(percent, math.MaxUint16))
}

// newOutcome converts a result to an Outcome and releases it. The records of its answer
// are merged into records, or put into the outcome if separately is set.
func (e *execution) newOutcome(r *attemptResult, records *merge.Records, separately bool) Outcome {
	result := &r.result
	o := Outcome{
		Seq: r.seq, Fate: uint8(result.Outcome), Status: uint16(result.Status), Signature: result.Signature, Reason: result.Reason,
		Micros:  uint32(r.endedAt.Sub(e.startedAt).Microseconds()),
		Running: uint32(result.Running), Waiting: uint32(result.Waiting), Slots: uint32(result.Slots),
		RetryMicros: uint64(result.RetryAfter.Microseconds()), Misdirected: result.Misdirected, Leaving: result.Leaving,
	}
	if result.IsSignedSuccess() {
		o.Alone = separately
		if separately {
			separate := merge.NewRecords(e.limit)
			separate.Add(result.Response.Body())
			o.Records = separate.Bytes()
		} else {
			records.Add(result.Response.Body())
		}
	}
	result.Release()
	return o
}
