// Package grant exchanges the orders and replies of package quota with other VMs, and takes
// tokens of quotas for the requests of callers. It sends and runs nothing while no tenant has a
// quota.
package grant

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/samphirestair/samphirestair/internal/base/boot"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/query/quota"
)

const (
	// waitTimeout is how long a request waits for its token. It is far below all goals.
	waitTimeout = 30 * time.Millisecond
	// hurryTimeout is how long it waits for the quota owner alone.
	hurryTimeout = 12 * time.Millisecond
	// tickInterval is the time between two looks for orders that are due, and idleInterval that
	// while no tenant has a quota.
	tickInterval = 50 * time.Millisecond
	idleInterval = 250 * time.Millisecond
	// startTime is the time after the start of the process in which VMs that are about to serve
	// count as quota owners: those that start together learn only later that the others serve.
	startTime = 10 * time.Second
	// maxStateRows is the number of tenants in each part of the state dump.
	maxStateRows = 200
)

// ViewSource provides this VM's current view of the fleet.
type ViewSource interface {
	View() *roster.View
	// Age returns the time since the view was last known to be up to date. known is false if it
	// never was.
	Age(now time.Time) (age time.Duration, known bool)
}

// Peers reports which other VMs can be heard.
type Peers interface {
	// Silent reports whether a VM seems to be dead or cut off.
	Silent(vm ident.VMID) bool
}

// Transport sends an order to another VM and returns the reply.
type Transport interface {
	Exchange(address string, order *quota.Order, timeout time.Duration) (*quota.Reply, error)
	// Retain closes the connections to other addresses.
	Retain(keep func(address string) bool)
}

// Deps holds the dependencies of a Service.
type Deps struct {
	Self  quota.Process
	Views ViewSource
	Peers Peers
	// OwnsShare reports whether this VM may use its share of the quotas.
	OwnsShare func() bool
	Bounds    func() quota.Bounds
	Transport Transport
	Events    *events.Recorder
	Metrics   *metrics.Set
	// Now returns the time on a clock that includes suspension. nil stands for boot.Now.
	Now func() time.Duration
}

// Service is the part of a process that deals with quotas. It is safe for concurrent use.
type Service struct {
	deps Deps
	wake chan struct{}
	// started is when the process started.
	started time.Duration
	// table is the table for which isLimited was computed.
	table     atomic.Pointer[routes.Table]
	isLimited atomic.Bool

	mu     sync.Mutex
	owner  *quota.Owner
	holder *quota.Holder
	// usesShare is set while this process uses its share of the quotas.
	usesShare bool
}

// New returns a service for a process that has just started.
func New(deps Deps) *Service {
	if deps.Now == nil {
		deps.Now = boot.Now
	}
	s := &Service{deps: deps, wake: make(chan struct{}, 1), started: deps.Now()}
	s.owner = quota.NewOwner(s.started, deps.Self.Boot, deps.Bounds)
	s.holder = quota.NewHolder(s.started, deps.Self, s.owner)
	return s
}

// Decision says whether a request may run.
type Decision struct {
	Granted bool
	// RetryAfter is the time until the tenant may have a token, if the request is refused.
	RetryAfter time.Duration
	// Reason says why the request is refused.
	Reason string
}

// Take takes a token for a request of a tenant. It waits for at most 30 ms.
func (s *Service) Take(tenant *routes.Tenant) Decision {
	if tenant == nil || !tenant.IsLimited() {
		return Decision{Granted: true}
	}
	view := s.deps.Views.View()
	limit, isLimited := limitOf(view.Table, tenant.Name)
	if !isLimited {
		return Decision{Granted: true}
	}
	s.mu.Lock()
	if !s.holder.IsReady() {
		// The first request comes before Run has seen that there are quotas.
		s.holder.Update(s.deps.Now(), s.situation(view))
	}
	decision := s.holder.Take(s.deps.Now(), limit)
	s.mu.Unlock()
	if decision.Verdict == quota.Waiting {
		decision = s.await(decision.Waiter)
	}
	s.deps.Metrics.GetOrCreateCounter("samphirestair_quota_requests_total{result=" + strconv.Quote(decision.Verdict.String()) + "}").Inc()
	if decision.Verdict.IsGranted() {
		return Decision{Granted: true}
	}
	reason := "the tenant is over its quota"
	if decision.Verdict == quota.RefusedUnreachable {
		reason = "the quota owner is out of reach, and this VM's share of the quota is used up"
	}
	return Decision{RetryAfter: decision.RetryAfter, Reason: reason}
}

// await waits for the decision of the quota owner.
func (s *Service) await(waiter *quota.Waiter) quota.Decision {
	s.wakeUp()
	timer := time.NewTimer(hurryTimeout)
	defer timer.Stop()
	select {
	case decision := <-waiter.Done:
		return decision
	case <-timer.C:
	}
	s.mu.Lock()
	s.holder.Hurry(s.deps.Now(), waiter)
	s.mu.Unlock()
	s.wakeUp()
	timer.Reset(waitTimeout - hurryTimeout)
	select {
	case decision := <-waiter.Done:
		return decision
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.EndWait(s.deps.Now(), waiter)
}

// GiveBack returns the token of a request that was refused with nothing sent.
func (s *Service) GiveBack(tenant *routes.Tenant) {
	if tenant == nil || !tenant.IsLimited() {
		return
	}
	limit, isLimited := limitOf(s.deps.Views.View().Table, tenant.Name)
	if !isLimited {
		return
	}
	s.mu.Lock()
	s.holder.GiveBack(s.deps.Now(), limit)
	s.mu.Unlock()
	s.deps.Metrics.GetOrCreateCounter("samphirestair_quota_returned_total").Inc()
}

// limitOf returns the limit of a tenant in the configuration in force, which may be newer than the
// one with which its request was read. isLimited is false if it has none.
func limitOf(table *routes.Table, name ident.TenantID) (limit quota.Limit, isLimited bool) {
	if table == nil {
		return quota.Limit{}, false
	}
	tenant := table.Tenant(name)
	if tenant == nil || !tenant.IsLimited() {
		return quota.Limit{}, false
	}
	return quota.Limit{Tenant: name, Rate: tenant.Rate, Burst: tenant.Burst, Version: table.Config().Version}, true
}

// Handle answers the order of another VM.
func (s *Service) Handle(order *quota.Order) *quota.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner.Handle(s.deps.Now(), order)
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run sends orders until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var seen fleetState
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
		pause := idleInterval
		if view := s.deps.Views.View(); s.hasLimits(view.Table) {
			pause = tickInterval
			s.step(view, &seen)
		}
		timer.Reset(pause)
	}
}

