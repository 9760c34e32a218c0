package grant_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/beats"
	"github.com/samphirestair/samphirestair/internal/fleet/roll"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/lab/depsrv"
	"github.com/samphirestair/samphirestair/internal/link/grant"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
	"github.com/samphirestair/samphirestair/internal/query/quota"
)

// The fleet of the tests, whose network delays each message by latency.
const (
	fleetSize  = 12
	fleetZones = 3
	latency    = 2 * time.Millisecond
	beatEvery  = 200 * time.Millisecond
	settleTime = 15 * time.Second
)

// The quota of the tenant "busy", which asks for more at each VM, and that of "calm", which asks for
// less than half of it at all VMs together.
const (
	quotaRate, quotaBurst = 100.0, 10.0
	busyPerVM, calmPerVM  = 30, 4
)

var quotaBounds = quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// answer is what a VM gets from the store.
type answer int32

const (
	served answer = iota
	// refused calls have no effect.
	refused
	// unanswered calls get nothing until the VM gives up.
	unanswered
	// lost calls have an effect, and get nothing.
	lost
)

// vmStore is the store as one VM sees it.
type vmStore struct {
	depot.Depot
	answer atomic.Int32
}

// begin returns the error of a call that the store does not execute.
func (s *vmStore) begin(ctx context.Context, patience time.Duration) error {
	switch answer(s.answer.Load()) {
	case refused:
		return depot.ErrUnavailable
	case unanswered:
		sleep.For(ctx, patience)
		return depot.ErrUnavailable
	default:
		return nil
	}
}

// end returns the error of a call that the store has executed.
func (s *vmStore) end(ctx context.Context, err, whenLost error) error {
	if answer(s.answer.Load()) != lost {
		return err
	}
	sleep.For(ctx, time.Minute)
	return whenLost
}

func (s *vmStore) Range(ctx context.Context, prefix string, stale bool) (depot.Batch, error) {
	if err := s.begin(ctx, time.Minute); err != nil {
		return depot.Batch{}, err
	}
	batch, err := s.Depot.Range(ctx, prefix, stale)
	return batch, s.end(ctx, err, depot.ErrUnavailable)
}

func (s *vmStore) Watch(ctx context.Context, prefix string, after depot.Position, wait time.Duration) (depot.Batch, error) {
	patience := wait + 700*time.Millisecond
	if err := s.begin(ctx, patience); err != nil {
		return depot.Batch{}, err
	}
	batch, err := s.Depot.Watch(ctx, prefix, after, wait)
	if answer(s.answer.Load()) != served {
		// A watch that is waiting is cut.
		return depot.Batch{}, depot.ErrUnavailable
	}
	return batch, err
}

func (s *vmStore) Put(ctx context.Context, write depot.Write) (depot.Position, error) {
	if err := s.begin(ctx, time.Minute); err != nil {
		return 0, err
	}
	position, err := s.Depot.Put(ctx, write)
	return position, s.end(ctx, err, depot.ErrUnknown)
}

func (s *vmStore) Grant(ctx context.Context, length time.Duration) (depot.Lease, error) {
	if err := s.begin(ctx, time.Minute); err != nil {
		return depot.Lease{}, err
	}
	lease, err := s.Depot.Grant(ctx, length)
	return lease, s.end(ctx, err, depot.ErrUnknown)
}

func (s *vmStore) Renew(ctx context.Context, lease depot.Lease) error {
	if err := s.begin(ctx, time.Minute); err != nil {
		return err
	}
	return s.end(ctx, s.Depot.Renew(ctx, lease), depot.ErrUnavailable)
}

// tenantDecoder decodes the configuration of the tests, which is always the same.
type tenantDecoder struct{}

func (tenantDecoder) ParseKey(key string) (roster.Kind, string) {
	if key == "config" {
		return roster.KindConfig, ""
	}
	return roster.KindOther, ""
}

func (tenantDecoder) Server(string, []byte) (roster.Server, error) { return roster.Server{}, nil }

func (tenantDecoder) Config([]byte) (*routes.Config, error) {
	return &routes.Config{Version: 1, Tenants: []routes.Tenant{
		{Name: "busy", Rate: quotaRate, Burst: quotaBurst}, {Name: "calm", Rate: quotaRate, Burst: quotaBurst},
	}}, nil
}

func (tenantDecoder) Rollout(string, []byte) (roll.Order, error) { return roll.Order{}, nil }

// fleetVM is a VM of the fleet: the parts of a process that decide about quotas.
type fleetVM struct {
	id        ident.VMID
	store     *vmStore
	follower  *roster.Follower
	registrar *roster.Registrar
	detector  *beats.Detector
	service   *grant.Service
	// inUse is set once callers use the VM.
	inUse atomic.Bool
}

