package ferry

import (
	"bufio"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/socket"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/merge"
)

const (
	orderPath = "/v1/order"
	// maxOrder is the largest order in bytes, and maxSends the largest number of its
	// attempts.
	maxOrder = 16 << 20
	maxSends = 4096
	// maxLimit bounds the records that are kept of one order.
	maxLimit = 1 << 16
	// signEvery is the time between two signs of life to a VM that waits. They also
	// show that it left.
	signEvery = 50 * time.Millisecond
	// linger is the time for which attempts that nobody waits for may go on, so that
	// their connections stay of use. With the notice of it, it stays below the half second
	// after which a backend server may no longer work for a caller that left.
	linger = 80 * time.Millisecond
	// lateEvery is the time in which outcomes gather after the first report.
	lateEvery = 3 * time.Millisecond
)

// Sender sends attempts to backend servers.
type Sender interface {
	Send(target pool.Target, message *pool.Message, deadline time.Time, wait bool, done func(pool.Result)) *pool.Call
}

// Server carries out the orders of other VMs. It is safe for concurrent use.
type Server struct {
	sender Sender
	others fasthttp.RequestHandler
	events *events.Recorder
	http   *fasthttp.Server
}

// NewServer returns a server that sends through sender. others answers the requests that
// are no orders.
func NewServer(sender Sender, others fasthttp.RequestHandler, recorder *events.Recorder) *Server {
	s := &Server{sender: sender, others: others, events: recorder}
	s.http = &fasthttp.Server{
		Handler:               s.serve,
		MaxRequestBodySize:    maxOrder,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		Logger:                events.DiscardLogger{},
	}
	return s
}

// Serve accepts orders from l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return errors.Wrap(s.http.Serve(l), "ferry: serve")
}

// Shutdown stops accepting orders and waits for those being carried out.
func (s *Server) Shutdown() error {
	return errors.Wrap(s.http.Shutdown(), "ferry: shutdown")
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != orderPath {
		s.others(ctx)
		return
	}
	var order Order
	if _, err := order.UnmarshalMsg(ctx.PostBody()); err != nil || len(order.Sends) > maxSends || order.Limit > maxLimit {
		s.events.Sample("order_refused", ctx.RemoteAddr().String(), "unusable order")
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if socket.HasLeft(ctx.Conn()) {
		// This VM may have stood still since the order came.
		s.events.Sample("order_dropped", ctx.RemoteAddr().String(), "the VM that sent it has given it up")
		ctx.SetConnectionClose()
		return
	}
	job := newJob(&order, time.Now())
	job.start(s.sender, &order)
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { job.report(w, conn) })
}

// job is one order under way.
type job struct {
	begun   time.Time
	pending int
	total   int
	limit   int
	// reportAt is the time of the first report unless all attempts end sooner.
	reportAt time.Time
	results  chan ended
	calls    []*pool.Call
}

// ended is the result of one attempt.
type ended struct {
	seq    uint32
	result pool.Result
	at     time.Time
}

func newJob(order *Order, now time.Time) *job {
	return &job{
		begun: now, pending: len(order.Sends), total: len(order.Sends), limit: int(order.Limit),
		reportAt: now.Add(time.Duration(order.PatienceMicros) * time.Microsecond),
		results:  make(chan ended, len(order.Sends)),
	}
}

// start sends all attempts.
func (j *job) start(sender Sender, order *Order) {
	message := &pool.Message{ID: order.Request, Head: order.Head, Body: order.Body, NoBody: order.NoBody}
	deadline := j.begun.Add(time.Duration(order.LeftMicros) * time.Microsecond)
	for _, send := range order.Sends {
		target := pool.Target{
			ID: ident.ServerID(send.Server), Address: send.Address, Born: send.Born, Connections: int(send.Connections),
		}
		seq := send.Seq
		j.calls = append(j.calls, sender.Send(target, message, deadline, false, func(r pool.Result) {
			j.results <- ended{seq: seq, result: r, at: time.Now()}
		}))
	}
}

// report writes reports until all attempts have ended. The attempts that are left when
// the other VM has closed the connection are given up.
func (j *job) report(w *bufio.Writer, conn net.Conn) {
	defer j.end()
	out := msgp.NewWriter(w)
	for first := true; first || j.pending > 0; first = false {
		report := j.gather(first)
		if socket.HasLeft(conn) {
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

// end gives up the attempts that are left, and releases their results.
func (j *job) end() {
	if j.pending == 0 {
		return
	}
	for _, call := range j.calls {
		call.CancelAfter(linger)
	}
	for ; j.pending > 0; j.pending-- {
		r := <-j.results
		r.result.Release()
	}
}

// gather waits for the outcomes of one report. The first one holds all parts until the
// rest is overdue; later ones what gathers in a short time, or nothing.
func (j *job) gather(first bool) *Report {
	report := &Report{}
	records := merge.NewRecords(j.limit)
	timer := time.NewTimer(signEvery)
	defer timer.Stop()
	if first {
		timer.Reset(time.Until(j.reportAt))
	}
	for j.pending > 0 {
		select {
		case r := <-j.results:
			j.pending--
			report.Outcomes = append(report.Outcomes, j.outcome(&r, records, !first))
			switch {
			case !first && len(report.Outcomes) == 1:
				timer.Reset(lateEvery)
			case first && j.total-j.pending == hedge.Quorum(j.total):
				took := time.Since(j.begun)
				overdue := hedge.OverdueAfter(took) - took
				timer.Reset(min(overdue, max(time.Until(j.reportAt), 0)))
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

// outcome turns a result into its report. The records of a part are merged into
// records, or reported alone.
func (j *job) outcome(r *ended, records *merge.Records, alone bool) Outcome {
	result := &r.result
	o := Outcome{
		Seq: r.seq, Fate: uint8(result.Fate), Status: uint16(result.Status), Signature: result.Signature, Reason: result.Reason,
		Micros:  uint32(r.at.Sub(j.begun).Microseconds()),
		Running: uint32(result.Running), Waiting: uint32(result.Waiting), Slots: uint32(result.Slots),
		RetryMicros: uint64(result.RetryAfter.Microseconds()), Misdirected: result.Misdirected, Leaving: result.Leaving,
	}
	if result.IsPart() {
		o.Alone = alone
		if alone {
			own := merge.NewRecords(j.limit)
			own.Add(result.Response.Body())
			o.Records = own.Bytes()
		} else {
			records.Add(result.Response.Body())
		}
	}
	result.Release()
	return o
}
