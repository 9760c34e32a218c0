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
	// memberLease is the time after which the registration of a dead VM lapses.
	// With memberGrace it stays below the time for which an address list may
	// name a dead VM.
	memberLease = 4 * time.Second
	// renewEvery leaves room for two lost renewals within memberLease.
	renewEvery = 1200 * time.Millisecond
	// standbyLease and standbyRenew are the same for a VM that serves no callers. If it
	// dies, no caller is told of it; a place among those that serve stays empty until
	// its registration lapses.
	standbyLease = 3 * memberLease
	standbyRenew = 3 * renewEvery
	// dutyEvery is the time between two looks whether this VM is to serve.
	dutyEvery = 200 * time.Millisecond
	// recentBeliefs is the age up to which the beliefs of a VM that stands by serve
	// a caller. It stays below the tightest bound on a change, 3 s.
	recentBeliefs = 2 * time.Second
	// callTimeout bounds one call of the registrar.
	callTimeout = time.Second
)

// Registrar keeps the registration of this VM in the store, and decides whether
// the VM serves callers.
type Registrar struct {
	depot    depot.Depot
	follower *Follower
	events   *events.Recorder
	self     ident.VMID

	mu sync.Mutex
	// wanted is the registration that should be in the store.
	wanted Member
	// changed wakes the registrar when wanted differs from what it wrote.
	changed chan struct{}
	serving atomic.Bool
	// duty is the state of the decision to serve.
	duty duty
}

// NewRegistrar returns a registrar for self, which stands by at first.
func NewRegistrar(d depot.Depot, follower *Follower, self Member, recorder *events.Recorder) *Registrar {
	return &Registrar{
		depot: d, follower: follower, events: recorder, self: self.VM,
		wanted: self, changed: make(chan struct{}, 1),
	}
}

// Serving reports whether the VM serves callers. It is safe for concurrent use.
func (r *Registrar) Serving() bool {
	return r.serving.Load()
}

// ViewUsable reports whether this VM's beliefs may serve a caller. Those of a VM that
// stands by may be old, and those of one that stood still are; they are brought up to
// date then. While the store does not answer, old ones are better than none, unless this
// process never had them confirmed. It is safe for concurrent use.
func (r *Registrar) ViewUsable(now time.Time) bool {
	if _, confirmed := r.follower.Age(now); confirmed && r.follower.StoreDown() {
		return true
	}
	trusted := r.follower.ConfirmedSinceStall(now)
	if r.serving.Load() {
		return trusted
	}
	if r.wake(now); r.follower.UpToDate() {
		return trusted
	}
	age, known := r.follower.Age(now)
	return trusted && known && age <= recentBeliefs
}

// Wake makes a VM that stands by read all keys, since another VM takes it as one that
// serves. It is safe for concurrent use.
func (r *Registrar) Wake() {
	if !r.serving.Load() && !r.follower.UpToDate() {
		r.wake(time.Now())
	}
}

// wake lets the VM follow all changes for a while.
func (r *Registrar) wake(now time.Time) {
	r.mu.Lock()
	r.duty.askedAt = now
	r.mu.Unlock()
	r.follower.SetFollowAll(true)
}

// Leave announces that the VM takes no new callers. It does not wait.
func (r *Registrar) Leave() {
	r.want(func(m *Member) { m.Leaving = true })
}

// want changes the registration that should be in the store.
func (r *Registrar) want(change func(*Member)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wantLocked(change)
}

func (r *Registrar) wantLocked(change func(*Member)) {
	before := r.wanted
	change(&r.wanted)
	if r.wanted == before {
		return
	}
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *Registrar) wantedNow() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wanted
}

// Run registers the VM and renews the registration until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	var deciding conc.WaitGroup
	deciding.Go(func() { r.decide(ctx) })
	defer deciding.Wait()
	r.awaitFirstReading(ctx)
	var lease depot.LeaseID
	var written Member
	var wait time.Duration
	for ctx.Err() == nil {
		wanted := r.wantedNow()
		if lease == 0 || written != wanted || !r.isRegistered(written) {
			if wanted.Serving != written.Serving {
				lease = 0
			}
			next, err := r.register(ctx, lease, wanted)
			if err != nil {
				r.events.Sample("registration_failed", string(r.self), err.Error())
				lease = 0
				sleep.For(ctx, retryPause())
				continue
			}
			lease, written = next, wanted
			wait = renewal(written)
		}
		r.pause(ctx, wait)
		wait = renewal(written)
		err := r.renew(ctx, lease)
		if errors.Is(err, depot.ErrNoLease) {
			lease = 0
		}
		if err != nil {
			wait = renewEvery
		}
	}
}

// isRegistered reports whether the store holds this registration, as far as it is known.
// It may hold another one that a late write left.
func (r *Registrar) isRegistered(m Member) bool {
	own := r.follower.OwnRegistration()
	return own != nil && *own == m
}

// length is that of the lease of a registration.
func length(m Member) time.Duration {
	if m.Serving {
		return memberLease
	}
	return standbyLease
}

// renewal is the time between two renewals of its lease.
func renewal(m Member) time.Duration {
	if m.Serving {
		return renewEvery
	}
	return standbyRenew
}

// awaitFirstReading lets a VM that starts again find its former duty before it
// registers, so that it does not leave the address list for a moment.
func (r *Registrar) awaitFirstReading(ctx context.Context) {
	select {
	case <-r.follower.Loaded():
		r.look(time.Now())
	case <-time.After(callTimeout):
	case <-ctx.Done():
	}
}

// decide looks now and then whether this VM is to serve.
func (r *Registrar) decide(ctx context.Context) {
	for sleep.For(ctx, dutyEvery) {
		r.look(time.Now())
	}
}

// look decides by the present beliefs whether this VM serves.
func (r *Registrar) look(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.duty.mode
	view := r.follower.View()
	mode := r.duty.look(now, r.self, view, r.follower.UpToDate())
	r.follower.SetFollowAll(!r.duty.isRelaxed(now, r.self, view, r.follower.ResumedStandby()))
	r.serving.Store(mode == serving)
	if was != mode {
		r.events.Record("duty_changed", string(r.self), mode.String(), slog.Int("members", len(view.Members)), slog.Int("serving", view.ServingCount))
	}
	r.wantLocked(func(m *Member) { m.Serving = mode == serving })
}

// pause waits, but not longer than until the registration has to change.
func (r *Registrar) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.changed:
	}
}

// register writes the registration under lease, or under a new one if lease is
// 0, and returns the lease.
func (r *Registrar) register(ctx context.Context, lease depot.LeaseID, member Member) (depot.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if lease == 0 {
		lease, err = r.depot.Grant(ctx, length(member))
	}
	if err == nil {
		err = r.put(ctx, lease, member)
	}
	r.follower.ReportCall(ctx, err)
	if err != nil {
		return 0, err
	}
	r.events.Record("vm_registered", string(r.self), "registration written", slog.Uint64("lease", uint64(lease)),
		slog.Bool("serving", member.Serving), slog.Bool("leaving", member.Leaving))
	return lease, nil
}

// put writes the registration in place of the one that is known, if any.
func (r *Registrar) put(ctx context.Context, lease depot.LeaseID, member Member) error {
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

func (r *Registrar) renew(ctx context.Context, lease depot.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.depot.Renew(ctx, lease)
	r.follower.ReportCall(ctx, err)
	if err != nil {
		r.events.Sample("renewal_failed", string(r.self), err.Error())
	}
	return err
}
