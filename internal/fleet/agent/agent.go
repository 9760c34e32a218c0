// Package agent drives the fleet side of a process: it joins the fleet, sends
// heartbeats, votes on leases and holds them, notices failures, and publishes
// the view that traffic works from. The decisions are in packages place, lease
// and member; the agent owns the clock, the calls and one control goroutine on
// which all of its state lives.
package agent

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/ctrl"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/plat/store"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
)

const (
	defaultHeartbeat   = 500 * time.Millisecond
	defaultTick        = 50 * time.Millisecond
	defaultJoinJitter  = time.Second
	defaultListEvery   = 2 * time.Second
	defaultIsolated    = 3 * time.Second
	defaultHandover    = time.Second
	defaultPace        = 4
	defaultCallTimeout = 400 * time.Millisecond
)

var (
	// ErrNotOwner means that this process does not hold the group's lease in
	// the given term.
	ErrNotOwner = errors.New("agent: not the owner")
	// ErrNoQuorum means that too few voters stored a record. Some may have.
	ErrNoQuorum = errors.New("agent: no quorum")
	// ErrNoOwner means that no voter knows an owner of the group.
	ErrNoOwner = errors.New("agent: no known owner")
	// ErrStopped means that the agent does not run.
	ErrStopped = errors.New("agent: stopped")
)

// CarryKeeper knows what a successor should know of a group's backend servers.
// All methods are called on the control goroutine and must not block.
type CarryKeeper interface {
	// Export returns what a successor should know.
	Export(group ident.GroupID) []byte
	// Pause keeps new work from the group's backend servers until the given
	// time and reports whether nothing runs there any more.
	Pause(group ident.GroupID, until time.Time) bool
	// Import takes what the previous owner exported last, before the group's
	// Holding is published. The previous lease ended at previousUntil; zero
	// means that there was none.
	Import(group ident.GroupID, carry []byte, previousUntil time.Time)
}

// Deps are what an agent works with. All are required but Events, Carry and
// PeerRevision.
type Deps struct {
	Self   view.Member
	Store  store.Store
	VMs    vmlist.List
	Server *ctrl.Server
	Client *ctrl.Client
	Views  *view.Publisher
	Events *events.Recorder
	Logger *slog.Logger
	Carry  CarryKeeper
	// PeerRevision is told when a peer has a newer configuration. It is called
	// on the control goroutine and must not block.
	PeerRevision func(peer view.Member, revision ident.Revision)
}

// Options sets the timing of an agent. The zero value is useful.
type Options struct {
	Lease    lease.Options
	Detector member.DetectorOptions
	Batch    member.BatchOptions
	// Heartbeat is the interval of heartbeats. 0 means 500 ms.
	Heartbeat time.Duration
	// Tick is the interval of the control goroutine's checks. 0 means 50 ms.
	Tick time.Duration
	// JoinJitter bounds the random wait before a process joins. 0 means 1 s.
	JoinJitter time.Duration
	// ListEvery is the interval of reading the VM list. 0 means 2 s.
	ListEvery time.Duration
	// IsolatedAfter is the silence after which new work is refused. 0 means 3 s.
	IsolatedAfter time.Duration
	// HandoverDelay is the time for which another VM must be the better owner
	// before a group is handed over. 0 means 1 s.
	HandoverDelay time.Duration
	// HandoverPace bounds the groups handed over per heartbeat. 0 means 4.
	HandoverPace int
	// CallTimeout bounds a control call. 0 means 400 ms.
	CallTimeout time.Duration
}

func (o Options) withDefaults() Options {
	o.Lease = o.Lease.WithDefaults()
	o.Heartbeat = cmp.Or(o.Heartbeat, defaultHeartbeat)
	o.Tick = cmp.Or(o.Tick, defaultTick)
	o.JoinJitter = cmp.Or(o.JoinJitter, defaultJoinJitter)
	o.ListEvery = cmp.Or(o.ListEvery, defaultListEvery)
	o.IsolatedAfter = cmp.Or(o.IsolatedAfter, defaultIsolated)
	o.HandoverDelay = cmp.Or(o.HandoverDelay, defaultHandover)
	o.HandoverPace = cmp.Or(o.HandoverPace, defaultPace)
	o.CallTimeout = cmp.Or(o.CallTimeout, defaultCallTimeout)
	return o
}

