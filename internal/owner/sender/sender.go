// Package sender sends sub-requests to the backend servers that this VM owns
// and returns their outcomes. It joins the decisions of packages warmth and
// queue with the connections of package lane.
package sender

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/mesh"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/lane"
)

// Defaults of Options.
const (
	// DefaultFlushDelay is the time for which an answer waits for others of
	// its query.
	DefaultFlushDelay = 500 * time.Microsecond
	// DefaultLeaseGrace is the time after the end of the lease at which work
	// sent under it must end.
	DefaultLeaseGrace = 500 * time.Millisecond
	// DefaultMinSilenceTimeout is the shortest wait for an answer before the
	// connection is taken to be silent.
	DefaultMinSilenceTimeout = time.Second
	// DefaultRefreshInterval is the time between looks at the view and the
	// leases.
	DefaultRefreshInterval = 20 * time.Millisecond
	// DefaultHealthInterval is the time between two questions for the health that
	// a server claims.
	DefaultHealthInterval = time.Second
)

const (
	// maxBudget bounds the time left that a query may state.
	maxBudget = time.Minute
	// drainPoll is the time between looks at what is left to finish.
	drainPoll = 5 * time.Millisecond
)

// Deps holds what a Sender needs.
type Deps struct {
	Self   ident.Process
	Views  *view.Holder
	Mesh   mesh.Sender
	Events *events.Recorder
	// Dial opens connections to backend servers; nil means TCP.
	Dial lane.DialFunc
}

// Options holds the settings of a Sender. The zero value is useful.
type Options struct {
	FlushDelay        time.Duration
	LeaseGrace        time.Duration
	MinSilenceTimeout time.Duration
	RefreshInterval   time.Duration
	HealthInterval    time.Duration
	// MaxWaiting is the number of sub-requests that may wait per server.
	MaxWaiting int
	// MaxAnswerBytes is the size in bytes of the largest answer of a server.
	MaxAnswerBytes int
}

// Sender executes the sub-requests of all entries at the backend servers that
// this VM owns. It is safe for concurrent use. Run must be running.
type Sender struct {
	deps    Deps
	opts    Options
	prefix  string
	counter atomic.Uint64
	pending atomic.Int64
	calls   callTable
	workers conc.WaitGroup

	mu      sync.RWMutex
	hosts   map[ident.ServerID]*host
	imports map[ident.GroupID]groupImport
	// retained holds what is known of servers whose host has been closed.
	retained map[ident.ServerID]serverCarry
	closed   bool
	// refreshing serializes Refresh.
	refreshing sync.Mutex
}

// New returns a sender that owns nothing until its view has holdings.
func New(deps Deps, opts Options) *Sender {
	setDefault(&opts.FlushDelay, DefaultFlushDelay)
	setDefault(&opts.LeaseGrace, DefaultLeaseGrace)
	setDefault(&opts.MinSilenceTimeout, DefaultMinSilenceTimeout)
	setDefault(&opts.RefreshInterval, DefaultRefreshInterval)
	setDefault(&opts.HealthInterval, DefaultHealthInterval)
	prefix := string(deps.Self.VM) + "." + strconv.FormatUint(uint64(deps.Self.Incarnation), 36) + "."
	return &Sender{
		deps: deps, opts: opts, prefix: prefix,
		calls:    callTable{calls: map[callKey]*call{}},
		hosts:    map[ident.ServerID]*host{},
		imports:  map[ident.GroupID]groupImport{},
		retained: map[ident.ServerID]serverCarry{},
	}
}

// Run follows the view and the leases until ctx ends, then waits for the work
// that runs and closes all connections.
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

// Drain waits until all sub-requests have been answered, or until ctx ends.
func (s *Sender) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.pending.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "sender: %d sub-requests left", s.pending.Load())
		case <-ticker.C:
		}
	}
	return nil
}

// HandleQuery implements mesh.QueryHandler.
func (s *Sender) HandleQuery(from ident.Process, q msgs.Query) {
	if len(q.Items) == 0 {
		return
	}
	now := time.Now()
	c := newCall(s, from, q, now)
	if !s.calls.add(c) {
		s.deps.Events.Count("duplicate_query")
		return
	}
	s.pending.Add(int64(len(c.jobs)))
	v := s.deps.Views.Load()
	for i := range c.jobs {
		s.place(v, &c.jobs[i], now)
	}
}

// HandleCancel implements mesh.QueryHandler.
func (s *Sender) HandleCancel(from ident.Process, m msgs.Cancel) {
	c := s.calls.get(callKey{from: from, id: m.ID})
	if c == nil {
		return
	}
	for i := range c.jobs {
		if j := &c.jobs[i]; j.host.Load() != nil && selected(m.Seqs, j.seq) {
			j.host.Load().cancel(j)
		}
	}
}

// place gives a job to its host, or refuses it.
func (s *Sender) place(v *view.View, j *job, now time.Time) {
	h := s.host(j.server)
	if h == nil {
		if h = s.adopt(v, j.server); h == nil {
			j.answer(msgs.Answer{Status: msgs.StatusWrongOwner, Owner: s.believedOwner(v, j.server)})
			return
		}
	}
	j.host.Store(h)
	h.add(v, j, now)
}

// adopt returns the host of a server whose holding has been published since the
// last refresh, or nil.
func (s *Sender) adopt(v *view.View, server ident.ServerID) *host {
	if _, held := v.Holdings[v.GroupOf[server]]; !held {
		return nil
	}
	s.Refresh()
	return s.host(server)
}

func (s *Sender) host(server ident.ServerID) *host {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.hosts[server]
}

// believedOwner returns the other VM that owns the server, or "".
func (s *Sender) believedOwner(v *view.View, server ident.ServerID) string {
	owner, ok := v.Owner(server)
	if !ok || owner.Process.VM == s.deps.Self.VM {
		return ""
	}
	return string(owner.Process.VM)
}

// nextID returns a new id for a request to a backend server.
func (s *Sender) nextID() string {
	return s.prefix + strconv.FormatUint(s.counter.Add(1), 36)
}

func (s *Sender) close() {
	s.mu.Lock()
	s.closed = true
	hosts := s.hosts
	s.hosts = map[ident.ServerID]*host{}
	s.mu.Unlock()
	for _, h := range hosts {
		h.close()
	}
	s.workers.Wait()
}

func selected(seqs []uint32, seq uint32) bool {
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
