package roster

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

const (
	// memberLease is the time after which the registration of a dead VM lapses. Together
	// with memberLapseGrace it stays below the time for which an address list may name a
	// dead VM.
	memberLease = 4 * time.Second
	// renewInterval allows for two lost renewals within memberLease.
	renewInterval = 1200 * time.Millisecond
	// standbyLease and standbyRenewInterval apply to a VM that stands by. If it dies, no
	// address list changes. If it was selected to serve, its place stays empty until the
	// registration lapses.
	standbyLease         = 3 * memberLease
	standbyRenewInterval = 3 * renewInterval
	// roleUpdateInterval is the time between two decisions whether this VM serves.
	roleUpdateInterval = 200 * time.Millisecond
	// maxStandbyViewAge is the age up to which a VM that stands by may serve a caller
	// from its view. It stays below the tightest limit on the delay of a change, 3 s.
	maxStandbyViewAge = 2 * time.Second
	// callTimeout bounds each operation of the registrar on the store.
	callTimeout = time.Second
)

// Registrar keeps the registration of this VM in the store, and decides whether the VM
// serves callers.
type Registrar struct {
	depot    depot.Depot
	follower *Follower
	events   *events.Recorder
	self     ident.VMID

	mu sync.Mutex
	// desired is the registration that should be in the store.
	desired Member
	// desiredChanged wakes Run after a change of desired.
	desiredChanged chan struct{}
	serving        atomic.Bool
	role           servingRole
	tenure         tenure
}

// NewRegistrar returns a registrar for self, which stands by at first. recorder may be
// nil.
func NewRegistrar(d depot.Depot, follower *Follower, self Member, recorder *events.Recorder) *Registrar {
	return &Registrar{
		depot: d, follower: follower, events: recorder, self: self.VM,
		desired: self, desiredChanged: make(chan struct{}, 1),
	}
}

// Serving reports whether the VM serves callers. It is safe for concurrent use.
func (r *Registrar) Serving() bool {
	return r.serving.Load()
}

// ViewUsable reports whether this VM may serve a caller from its view. While it stands
// by, the view may be old, and after a stall it is; the follower is then made to read all
// keys. While the store is down, an old view is better than none, unless it was never
// confirmed since the process started. It is safe for concurrent use.
func (r *Registrar) ViewUsable(now time.Time) bool {
	if _, everConfirmed := r.follower.Age(now); everConfirmed && r.follower.StoreDown() {
		return true
	}
	confirmed := r.follower.ConfirmedSinceStall(now)
	if r.serving.Load() {
		return confirmed
	}
	if r.followAllForRequest(now); r.follower.UpToDate() {
		return confirmed
	}
	age, known := r.follower.Age(now)
	return confirmed && known && age <= maxStandbyViewAge
}

// Wake makes a VM that stands by follow all changes for a while, since another VM treats
// it as a serving one. It is safe for concurrent use.
func (r *Registrar) Wake() {
	if !r.serving.Load() && !r.follower.UpToDate() {
		r.followAllForRequest(time.Now())
	}
}

// followAllForRequest makes the VM follow all changes for staleListGrace.
func (r *Registrar) followAllForRequest(now time.Time) {
	r.mu.Lock()
	r.role.lastRequestAt = now
	r.mu.Unlock()
	r.follower.SetFollowAll(true)
}

// OwnsShare reports whether this VM may use its part of the limits that are divided among the
// serving VMs: it is registered as one, as far as it and the VMs that it hears know. It is safe
// for concurrent use.
func (r *Registrar) OwnsShare(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tenure.ownsShare(now, r.follower.View())
}

// RecordMissed records that the registration of this VM has lapsed in another VM's view, which had
// all changes up to at. It is safe for concurrent use.
func (r *Registrar) RecordMissed(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tenure.recordMissed(at) {
		r.events.Record("vm_missed", string(r.self), "other VMs divide the limits without this one")
	}
}

// Leave announces that the VM accepts no new callers. It returns at once; Run writes the
// registration.
func (r *Registrar) Leave() {
	r.changeDesired(func(m *Member) { m.Leaving = true })
}

// SetPartitioned announces whether this VM is partitioned from the backend servers. It
// returns at once; Run writes the registration.
func (r *Registrar) SetPartitioned(partitioned bool) {
	r.changeDesired(func(m *Member) { m.Partitioned = partitioned })
}

// changeDesired changes the registration that should be in the store.
func (r *Registrar) changeDesired(change func(*Member)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changeDesiredLocked(change)
}

func (r *Registrar) changeDesiredLocked(change func(*Member)) {
	before := r.desired
	change(&r.desired)
	if r.desired == before {
		return
	}
	select {
	case r.desiredChanged <- struct{}{}:
	default:
	}
}

func (r *Registrar) currentDesired() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.desired
}