// Agent is the fleet side of one process. Its exported methods are safe for
// concurrent use; all of its fields below tasks belong to the control goroutine.
type Agent struct {
	deps    Deps
	options Options
	tasks   chan func()
	stopped chan struct{}
	calls   conc.WaitGroup
	ctx     context.Context

	self     view.Member
	started  time.Time
	lastBeat time.Time
	beats    int

	value    *member.Value
	revision ident.Revision
	config   *view.Config
	groups   map[ident.GroupID]view.Group
	groupOf  map[ident.ServerID]ident.GroupID
	// moved holds the servers that changed their group, with the time from
	// which they may receive work again.
	moved   map[ident.ServerID]time.Time
	ordered []view.Group

	roster  roster
	voter   *lease.Voter
	tenures map[ident.GroupID]*tenure
	routes  map[ident.GroupID]route
	// asks holds the lease requests to send at the end of the present task.
	asks map[ident.Process][]ident.GroupID

	detector *member.Detector
	rumors   *member.Gossip
	batch    *member.Batch
	upkeep   bool

	peers      map[ident.Process]*peer
	storeHeard time.Time
	// storeDown is set while the last call of the key-value service failed.
	storeDown  bool
	polling    bool
	listed     coll.Set[ident.VMID]
	leavingVMs coll.Set[ident.VMID]
	missing    map[ident.VMID]int
	newest     map[ident.VMID]ident.Incarnation
	gone       map[ident.Process]time.Time
	departed   coll.Set[ident.Process]

	joined   bool
	joining  bool
	leaving  bool
	left     bool
	isolated bool
	dirty    bool
}

// New returns an agent and registers its control handlers. It does nothing
// until Run.
func New(deps Deps, options Options) *Agent {
	options = options.withDefaults()
	if deps.Logger == nil {
		deps.Logger = slog.New(slog.DiscardHandler)
	}
	a := &Agent{
		deps:     deps,
		options:  options,
		tasks:    make(chan func(), 64),
		stopped:  make(chan struct{}),
		self:     deps.Self,
		value:    member.New(),
		config:   &view.Config{},
		groups:   map[ident.GroupID]view.Group{},
		groupOf:  map[ident.ServerID]ident.GroupID{},
		moved:    map[ident.ServerID]time.Time{},
		tenures:  map[ident.GroupID]*tenure{},
		routes:   map[ident.GroupID]route{},
		detector: member.NewDetector(options.Detector),
		rumors:   member.NewGossip(deps.Self.Process),
		batch:    member.NewBatch(options.Batch),
		peers:    map[ident.Process]*peer{},
		missing:  map[ident.VMID]int{},
		newest:   map[ident.VMID]ident.Incarnation{},
		gone:     map[ident.Process]time.Time{},
		asks:     map[ident.Process][]ident.GroupID{},
		departed: coll.NewSet[ident.Process](),
	}
	a.register()
	return a
}

// SetConfig replaces the configuration, unless c is older than the present one.
func (a *Agent) SetConfig(c *view.Config) {
	a.post(func() { a.setConfig(c) })
}

// Touch notes that the key-value service was heard at the given time.
func (a *Agent) Touch(at time.Time) {
	a.post(func() { a.heardStore(at) })
}

// Claims returns the records of a group that were inherited or stored in the
// present term.
func (a *Agent) Claims(group ident.GroupID) map[string][]byte {
	var claims map[string][]byte
	_ = a.do(context.Background(), func() {
		if t, ok := a.tenures[group]; ok {
			claims = t.holder.Claims()
		}
	})
	return claims
}

// ClaimsSince returns the moment before which records of a group may have been
// lost, or the zero time if none were.
func (a *Agent) ClaimsSince(group ident.GroupID) time.Time {
	var since time.Time
	_ = a.do(context.Background(), func() {
		if t, ok := a.tenures[group]; ok {
			since = t.holder.ClaimsCompleteSince()
		}
	})
	return since
}

// post runs f on the control goroutine, unless the agent has stopped.
func (a *Agent) post(f func()) {
	select {
	case a.tasks <- f:
	case <-a.stopped:
	}
}

// do runs f on the control goroutine and waits for it.
func (a *Agent) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	task := func() {
		defer close(done)
		f()
	}
	select {
	case a.tasks <- task:
	case <-a.stopped:
		return ErrStopped
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "agent: control goroutine is busy")
	}
	select {
	case <-done:
		return nil
	case <-a.stopped:
		return ErrStopped
	}
}

// call calls a peer on a goroutine of its own and hands the outcome to the
// control goroutine.
func call[R any](a *Agent, addr, method string, params any, then func(R, error)) {
	a.calls.Go(func() {
		ctx, cancel := context.WithTimeout(a.ctx, a.options.CallTimeout)
		defer cancel()
		var result R
		err := a.deps.Client.Call(ctx, addr, method, params, &result)
		a.post(func() { then(result, err) })
	})
}

func (a *Agent) record(kind, subject, reason string, attrs ...slog.Attr) {
	a.deps.Events.Record(kind, subject, reason, attrs...)
}
