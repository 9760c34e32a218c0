// Package agent makes a process a member of the fleet: it joins the fleet, sends
// heartbeats, votes on leases and holds them, detects failures, and publishes
// the view that request handling reads. The decision rules are in packages place,
// lease and member. The agent adds timers, control calls and one control
// goroutine that owns all of its state.
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
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultCheckInterval     = 50 * time.Millisecond
	defaultJoinJitter        = time.Second
	defaultVMListInterval    = 2 * time.Second
	defaultIsolationTimeout  = 3 * time.Second
	defaultHandoverDelay     = time.Second
	defaultMaxHandovers      = 4
	defaultCallTimeout       = 400 * time.Millisecond
)

var (
	// ErrNotOwner is returned if this process does not hold the group's lease
	// in the given term.
	ErrNotOwner = errors.New("agent: not the owner")
	// ErrNoQuorum is returned if no majority of the voters confirmed a record.
	// Some of them may have stored it.
	ErrNoQuorum = errors.New("agent: no quorum")
	// ErrNoOwner is returned if no voter named a live owner of the group.
	ErrNoOwner = errors.New("agent: no known owner")
	// ErrStopped is returned once the agent has stopped.
	ErrStopped = errors.New("agent: stopped")
)

// StateTransfer exports and imports the state of a group's backend servers that
// the next owner of the group takes over. The state is opaque to the agent: the
// owner's voters store it and return it to the next owner. All methods are called
// on the control goroutine and must not block.
type StateTransfer interface {
	// Export returns the current state for the next owner.
	Export(group ident.GroupID) []byte
	// Pause stops sending new work to the group's backend servers until the
	// given time and reports whether none of the work sent before still runs.
	Pause(group ident.GroupID, until time.Time) bool
	// Import receives the state that the previous owner exported last. It is
	// called before the group's Holding is published. previousUntil is the end
	// of the previous lease; zero means that there was none.
	Import(group ident.GroupID, handoverState []byte, previousUntil time.Time)
}

// Deps holds the dependencies of an agent. All are required except Events,
// Logger, StateTransfer and OnNewerConfig.
type Deps struct {
	Self          view.Member
	Store         store.Store
	VMs           vmlist.List
	Server        *ctrl.Server
	Client        *ctrl.Client
	Views         *view.Publisher
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
	// IsolationTimeout is the time after which new work is refused if neither
	// the key-value service nor a majority of peers was heard. 0 means 3 s.
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
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, defaultHeartbeatInterval)
	o.CheckInterval = cmp.Or(o.CheckInterval, defaultCheckInterval)
	o.JoinJitter = cmp.Or(o.JoinJitter, defaultJoinJitter)
	o.VMListInterval = cmp.Or(o.VMListInterval, defaultVMListInterval)
	o.IsolationTimeout = cmp.Or(o.IsolationTimeout, defaultIsolationTimeout)
	o.HandoverDelay = cmp.Or(o.HandoverDelay, defaultHandoverDelay)
	o.MaxHandovers = cmp.Or(o.MaxHandovers, defaultMaxHandovers)
	o.CallTimeout = cmp.Or(o.CallTimeout, defaultCallTimeout)
	return o
}

// Agent maintains the fleet membership of one process. Its exported methods are
// safe for concurrent use. Only the control goroutine accesses the fields from
// self on; other goroutines reach them through post and do.
type Agent struct {
	deps    Deps
	options Options
	tasks   chan func()
	stopped chan struct{}
	calls   conc.WaitGroup
	ctx     context.Context

	self           view.Member
	started        time.Time
	lastHeartbeat  time.Time
	heartbeatCount int

	membership         *member.Value
	membershipRevision ident.Revision
	config             *view.Config
	groups             map[ident.GroupID]view.Group
	groupOf            map[ident.ServerID]ident.GroupID
	// movedServers maps servers that changed their group to the time from
	// which their new owner may send them work.
	movedServers map[ident.ServerID]time.Time
	groupList    []view.Group

	roster roster
	voter  *lease.Voter
	leases map[ident.GroupID]*groupLease
	routes map[ident.GroupID]route
	// queuedRequests lists for each voter the groups whose lease requests are
	// sent at the end of the current task.
	queuedRequests map[ident.Process][]ident.GroupID

	detector *member.Detector
	gossip   *member.Gossip
	batch    *member.Batch
	// upkeepNeeded is set when the membership, the configuration or the VM list
	// changed, so that the registrar checks whether voters must be replaced.
	upkeepNeeded bool

	peers            map[ident.Process]*peer
	lastStoreContact time.Time
	// storeDown is set if the last call of the key-value service failed.
	storeDown    bool
	pollingStore bool
	listedVMs    coll.Set[ident.VMID]
	leavingVMs   coll.Set[ident.VMID]
	// missingLists counts for each VM the VM lists that lacked it since it was
	// last listed.
	missingLists      map[ident.VMID]int
	newestIncarnation map[ident.VMID]ident.Incarnation
	// endedSince holds the processes known to have ended for good, with the
	// time at which this process learned of it.
	endedSince map[ident.Process]time.Time
	// formerMembers holds the processes that were removed from the membership
	// value. Gossip entries about them are ignored.
	formerMembers coll.Set[ident.Process]

	// joined is set once this process takes part in the fleet, joining while a
	// goroutine tries to join, leaving since Leave was called, and left once
	// Leave removes this process from the membership value.
	joined    bool
	joining   bool
	leaving   bool
	left      bool
	isolated  bool
	viewDirty bool
}