// Run registers the VM and renews the registration until ctx is done.
func (r *Registrar) Run(ctx context.Context) {
	var updater conc.WaitGroup
	updater.Go(func() { r.updateRoleLoop(ctx) })
	defer updater.Wait()
	r.awaitFirstRead(ctx)
	var lease depot.Lease
	var written Member
	var wait time.Duration
	for ctx.Err() == nil {
		desired := r.currentDesired()
		if lease == (depot.Lease{}) || written != desired || !r.isRegistered(written) {
			if desired.Serving != written.Serving {
				lease = depot.Lease{}
			}
			next, err := r.register(ctx, lease, desired)
			if err != nil {
				r.events.Sample("registration_failed", string(r.self), err.Error())
				lease = depot.Lease{}
				sleep.For(ctx, retryPause())
				continue
			}
			lease, written = next, desired
			wait = leaseRenewInterval(written)
		}
		r.waitForChange(ctx, wait)
		wait = leaseRenewInterval(written)
		err := r.renew(ctx, lease)
		if errors.Is(err, depot.ErrNoLease) {
			lease = depot.Lease{}
		}
		if err != nil {
			wait = renewInterval
		}
	}
}

// isRegistered reports whether the store holds this registration, as far as is known. It
// may hold another one that a delayed write left behind.
func (r *Registrar) isRegistered(m Member) bool {
	own := r.follower.OwnRegistration()
	return own != nil && *own == m
}

// leaseTTL returns the duration of the lease of a registration.
func leaseTTL(m Member) time.Duration {
	if m.Serving {
		return memberLease
	}
	return standbyLease
}

// leaseRenewInterval returns the time between two renewals of a registration's lease.
func leaseRenewInterval(m Member) time.Duration {
	if m.Serving {
		return renewInterval
	}
	return standbyRenewInterval
}

// awaitFirstRead lets a restarted VM read its former registration before it registers, so
// that it doesn't briefly leave the address lists.
func (r *Registrar) awaitFirstRead(ctx context.Context) {
	select {
	case <-r.follower.Loaded():
		r.updateRole(time.Now())
	case <-time.After(callTimeout):
	case <-ctx.Done():
	}
}

// updateRoleLoop decides at regular intervals whether this VM serves.
func (r *Registrar) updateRoleLoop(ctx context.Context) {
	for sleep.For(ctx, roleUpdateInterval) {
		r.updateRole(time.Now())
	}
}

// updateRole decides from the current view whether this VM serves.
func (r *Registrar) updateRole(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.role.mode
	view := r.follower.View()
	r.role.partitioned = r.desired.Partitioned
	mode := r.role.update(now, r.self, view, r.follower.UpToDate())
	r.follower.SetFollowAll(!r.role.canFollowServingOnly(now, r.self, view, r.follower.ResumedStandby()))
	r.serving.Store(mode == serving)
	if previous != mode {
		r.events.Record("duty_changed", string(r.self), mode.String(), slog.Int("members", len(view.Members)), slog.Int("serving", view.ServingCount))
	}
	r.changeDesiredLocked(func(m *Member) { m.Serving = mode == serving })
}

// waitForChange waits for d, or until the desired registration changes.
func (r *Registrar) waitForChange(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.desiredChanged:
	}
}

// register writes the registration under lease, or under a new one if lease is the zero value, and
// returns the lease.
func (r *Registrar) register(ctx context.Context, lease depot.Lease, member Member) (depot.Lease, error) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if lease == (depot.Lease{}) {
		lease, err = r.depot.Grant(ctx, leaseTTL(member))
	}
	if err == nil {
		err = r.put(ctx, lease, member)
	}
	r.follower.ReportCall(ctx, begun, err)
	if err != nil {
		return depot.Lease{}, err
	}
	r.mu.Lock()
	r.tenure.register(time.Now(), member.Serving)
	r.mu.Unlock()
	r.events.Record("vm_registered", string(r.self), "registration written", slog.Uint64("lease", lease.ID),
		slog.Bool("serving", member.Serving), slog.Bool("leaving", member.Leaving))
	return lease, nil
}

// put writes the registration, and deletes the known one if its key differs.
func (r *Registrar) put(ctx context.Context, lease depot.Lease, member Member) error {
	value, err := json.Marshal(member)
	if err != nil {
		return errors.Wrap(err, "roster: encode member")
	}
	write := depot.Write{Key: member.key(), Value: value, Lease: lease}
	if former := r.follower.OwnRegistration(); former != nil && former.key() != write.Key {
		write.Delete = former.key()
	}
	revision, err := r.depot.Put(ctx, write)
	if err == nil {
		r.follower.RecordOwnWrite(ctx, depot.Item{Key: write.Key, Value: value, Revision: revision})
	}
	return err
}

func (r *Registrar) renew(ctx context.Context, lease depot.Lease) error {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.depot.Renew(ctx, lease)
	r.follower.ReportCall(ctx, begun, err)
	if err != nil {
		r.events.Sample("renewal_failed", string(r.self), err.Error())
	}
	return err
}