// fleet simulates VMs with synthetic time.
type fleet struct {
	store   *depsrv.Store
	vms     []*fleetVM
	byID    map[string]*fleetVM
	running conc.WaitGroup

	mu sync.Mutex
	// served and refused hold the times of the requests, by tenant.
	served, refused map[ident.TenantID][]time.Time
}

// runFleet runs test on a fleet of which some VMs serve, and whose callers send requests.
func runFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{store: depsrv.New(), byID: map[string]*fleetVM{}, served: map[ident.TenantID][]time.Time{}, refused: map[ident.TenantID][]time.Time{}}
		f.store.Set("config", []byte("{}"))
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			f.running.Wait()
			// Orders that are under way end.
			time.Sleep(time.Second)
		}()
		start := time.Now()
		for i := range fleetSize {
			f.add(ctx, start, ident.VMID(fmt.Sprintf("vm-%02d", i)), ident.Zone(fmt.Sprint("z", i%fleetZones)))
		}
		for _, vm := range f.vms {
			f.running.Go(func() { f.sendHeartbeats(ctx, vm) })
		}
		time.Sleep(5 * time.Second)
		for _, vm := range f.vms {
			f.running.Go(func() { f.sendRequests(ctx, vm, "busy", busyPerVM) })
			f.running.Go(func() { f.sendRequests(ctx, vm, "calm", calmPerVM) })
		}
		time.Sleep(settleTime)
		test(t, f)
	})
}

func (f *fleet) add(ctx context.Context, start time.Time, id ident.VMID, zone ident.Zone) {
	self := roster.Member{VM: id, Zone: zone, Cores: 1, BootID: uint64(len(f.vms) + 1), PeerAddress: string(id)}
	vm := &fleetVM{id: id, store: &vmStore{Depot: f.store}, detector: beats.NewDetector()}
	vm.follower = roster.NewFollower(vm.store, roster.NewState(id, tenantDecoder{}, nil), roster.FollowerOptions{})
	vm.registrar = roster.NewRegistrar(vm.store, vm.follower, self, nil)
	vm.service = grant.New(grant.Deps{
		Self: quota.Process{VM: id, Boot: self.BootID}, Views: vm.follower, Peers: vm.detector,
		OwnsShare: func() bool { return vm.registrar.Serving() && vm.registrar.OwnsShare(time.Now()) },
		Bounds:    func() quota.Bounds { return quotaBounds }, Transport: f, Metrics: metrics.NewSet(),
		Now: func() time.Duration { return time.Hour + time.Since(start) },
	})
	f.vms = append(f.vms, vm)
	f.byID[string(id)] = vm
	f.running.Go(func() { vm.follower.Run(ctx) })
	f.running.Go(func() { vm.registrar.Run(ctx) })
	f.running.Go(func() { vm.service.Run(ctx) })
}

// Exchange implements grant.Transport.
func (f *fleet) Exchange(address string, order *quota.Order, _ time.Duration) (*quota.Reply, error) {
	vm := f.byID[address]
	if vm == nil {
		return nil, errors.New("the VM is not known any more")
	}
	time.Sleep(latency)
	reply := vm.service.Handle(order)
	time.Sleep(latency)
	return reply, nil
}

// Retain implements grant.Transport.
func (f *fleet) Retain(func(string) bool) {}

// sendHeartbeats does what package beats does over the network.
func (f *fleet) sendHeartbeats(ctx context.Context, vm *fleetVM) {
	for sleep.For(ctx, beatEvery) {
		now, view := time.Now(), vm.follower.View()
		var peers []ident.VMID
		if vm.registrar.Serving() {
			for _, m := range view.Members {
				if m.VM == vm.id || !m.Serving && !view.TargetServing().Has(m.VM) {
					continue
				}
				if m.Serving {
					peers = append(peers, m.VM)
				}
				f.byID[string(m.VM)].detector.RecordHeartbeat(now, vm.id)
			}
			for _, m := range view.Lapsed {
				age, _ := vm.follower.Age(now)
				f.byID[string(m.VM)].detector.RecordHeartbeat(now, vm.id)
				f.byID[string(m.VM)].registrar.RecordMissed(now.Add(-age))
			}
		}
		vm.detector.Update(now, peers)
	}
}