// New returns an agent and registers its handlers at deps.Server. The agent is
// idle until Run is called.
func New(deps Deps, options Options) *Agent {
	options = options.withDefaults()
	if deps.Logger == nil {
		deps.Logger = slog.New(slog.DiscardHandler)
	}
	a := &Agent{
		deps:              deps,
		options:           options,
		tasks:             make(chan func(), 64),
		stopped:           make(chan struct{}),
		self:              deps.Self,
		membership:        member.New(),
		config:            &view.Config{},
		groups:            map[ident.GroupID]view.Group{},
		groupOf:           map[ident.ServerID]ident.GroupID{},
		movedServers:      map[ident.ServerID]time.Time{},
		leases:            map[ident.GroupID]*groupLease{},
		routes:            map[ident.GroupID]route{},
		detector:          member.NewDetector(options.Detector),
		gossip:            member.NewGossip(deps.Self.Process),
		batch:             member.NewBatch(options.Batch),
		peers:             map[ident.Process]*peer{},
		missingLists:      map[ident.VMID]int{},
		newestIncarnation: map[ident.VMID]ident.Incarnation{},
		endedSince:        map[ident.Process]time.Time{},
		queuedRequests:    map[ident.Process][]ident.GroupID{},
		formerMembers:     coll.NewSet[ident.Process](),
	}
	a.register()
	return a
}

// SetConfig replaces the configuration, unless c is not newer than the current
// one. It does not wait until the change takes effect.
func (a *Agent) SetConfig(c *view.Config) {
	a.post(func() { a.applyConfig(c) })
}

// NoteStoreContact records that the key-value service answered at the given
// time.
func (a *Agent) NoteStoreContact(at time.Time) {
	a.post(func() { a.setLastStoreContact(at) })
}

// Claims returns the claim records of a group by their keys: those inherited from
// earlier owners and those stored in the current term. It returns nil if the
// agent has stopped or has never requested the group's lease.
func (a *Agent) Claims(group ident.GroupID) map[string][]byte {
	var claims map[string][]byte
	_ = a.do(context.Background(), func() {
		if l, ok := a.leases[group]; ok {
			claims = l.holder.Claims()
		}
	})
	return claims
}

// ClaimsCompleteSince returns the time from which on no claim record of a group
// was lost, or the zero time if none ever were.
func (a *Agent) ClaimsCompleteSince(group ident.GroupID) time.Time {
	var since time.Time
	_ = a.do(context.Background(), func() {
		if l, ok := a.leases[group]; ok {
			since = l.holder.ClaimsCompleteSince()
		}
	})
	return since
}

// post queues f for the control goroutine. It blocks while the queue is full and
// discards f once the agent has stopped.
func (a *Agent) post(f func()) {
	select {
	case a.tasks <- f:
	case <-a.stopped:
	}
}

// do runs f on the control goroutine and waits until f has returned. ctx bounds
// only the wait for a place in the queue. It must not be called on the control
// goroutine, which would wait for itself.
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

// call calls a method of a peer on a new goroutine and then runs onResult on
// the control goroutine.
func call[R any](a *Agent, addr, method string, params any, onResult func(R, error)) {
	a.calls.Go(func() {
		ctx, cancel := context.WithTimeout(a.ctx, a.options.CallTimeout)
		defer cancel()
		var result R
		err := a.deps.Client.Call(ctx, addr, method, params, &result)
		a.post(func() { onResult(result, err) })
	})
}

func (a *Agent) record(kind, subject, reason string, attrs ...slog.Attr) {
	a.deps.Events.Record(kind, subject, reason, attrs...)
}
