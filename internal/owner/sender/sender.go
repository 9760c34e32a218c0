// Package sender sends sub-requests to the backend servers that this VM owns
// and returns their answers. Package warmth limits the concurrency per server,
// package queue decides what is sent next, and package client provides the
// connections.
package sender

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/mesh"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/client"
)

// Defaults of Options.
const (
	// DefaultFlushDelay is the time for which an answer is held back to be sent
	// together with other answers to the same query.
	DefaultFlushDelay = 500 * time.Microsecond
	// DefaultLeaseGrace is the time after the end of a lease by which requests
	// sent under the lease must have ended.
	DefaultLeaseGrace = 500 * time.Millisecond
	// DefaultMinSilenceTimeout is the shortest time without an answer after
	// which a connection is closed as silent.
	DefaultMinSilenceTimeout = time.Second
	// DefaultRefreshInterval is the time between two calls of Refresh by Run.
	DefaultRefreshInterval = 20 * time.Millisecond
	// DefaultHealthInterval is the time between two health checks of a server.
	DefaultHealthInterval = time.Second
)

const (
	// maxBudget caps the time budget of a query.
	maxBudget = time.Minute
	// drainPollInterval is the time between two checks of Drain.
	drainPollInterval = 5 * time.Millisecond
)

// Deps holds what a Sender needs.
type Deps struct {
	Self   ident.Process
	Views  *view.Publisher
	Mesh   mesh.Sender
	Events *events.Recorder
	// Dial opens connections to backend servers; nil means TCP.
	Dial client.DialFunc
	// Budget bounds the memory of answers; nil has no limit.
	Budget *budget.Budget
}

// Options holds the settings of a Sender. Fields that are zero get the defaults
// above, or those of packages queue and client.
type Options struct {
	FlushDelay        time.Duration
	LeaseGrace        time.Duration
	MinSilenceTimeout time.Duration
	RefreshInterval   time.Duration
	HealthInterval    time.Duration
	// MaxWaiting is the number of sub-requests that may wait per server.
	MaxWaiting int
	// MaxAnswerBytes is the size of the largest answer accepted from a server.
	MaxAnswerBytes int
}

// Sender sends sub-requests, which arrive as queries from any VM, to the backend
// servers that this VM owns. It is safe for concurrent use. It works only while
// Run runs.
type Sender struct {
	deps      Deps
	opts      Options
	idPrefix  string
	idCounter atomic.Uint64
	// unanswered is the number of sub-requests whose answers have not been sent.
	unanswered atomic.Int64
	queries    queryTable
	goroutines conc.WaitGroup

	// mu guards the fields up to closed.
	mu        sync.RWMutex
	endpoints map[ident.ServerID]*endpoint
	// imports holds the handovers that the next Refresh applies.
	imports map[ident.GroupID]groupImport
	// retained holds the state to hand over of servers whose endpoint was closed.
	retained map[ident.ServerID]serverHandover
	closed   bool
	// refreshing serializes Refresh.
	refreshing sync.Mutex
}

// New returns a sender. It sends nothing until its view contains a holding, which
// is a group of servers that this VM has the lease of.
func New(deps Deps, opts Options) *Sender {
	setDefault(&opts.FlushDelay, DefaultFlushDelay)
	setDefault(&opts.LeaseGrace, DefaultLeaseGrace)
	setDefault(&opts.MinSilenceTimeout, DefaultMinSilenceTimeout)
	setDefault(&opts.RefreshInterval, DefaultRefreshInterval)
	setDefault(&opts.HealthInterval, DefaultHealthInterval)
	idPrefix := string(deps.Self.VM) + "." + strconv.FormatUint(uint64(deps.Self.Incarnation), 36) + "."
	return &Sender{
		deps: deps, opts: opts, idPrefix: idPrefix,
		queries:   queryTable{queries: map[queryKey]*query{}},
		endpoints: map[ident.ServerID]*endpoint{},
		imports:   map[ident.GroupID]groupImport{},
		retained:  map[ident.ServerID]serverHandover{},
	}
}