// sendRequests sends the requests of a tenant to a VM from the moment on at which it serves.
func (f *fleet) sendRequests(ctx context.Context, vm *fleetVM, tenant ident.TenantID, perSecond int) {
	for sleep.For(ctx, time.Second/time.Duration(perSecond)) {
		if !vm.inUse.Load() {
			vm.inUse.Store(vm.registrar.Serving())
			continue
		}
		f.running.Go(func() {
			table := vm.follower.View().Table
			decision := vm.service.Take(table.Tenant(tenant))
			f.mu.Lock()
			defer f.mu.Unlock()
			if decision.Granted {
				f.served[tenant] = append(f.served[tenant], time.Now())
			} else {
				f.refused[tenant] = append(f.refused[tenant], time.Now())
			}
		})
	}
}

// servingVMs returns the VMs that serve, and the others.
func (f *fleet) servingVMs() (serving, standby []*fleetVM) {
	for _, vm := range f.vms {
		if vm.registrar.Serving() {
			serving = append(serving, vm)
		} else {
			standby = append(standby, vm)
		}
	}
	return serving, standby
}

// most returns the largest number of requests of a tenant that were served in a window.
func (f *fleet) most(tenant ident.TenantID) (most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := slices.SortedFunc(slices.Values(f.served[tenant]), time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > quotaBounds.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// countAfter returns how many of times come after start.
func (f *fleet) countAfter(times map[ident.TenantID][]time.Time, tenant ident.TenantID, start time.Time) (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range times[tenant] {
		if at.After(start) {
			count++
		}
	}
	return count
}

func turnAway(vms []*fleetVM, a answer) {
	for _, vm := range vms {
		vm.store.answer.Store(int32(a))
	}
}

// Guards against a quota that is granted twice: by VMs that the store turns away, and by those that
// take their place.
func TestQuotaHoldsWhileTheStoreTurnsVMsAway(t *testing.T) {
	patterns := map[string]func(f *fleet, a answer){
		"three of the serving VMs": func(f *fleet, a answer) {
			serving, _ := f.servingVMs()
			turnAway(serving[:3], a)
			time.Sleep(9 * time.Second)
		},
		"all serving VMs": func(f *fleet, a answer) {
			serving, _ := f.servingVMs()
			turnAway(serving, a)
			time.Sleep(9 * time.Second)
		},
		"most serving VMs and those that stand by": func(f *fleet, a answer) {
			serving, standby := f.servingVMs()
			turnAway(serving[1:], a)
			turnAway(standby[3:], a)
			time.Sleep(15 * time.Second)
		},
		"in turns": func(f *fleet, a answer) {
			for range 4 {
				serving, _ := f.servingVMs()
				turnAway(serving[:3], a)
				time.Sleep(6 * time.Second)
				turnAway(f.vms, served)
			}
		},
		"one after the other": func(f *fleet, a answer) {
			for _, vm := range f.vms {
				turnAway([]*fleetVM{vm}, a)
				time.Sleep(3 * time.Second)
				if i := slices.Index(f.vms, vm); i > 0 {
					turnAway(f.vms[i-1:i], served)
				}
			}
		},
		"all, then some": func(f *fleet, a answer) {
			serving, _ := f.servingVMs()
			turnAway(f.vms, a)
			time.Sleep(6 * time.Second)
			for _, vm := range f.vms {
				if !slices.Contains(serving[:4], vm) {
					turnAway([]*fleetVM{vm}, served)
				}
			}
			time.Sleep(9 * time.Second)
		},
	}
	for name, pattern := range patterns {
		for _, a := range []answer{refused, unanswered, lost} {
			t.Run(fmt.Sprint(name, ", answer ", a), func(t *testing.T) {
				runFleet(t, func(t *testing.T, f *fleet) {
					pattern(f, a)
					turnAway(f.vms, served)
					time.Sleep(10 * time.Second)
					allowed := (quotaRate*quotaBounds.Window.Seconds()+quotaBurst)*(1+quotaBounds.Overage) + quotaBounds.Slack
					require.LessOrEqual(t, float64(f.most("busy")), allowed)
					serving, _ := f.servingVMs()
					require.Len(t, serving, 6)
				})
			})
		}
	}
}

// Guards against VMs that give their shares up while the store is away for all of them, and none
// can have been replaced.
func TestQuotasAreServedInFullWhileTheStoreIsAwayForAll(t *testing.T) {
	for _, a := range []answer{refused, unanswered, lost} {
		t.Run(fmt.Sprint("answer ", a), func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *fleet) {
				const outage = 20 * time.Second
				start := time.Now()
				turnAway(f.vms, a)
				time.Sleep(outage)
				turnAway(f.vms, served)
				time.Sleep(10 * time.Second)
				require.Zero(t, f.countAfter(f.refused, "calm", start))
				require.GreaterOrEqual(t, float64(f.countAfter(f.served, "busy", start)), quotaRate*time.Since(start).Seconds())
			})
		})
	}
}