// hasLimits reports whether a tenant of the table has a quota.
func (s *Service) hasLimits(table *routes.Table) bool {
	if table == nil {
		return false
	}
	if s.table.Swap(table) != table {
		limited := false
		for i := range table.Config().Tenants {
			limited = limited || table.Config().Tenants[i].IsLimited()
		}
		s.isLimited.Store(limited)
	}
	return s.isLimited.Load()
}

// fleetState is what Run has seen of the fleet.
type fleetState struct {
	view      *roster.View
	addresses map[ident.VMID]string
}

// step sends the orders that are due.
func (s *Service) step(view *roster.View, seen *fleetState) {
	if view != seen.view {
		seen.view, seen.addresses = view, make(map[ident.VMID]string, len(view.Members))
		known := map[string]bool{}
		for _, m := range view.Members {
			seen.addresses[m.VM] = m.PeerAddress
			known[m.PeerAddress] = true
		}
		for _, m := range view.Leaving {
			// Shares are moved from a VM that leaves with its consent.
			seen.addresses[m.VM] = m.PeerAddress
			known[m.PeerAddress] = true
		}
		s.deps.Transport.Retain(func(address string) bool { return known[address] })
	}
	situation := s.situation(view)
	s.mu.Lock()
	now := s.deps.Now()
	s.holder.Update(now, situation)
	s.recordShare()
	due := s.holder.Due(now)
	s.mu.Unlock()
	for _, out := range due {
		go s.exchange(seen.addresses[out.To], out)
	}
}

// recordShare records whether this process begins or stops to use its share of the quotas.
func (s *Service) recordShare() {
	share := s.holder.Share()
	if share.Used == s.usesShare {
		return
	}
	s.usesShare = share.Used
	reason := "this VM's share is used"
	if !share.Used {
		reason = "this VM's share is not used"
	}
	s.deps.Events.Record("quota_share", string(s.deps.Self.VM), reason, slog.Bool("owned", share.Owned), slog.Int("sharers", share.Sharers),
		slog.Duration("view_age", share.ViewAge), slog.Int("heard", share.Heard), slog.Int("registered", share.Registered))
}

// situation returns what the holder needs to know of the fleet.
func (s *Service) situation(view *roster.View) quota.Situation {
	situation := quota.Situation{
		Sharers: view.ShareCount, Serving: s.deps.OwnsShare(), Version: view.Table.Config().Version,
		Limit: func(tenant ident.TenantID) (quota.Limit, bool) { return limitOf(view.Table, tenant) },
	}
	starting := s.deps.Now()-s.started < startTime
	consider := func(vm ident.VMID, isServing, isSilent bool) {
		if !isServing && (!starting || !view.TargetServing().Has(vm)) {
			return
		}
		situation.Registered = append(situation.Registered, vm)
		if !isSilent {
			situation.Owners = append(situation.Owners, vm)
		}
	}
	consider(s.deps.Self.VM, situation.Serving, false)
	for _, m := range view.Members {
		if m.VM != s.deps.Self.VM {
			consider(m.VM, m.Serving, s.deps.Peers.Silent(m.VM))
		}
	}
	situation.ViewAge, _ = s.deps.Views.Age(time.Now())
	return situation
}

// exchange sends one order and handles its reply.
func (s *Service) exchange(address string, out quota.Outgoing) {
	reply, err := s.deps.Transport.Exchange(address, out.Order, s.holder.Timeout())
	s.mu.Lock()
	now := s.deps.Now()
	if err == nil {
		s.holder.Answered(now, out.To, out.Order, reply)
	} else {
		s.holder.Failed(now, out.To, out.Order)
	}
	s.mu.Unlock()
	result := "answered"
	if err != nil {
		result = "failed"
		s.deps.Events.Sample("quota_owner_unreached", string(out.To), "no answer to an order for tokens")
	}
	s.deps.Metrics.GetOrCreateCounter("samphirestair_quota_orders_total{result=" + strconv.Quote(result) + "}").Inc()
	// Requests may have come in meanwhile.
	s.wakeUp()
}

// State is the section of the state dump.
type State struct {
	// Share is the share of this VM.
	Share quota.ShareState `json:"share"`
	// Tenants are those in use at this VM, and Owned what this VM grants as quota owner.
	Tenants []quota.AccountState `json:"tenants"`
	Owned   quota.OwnerState     `json:"owned"`
}

// State returns the state for operators.
func (s *Service) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Now()
	return State{Share: s.holder.Share(), Tenants: s.holder.State(now, maxStateRows), Owned: s.owner.State(now, maxStateRows)}
}