// clientOptions returns the options of the clients of backend servers.
func (s *Sender) clientOptions() client.Options {
	return client.Options{MaxBody: s.opts.MaxAnswerBytes, Budget: s.deps.Budget}
}

// Run calls Refresh regularly until ctx ends. It then refuses all waiting
// sub-requests, waits for those at the servers and closes all connections.
func (s *Sender) Run(ctx context.Context) {
	ticker := time.NewTicker(s.opts.RefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.close()
			return
		case <-ticker.C:
			s.Refresh()
		}
	}
}

// Drain waits until the answers to all sub-requests have been sent. It returns an error if
// ctx ends first.
func (s *Sender) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.unanswered.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "sender: %d sub-requests not answered", s.unanswered.Load())
		case <-ticker.C:
		}
	}
	return nil
}

// HandleQuery queues the sub-requests of a query. A query that is already being
// worked on is ignored. It implements mesh.QueryHandler.
func (s *Sender) HandleQuery(from ident.Process, m msgs.Query) {
	if len(m.Items) == 0 {
		return
	}
	now := time.Now()
	q := newQuery(s, from, m, now)
	if !s.queries.add(q) {
		s.deps.Events.Count("duplicate_query")
		return
	}
	s.unanswered.Add(int64(len(q.jobs)))
	v := s.deps.Views.Load()
	for i := range q.jobs {
		s.assign(v, &q.jobs[i], now)
	}
}

// HandleCancel cancels the sub-requests of a query that the message selects. It
// implements mesh.QueryHandler.
func (s *Sender) HandleCancel(from ident.Process, m msgs.Cancel) {
	q := s.queries.get(queryKey{from: from, id: m.ID})
	if q == nil {
		return
	}
	for i := range q.jobs {
		if j := &q.jobs[i]; j.endpoint.Load() != nil && selects(m.Seqs, j.seq) {
			j.endpoint.Load().cancel(j)
		}
	}
}

// assign queues a job at the endpoint of its server, or refuses the job if this
// VM does not own the server.
func (s *Sender) assign(v *view.View, j *job, now time.Time) {
	e := s.endpoint(j.server)
	if e == nil {
		if e = s.endpointAfterRefresh(v, j.server); e == nil {
			j.answer(msgs.Answer{Status: msgs.StatusWrongOwner, Owner: s.otherOwner(v, j.server)})
			return
		}
	}
	j.endpoint.Store(e)
	e.add(v, j, now)
}

// endpointAfterRefresh refreshes and returns the endpoint of a server whose holding
// may have been published after the last refresh, or nil if the view has no such
// holding.
func (s *Sender) endpointAfterRefresh(v *view.View, server ident.ServerID) *endpoint {
	if _, held := v.Holdings[v.GroupOf[server]]; !held {
		return nil
	}
	s.Refresh()
	return s.endpoint(server)
}

func (s *Sender) endpoint(server ident.ServerID) *endpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.endpoints[server]
}

// otherOwner returns the VM that owns the server according to the view, or "" if
// that is this VM or unknown.
func (s *Sender) otherOwner(v *view.View, server ident.ServerID) string {
	owner, ok := v.Owner(server)
	if !ok || owner.Process.VM == s.deps.Self.VM {
		return ""
	}
	return string(owner.Process.VM)
}

// nextID returns an id for a request to a backend server. It is unique among all
// processes of all VMs.
func (s *Sender) nextID() string {
	return s.idPrefix + strconv.FormatUint(s.idCounter.Add(1), 36)
}

func (s *Sender) close() {
	s.mu.Lock()
	s.closed = true
	endpoints := s.endpoints
	s.endpoints = map[ident.ServerID]*endpoint{}
	s.mu.Unlock()
	for _, e := range endpoints {
		e.close()
	}
	s.goroutines.Wait()
}

// selects reports whether seq is in seqs. An empty list selects all.
func selects(seqs []uint32, seq uint32) bool {
	if len(seqs) == 0 {
		return true
	}
	for _, s := range seqs {
		if s == seq {
			return true
		}
	}
	return false
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
