package mesh

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/reply"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/core/guard"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/block"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

const (
	batchPath        = "/v1/batch"
	defaultTransfers = 2
	defaultTimeout   = 400 * time.Millisecond
	idleConnTimeout  = 30 * time.Second
	maxBatchBytes    = 16 << 20
	// readTimeout and writeTimeout bound the time in which a batch has to arrive and its response
	// has to be read. They exceed the time for which VMs are frozen.
	readTimeout, writeTimeout = 10 * time.Second, 10 * time.Second
	// serverIdleTimeout is the time for which a connection stays open without a batch. Other VMs
	// close theirs after idleConnTimeout.
	serverIdleTimeout = 2 * time.Minute
)

// Options adjust a Mesh. The zero value is the default.
type Options struct {
	// Transfers is the maximum number of transfers in flight to one VM.
	// Default 2.
	Transfers int
	// Timeout bounds one transfer. Default 400 ms.
	Timeout time.Duration
	// Blocklist injects link failures in tests. Default none.
	Blocklist *block.Blocklist
	// Reporter records the connections that are closed. Default none.
	Reporter *guard.Reporter
	// Budget accounts for the answers in batches from other VMs. Default none.
	Budget *budget.Budget
}

func (o Options) withDefaults() Options {
	if o.Transfers == 0 {
		o.Transfers = defaultTransfers
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	return o
}

// Mesh sends and receives the messages of one process. It is safe for
// concurrent use once Attach has been called.
type Mesh struct {
	self    ident.Process
	localIP string
	logger  *slog.Logger
	options Options

	queries QueryHandler
	replies ReplyHandler

	mu       sync.RWMutex
	outboxes map[string]*outbox

	server   *fasthttp.Server
	batches  *metrics.Counter
	bytes    *metrics.Counter
	failures *metrics.Counter
}

var _ Sender = (*Mesh)(nil)

// New returns a mesh for the process self. Connections originate from localIP.
func New(self ident.Process, localIP string, logger *slog.Logger, set *metrics.Set, options Options) *Mesh {
	m := &Mesh{
		self:     self,
		localIP:  localIP,
		logger:   logger,
		options:  options.withDefaults(),
		outboxes: map[string]*outbox{},
		batches:  set.GetOrCreateCounter("samphirestair_mesh_batches_sent_total"),
		bytes:    set.GetOrCreateCounter("samphirestair_mesh_bytes_sent_total"),
		failures: set.GetOrCreateCounter("samphirestair_mesh_transfer_failures_total"),
	}
	m.server = guard.Protect(&fasthttp.Server{
		Handler:         m.serve,
		ReadTimeout:     readTimeout,
		WriteTimeout:    writeTimeout,
		IdleTimeout:     serverIdleTimeout,
		Logger:          events.DiscardLogger{},
		CloseOnShutdown: true,
	}, guard.Options{MaxBody: func() int { return maxBatchBytes }, Reporter: m.options.Reporter})
	return m
}

// Listen opens the port for batches from other VMs. TLS between VMs would wrap
// the listener here.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrap(err, "mesh: listen")
}

// Attach sets the handlers. It must be called once, before Serve and before
// anything is sent.
func (m *Mesh) Attach(queries QueryHandler, replies ReplyHandler) {
	m.queries = queries
	m.replies = replies
}

// Serve accepts batches from l until Shutdown.
func (m *Mesh) Serve(l net.Listener) error {
	return errors.Wrap(m.server.Serve(m.options.Blocklist.Listener(l)), "mesh: serve")
}

// Shutdown stops accepting batches and waits for those being handled.
func (m *Mesh) Shutdown(ctx context.Context) error {
	return errors.Wrap(m.server.ShutdownWithContext(ctx), "mesh: shutdown")
}

// SendQuery sends q to the given process.
func (m *Mesh) SendQuery(to view.Member, q msgs.Query) {
	if m.isSelf(to) {
		go m.queries.HandleQuery(m.self, q)
		return
	}
	m.outbox(to).add(func(b *msgs.Batch) { b.Queries = append(b.Queries, q) })
}

// SendReply sends r to the given process.
func (m *Mesh) SendReply(to view.Member, r msgs.Reply) {
	m.hold(r.Answers)
	if m.isSelf(to) {
		go m.replies.HandleReply(m.self, r)
		return
	}
	m.outbox(to).add(func(b *msgs.Batch) { b.Replies = append(b.Replies, r) })
}

// SendCancel sends c to the given process.
func (m *Mesh) SendCancel(to view.Member, c msgs.Cancel) {
	if m.isSelf(to) {
		go m.queries.HandleCancel(m.self, c)
		return
	}
	m.outbox(to).add(func(b *msgs.Batch) { b.Cancels = append(b.Cancels, c) })
}

func (m *Mesh) isSelf(to view.Member) bool {
	return to.Process.VM == m.self.VM
}

func (m *Mesh) outbox(to view.Member) *outbox {
	m.mu.RLock()
	o := m.outboxes[to.Peer]
	m.mu.RUnlock()
	if o != nil {
		return o
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.outboxes[to.Peer]; o != nil {
		return o
	}
	o = newOutbox(m, to)
	m.outboxes[to.Peer] = o
	return o
}

// dial opens a connection to another VM. TLS between VMs would start here.
func (m *Mesh) dial(addr string, timeout time.Duration) (net.Conn, error) {
	c, err := m.options.Blocklist.Dial(m.localIP, addr, timeout)
	if err != nil {
		return nil, dialError{err}
	}
	return reply.NewConn(c), nil
}

func (m *Mesh) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != batchPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	var batch msgs.Batch
	if _, err := batch.UnmarshalMsg(ctx.PostBody()); err != nil {
		// The reporter bounds the lines that it logs.
		m.logger.Debug("batch_refused", slog.String("reason", err.Error()))
		m.options.Reporter.Closed(guard.Malformed)
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetConnectionClose()
		return
	}
	m.deliver(&batch)
}

func (m *Mesh) deliver(batch *msgs.Batch) {
	from := ident.Process{VM: ident.VMID(batch.From), Incarnation: ident.Incarnation(batch.Incarnation)}
	for _, c := range batch.Cancels {
		m.queries.HandleCancel(from, c)
	}
	for _, q := range batch.Queries {
		m.queries.HandleQuery(from, q)
	}
	for _, r := range batch.Replies {
		if r.Incarnation == uint64(m.self.Incarnation) {
			m.hold(r.Answers)
			m.replies.HandleReply(from, r)
		}
	}
}

// hold accounts for the memory of answers that hold none yet: those that were decoded from a batch,
// whose memory was reserved when it arrived, and outcomes of actions.
func (m *Mesh) hold(answers []msgs.Answer) {
	for i := range answers {
		if answers[i].Held != nil {
			continue
		}
		if size := answers[i].Size(); size > budget.SmallSize {
			answers[i].Held = m.options.Budget.NewHolder(nil)
			answers[i].Held.Set(budget.Answer, size)
		}
	}
}
