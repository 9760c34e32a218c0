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

// StateTransfer exports and imports the state of a group's backend servers that
// the next owner of the group takes over. The state is opaque to the agent: the
// owner's voters store it and return it to the next owner. All methods are called
// on the control goroutine and must not block.
type StateTransfer interface {
	// Export returns the present state for the next owner.
	Export(group ident.GroupID) []byte
	// Pause stops sending new work to the group's backend servers until the
	// given time and reports whether none of the work sent before still runs.
	Pause(group ident.GroupID, until time.Time) bool
	// Import receives the state that the previous owner exported last. It is
	// called before the group's Holding is published. previousUntil is the end
	// of the previous lease; zero means that there was none.
	Import(group ident.GroupID, carry []byte, previousUntil time.Time)
}

// Deps holds the dependencies of an agent. All are required except Events,
// Logger, StateTransfer and OnNewerConfig.
type Deps struct {
	Self          view.Member
	Store         store.Store
	VMs           vmlist.List
	Server        *ctrl.Server
	Client        *ctrl.Client
	Views         *view.Holder
	Events        *events.Recorder
	Logger        *slog.Logger
	StateTransfer StateTransfer
	// OnNewerConfig is called when a peer reports a newer configuration
	// revision. It is called on the control goroutine and must not block.
	OnNewerConfig func(peer view.Member, revision ident.Revision)
}

// Options sets the timing of an agent. Zero values select the defaults.
type Options struct {
	Lease    lease.Options
	Detector member.DetectorOptions
	Batch    member.BatchOptions
	// HeartbeatInterval is the time between heartbeats. 0 means 500 ms.
	HeartbeatInterval time.Duration
	// CheckInterval is the time between the control goroutine's periodic
	// checks. 0 means 50 ms.
	CheckInterval time.Duration
	// JoinJitter bounds the random delay before a process joins. 0 means 1 s.
	JoinJitter time.Duration
	// VMListInterval is the mean time between reads of the VM list. 0 means 2 s.
	VMListInterval time.Duration
	// IsolationTimeout is the time without contact to the key-value service and
	// to a majority of peers after which new work is refused. 0 means 3 s.
	IsolationTimeout time.Duration
	// HandoverDelay is the time for which another VM must be the preferred
	// owner before a group is handed over. 0 means 1 s.
	HandoverDelay time.Duration
	// MaxHandovers bounds the handovers started per heartbeat. 0 means 4.
	MaxHandovers int
	// CallTimeout bounds each control call. 0 means 400 ms.
	CallTimeout time.Duration
}

func (o Options) withDefaults() Options {
	o.Lease = o.Lease.WithDefaults()
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, defaultHeartbeat)
	o.CheckInterval = cmp.Or(o.CheckInterval, defaultTick)
	o.JoinJitter = cmp.Or(o.JoinJitter, defaultJoinJitter)
	o.VMListInterval = cmp.Or(o.VMListInterval, defaultListEvery)
	o.IsolationTimeout = cmp.Or(o.IsolationTimeout, defaultIsolated)
	o.HandoverDelay = cmp.Or(o.HandoverDelay, defaultHandover)
	o.MaxHandovers = cmp.Or(o.MaxHandovers, defaultPace)
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
	rumors   *member.Rumors
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
		rumors:   member.NewRumors(deps.Self.Process),
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

// NoteStoreContact records that the key-value service answered at the given
// time.
func (a *Agent) NoteStoreContact(at time.Time) {
	a.post(func() { a.heardStore(at) })
}

// Claims returns the claim records of a group by their keys: those inherited from
// earlier owners and those stored in the present term. It returns nil if this
// process neither holds nor requests the group's lease.
func (a *Agent) Claims(group ident.GroupID) map[string][]byte {
	var claims map[string][]byte
	_ = a.do(context.Background(), func() {
		if t, ok := a.tenures[group]; ok {
			claims = t.holder.Claims()
		}
	})
	return claims
}

// ClaimsCompleteSince returns the time from which on no claim record of a group
// was lost, or the zero time if none ever were.
func (a *Agent) ClaimsCompleteSince(group ident.GroupID) time.Time {
	var since time.Time
	_ = a.do(context.Background(), func() {
		if t, ok := a.tenures[group]; ok {
			since = t.holder.Since()
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
