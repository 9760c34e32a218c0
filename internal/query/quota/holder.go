package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// lateTime is the time for which tokens are valid whose requests stopped waiting for them. It
	// lets callers that retry at once find them. Unlike those granted in advance, their number is
	// that of the requests, so that with holdTime they would add 2 s of the rate to a full bucket.
	lateTime = 300 * time.Millisecond
	// replyTimeout is the time after which an order has failed. It covers an owner that has used
	// up its processor time of a period of 100 ms.
	replyTimeout = 250 * time.Millisecond
	// slowTime is the time without an answer after which the deputy is asked.
	slowTime = 50 * time.Millisecond
	// isolationTime is the age of the view from which this VM may have been replaced, since its
	// registration has lapsed, and heardTime the time since its last answer for which an owner
	// counts as heard.
	isolationTime = 4 * time.Second
	heardTime     = 2 * time.Second
	// aheadTime is the time for which tokens are requested in advance at the usual demand, and
	// demandTime the time over which the demand is averaged.
	aheadTime  = 400 * time.Millisecond
	demandTime = 2 * time.Second
	// activeTime is the time after its last request for which a tenant counts as in use, so that
	// at least one token is held for it.
	activeTime = 30 * time.Second
	// renewTime is the rest of their validity at which tokens are extended, since that is looked
	// for once a second.
	renewTime = 1300 * time.Millisecond
	// maxAhead bounds the tokens requested in advance.
	maxAhead = 64
	// maxAsks is the maximum number of tenants in one order.
	maxAsks = 2048
	// maxRefusalTime bounds how long an owner's refusal is applied without asking again: other
	// processes may return tokens.
	maxRefusalTime = 50 * time.Millisecond
	// failedWait is the time after which a caller may retry if the owner did not answer.
	failedWait = 100 * time.Millisecond
	// maxWait bounds the time after which a caller may retry.
	maxWait = 5 * time.Second
)

// Verdict is the result of Take.
type Verdict uint8

// Verdicts.
const (
	// Waiting: the quota owner is asked, and the result arrives through the Waiter.
	Waiting Verdict = iota
	// Granted: a token that this process held was taken, or this process is the quota owner.
	Granted
	// GrantedOwn: a token of the share of this process was taken, since the owner is out of reach.
	GrantedOwn
	// GrantedAsked: the owner has granted a token.
	GrantedAsked
	// Refused: the request is over the quota.
	Refused
	// RefusedUnreachable: the owner is out of reach, and the share of this process is used up.
	RefusedUnreachable
	verdictCount
)

// IsGranted reports whether the request may run.
func (v Verdict) IsGranted() bool {
	return v == Granted || v == GrantedOwn || v == GrantedAsked
}

// String returns the name of the verdict in metrics.
func (v Verdict) String() string {
	return [...]string{"waiting", "granted", "own_share", "asked", "refused", "unreachable"}[v]
}

// Decision is the decision on one request.
type Decision struct {
	Verdict Verdict
	// Waiter is set if Verdict is Waiting.
	Waiter *Waiter
	// RetryAfter is the time until the tenant may have a token, if the request is refused.
	RetryAfter time.Duration
}

// Waiter is a request that waits for the answer of the quota owner.
type Waiter struct {
	// Done receives the decision. It has room for it.
	Done    chan Decision
	account *account
	// order is the number of the order that asks the owner for the token, and spare that of the
	// one that asks its deputy, or 0.
	order, spare uint64
	ended        bool
}

// Situation is what a Holder knows of the fleet.
type Situation struct {
	// Owners are the VMs that may own quotas: those that serve and are not silent.
	Owners []ident.VMID
	// Registered are the VMs that serve or are about to, also those that are silent.
	Registered []ident.VMID
	// Sharers is the number of shares into which each quota is divided, and Serving is set if
	// this process owns one of them.
	Sharers int
	Serving bool
	// Version is the version of the configuration in force, and Limit returns the limit of a
	// tenant in it, or false if there is none.
	Version ident.Version
	Limit   func(tenant ident.TenantID) (Limit, bool)
	// ViewAge is the time since the view was last known to be up to date.
	ViewAge time.Duration
}

// Holder leases the share of this process to the quota owners, and takes tokens for requests. It
// is not safe for concurrent use.
type Holder struct {
	self      Process
	owner     *Owner
	started   time.Duration
	now       time.Duration
	situation Situation
	desired   [slotCount]ident.VMID
	deputies  [slotCount]ident.VMID
	slots     [slotCount]slot
	peers     map[ident.VMID]*peer
	accounts  map[ident.TenantID]*account
	// seq is the number of the latest order.
	seq       uint64
	nextSweep time.Duration
}

// slot is where the share of this process in a slot is.
type slot struct {
	// owner is the VM that the share is leased to and that is asked for tokens.
	owner ident.VMID
	// leasedTo is the VM to which the share was leased last, or "" if that lease has ended for
	// certain, and until the time before which the share is not used elsewhere.
	leasedTo ident.VMID
	until    time.Duration
}

// peer is another VM that owns quotas.
type peer struct {
	boot  uint64
	stamp int64
	// stampAt is when the answer with stamp arrived.
	stampAt time.Duration
	// order is the order in flight, or nil, and sentAt when the latest one was sent.
	order  *Order
	sentAt time.Duration
	// failed is set from an order without an answer to the next answer.
	failed bool
	// slow is set from an order that is not answered in time to the next answer.
	slow bool
	// urgent is set if a request waits for an order that has not been sent.
	urgent bool
	// dirty holds the tenants about which the next order says something.
	dirty coll.Set[ident.TenantID]
}

// account is the state of one tenant in use.
type account struct {
	limit Limit
	slot  int
	// tokens holds the end of validity of each token held in advance, in ascending order, and late
	// that of the tokens whose requests had stopped waiting when they arrived.
	tokens   []time.Duration
	late     []time.Duration
	waiters  []*Waiter
	returned uint32
	// demand is the number of requests in the last demandTime, decayed exponentially.
	demand   float64
	demandAt time.Duration
	usedAt   time.Duration
	// refusedUntil is the time until which the owner has no token.
	refusedUntil time.Duration
	// retryAt is the time for which the last refused request was told to retry.
	retryAt time.Duration
	counts  [verdictCount]uint64
}

// NewHolder returns a holder for a process that has just started. owner grants the tokens of the
// shares that this process does not lease to others.
func NewHolder(now time.Duration, self Process, owner *Owner) *Holder {
	return &Holder{
		self: self, owner: owner, started: now, now: now,
		peers: map[ident.VMID]*peer{}, accounts: map[ident.TenantID]*account{},
	}
}

// Update tells the holder what is known of the fleet. It is called at each change, and at least
// as often as orders are sent.
func (h *Holder) Update(now time.Duration, s Situation) {
	h.advance(now)
	first := h.situation.Sharers == 0
	if s.Version != h.situation.Version && s.Limit != nil {
		h.updateLimits(s.Limit)
	}
	slices.Sort(s.Owners)
	if !slices.Equal(s.Owners, h.situation.Owners) || first {
		h.desired, _ = assign(s.Owners)
	}
	h.situation = s
	h.placeSpares()
	if first {
		// The process before this one on the same VM may have leased its share.
		for i := range h.slots {
			h.slots[i].until = h.started + leaseTime(s.Sharers)
		}
	}
	h.placeShares()
	if now >= h.nextSweep {
		h.nextSweep = now + time.Second
		h.sweep()
	}
}

// updateLimits applies the limits of another version of the configuration. Orders name all limits
// under their version, also those of tenants that have sent no request since.
func (h *Holder) updateLimits(limitOf func(tenant ident.TenantID) (Limit, bool)) {
	for tenant, a := range h.accounts {
		if limit, ok := limitOf(tenant); ok {
			a.setLimit(limit)
		}
	}
}

// placeSpares determines the deputies, and the slots of which this process may grant spare
// tokens: those of which it is owner or deputy among all registered VMs, also the silent ones.
// Which VMs are silent differs between processes and in time, so that many of them would grant
// spare tokens of the same tenant otherwise, as would those that know few others.
func (h *Holder) placeSpares() {
	spares := slotSet(0)
	if 2*len(h.situation.Registered) < h.situation.Sharers {
		h.deputies = [slotCount]ident.VMID{}
		h.owner.setSpareSlots(spares)
		return
	}
	owners, deputies := assign(h.situation.Registered)
	for i := range owners {
		if owners[i] == h.self.VM || deputies[i] == h.self.VM {
			spares |= 1 << i
		}
	}
	h.deputies = deputies
	h.owner.setSpareSlots(spares)
}

// deputy returns the VM to ask for spare tokens of a slot, or "" while the owner answers or if
// there is none.
func (h *Holder) deputy(i int) ident.VMID {
	owner, deputy := h.slots[i].owner, h.deputies[i]
	if p := h.peers[owner]; p == nil || !p.slow || deputy == h.self.VM || deputy == owner {
		return ""
	}
	return deputy
}

// IsReady reports whether Update was called.
func (h *Holder) IsReady() bool {
	return h.situation.Sharers > 0
}

func (h *Holder) advance(now time.Duration) {
	h.now = max(h.now, now)
}

// placeShares changes the owner of slots whose share is free, and leases to this process what is
// leased to no other.
func (h *Holder) placeShares() {
	own := slotSet(0)
	for i := range h.slots {
		s := &h.slots[i]
		free := h.now >= s.until
		if s.owner != h.desired[i] && (free || s.owner == "") {
			h.moveSlot(i)
		}
		if free && h.ownsShare() {
			own |= 1 << i
		}
	}
	share := 0.0
	if own != 0 {
		share = 1 / float64(h.situation.Sharers)
	}
	h.owner.LeaseOwn(h.now, h.self, own, share)
}

// moveSlot makes the desired owner that of a slot. Requests that wait for the former one ask the
// new one.
func (h *Holder) moveSlot(i int) {
	former := h.peers[h.slots[i].owner]
	h.slots[i].owner = h.desired[i]
	if former == nil {
		return
	}
	for tenant := range former.dirty {
		if slotOf(tenant) == i {
			former.dirty.Remove(tenant)
			if a := h.accounts[tenant]; a != nil {
				h.markDirty(a)
			}
		}
	}
}

// ownsShare reports whether this process may use its share. One that has heard nothing of the
// store for isolationTime may have been replaced, unless most owners answer: then the store is
// down, or few can have been replaced.
func (h *Holder) ownsShare() bool {
	if !h.situation.Serving || h.situation.Sharers <= 0 {
		return false
	}
	if h.situation.ViewAge < isolationTime {
		return true
	}
	heard := 1
	for _, p := range h.peers {
		if p.boot != 0 && h.now-p.stampAt < heardTime {
			heard++
		}
	}
	return 2*heard > min(len(h.situation.Registered), maxOwners)
}

// Take takes a token for a request of a tenant. If the decision is Waiting, EndWait must be called.
func (h *Holder) Take(now time.Duration, limit Limit) Decision {
	h.advance(now)
	a := h.account(limit)
	a.use(h.now)
	owner := h.slots[a.slot].owner
	if a.takeHeld(h.now) {
		h.markDirty(a)
		return a.count(Decision{Verdict: Granted})
	}
	if owner == h.self.VM {
		wait, ok := h.owner.Take(h.now, limit, true)
		if ok {
			return a.count(Decision{Verdict: Granted})
		}
		return a.refuse(h.now, Refused, wait)
	}
	if h.now < a.refusedUntil {
		return a.refuse(h.now, Refused, a.refusedUntil-h.now)
	}
	if p := h.peers[owner]; (owner == "" || p != nil && p.slow) && h.takeOwn(a, true) {
		return a.count(Decision{Verdict: GrantedOwn})
	}
	if owner == "" {
		return a.refuse(h.now, RefusedUnreachable, max(failedWait, h.slots[a.slot].until-h.now))
	}
	w := &Waiter{Done: make(chan Decision, 1), account: a}
	a.waiters = append(a.waiters, w)
	h.markDirty(a)
	return Decision{Verdict: Waiting, Waiter: w}
}

// Hurry makes a request that has no answer of the owner yet ask its deputy, too.
func (h *Holder) Hurry(now time.Duration, w *Waiter) {
	h.advance(now)
	if p := h.peers[h.slots[w.account.slot].owner]; !w.ended && p != nil {
		p.slow = true
		h.markDirty(w.account)
	}
}

// EndWait ends the wait of a request that got no decision in time, and decides without the owner.
func (h *Holder) EndWait(now time.Duration, w *Waiter) Decision {
	h.advance(now)
	a := w.account
	if w.ended {
		return <-w.Done
	}
	w.ended = true
	a.waiters = slices.DeleteFunc(a.waiters, func(other *Waiter) bool { return other == w })
	if h.takeOwn(a, true) {
		return a.count(Decision{Verdict: GrantedOwn})
	}
	return a.refuse(h.now, RefusedUnreachable, failedWait)
}

// takeOwn takes a token of the share of this process, if no other one has it, or a spare one if
// the owner doesn't answer.
func (h *Holder) takeOwn(a *account, withSpare bool) bool {
	if !h.owner.mayGrant(a.slot) {
		return false
	}
	_, ok := h.owner.Take(h.now, a.limit, withSpare)
	return ok
}

// GiveBack returns the token of a request that was refused with nothing sent.
func (h *Holder) GiveBack(now time.Duration, limit Limit) {
	h.advance(now)
	a := h.account(limit)
	if h.slots[a.slot].owner == h.self.VM {
		h.owner.GiveBack(h.now, limit, 1)
		return
	}
	a.returned++
	h.markDirty(a)
}

// setLimit replaces the limit unless it is from an older version.
func (a *account) setLimit(limit Limit) {
	if limit.Version > a.limit.Version && (limit.Rate < a.limit.Rate || limit.Burst < a.limit.Burst) {
		// A lower limit applies to the tokens held, too.
		a.returned += uint32(len(a.tokens) + len(a.late))
		a.tokens, a.late = nil, nil
	}
	if limit.Version >= a.limit.Version {
		a.limit = limit
	}
}

// account returns the account of a tenant, with the newest limit.
func (h *Holder) account(limit Limit) *account {
	a := h.accounts[limit.Tenant]
	if a == nil {
		a = &account{slot: slotOf(limit.Tenant)}
		h.accounts[limit.Tenant] = a
	}
	a.setLimit(limit)
	return a
}

// peer returns the state of an owner.
func (h *Holder) peer(vm ident.VMID) *peer {
	p := h.peers[vm]
	if p == nil {
		p = &peer{dirty: coll.NewSet[ident.TenantID]()}
		h.peers[vm] = p
	}
	return p
}

// markDirty makes the next order to the owner of a tenant name the tenant.
func (h *Holder) markDirty(a *account) {
	owner := h.slots[a.slot].owner
	if owner == "" || owner == h.self.VM {
		return
	}
	p := h.peer(owner)
	p.dirty.Add(a.limit.Tenant)
	deputy := h.deputy(a.slot)
	for _, w := range a.waiters {
		p.urgent = p.urgent || w.order == 0
		if deputy != "" && w.spare == 0 {
			h.peer(deputy).dirty.Add(a.limit.Tenant)
			h.peer(deputy).urgent = true
		}
	}
}

// Outgoing is an order to be sent.
type Outgoing struct {
	To    ident.VMID
	Order *Order
}

// Due returns the orders that are to be sent now. Each one has to end with a call of Answered or
// Failed.
func (h *Holder) Due(now time.Duration) []Outgoing {
	h.advance(now)
	h.placeShares()
	var due []Outgoing
	for _, vm := range coll.Sorted(h.dueOwners()) {
		due = append(due, Outgoing{To: vm, Order: h.newOrder(vm)})
	}
	return due
}

// dueOwners returns the owners that are to get an order.
func (h *Holder) dueOwners() coll.Set[ident.VMID] {
	due := coll.NewSet[ident.VMID]()
	every := interval(h.situation.Sharers)
	consider := func(vm ident.VMID, regular bool) {
		if vm == "" || vm == h.self.VM || due.Has(vm) {
			return
		}
		p := h.peer(vm)
		elapsed := h.now - p.sentAt
		if p.order != nil {
			p.slow = p.slow || elapsed >= slowTime
			return
		}
		if p.urgent && (!p.failed || elapsed >= minInterval) || (regular || len(p.dirty) > 0) && (elapsed >= every || p.sentAt == 0) {
			due.Add(vm)
		}
	}
	for i := range h.slots {
		consider(h.slots[i].owner, h.situation.Serving)
		consider(h.desired[i], h.situation.Serving)
		// A VM that no longer serves gives its share up.
		consider(h.slots[i].leasedTo, h.now < h.slots[i].until)
	}
	for vm := range h.peers {
		consider(vm, false)
	}
	return due
}

// newOrder returns the next order to an owner.
func (h *Holder) newOrder(vm ident.VMID) *Order {
	p := h.peer(vm)
	h.seq++
	order := &Order{
		VM: string(h.self.VM), Boot: h.self.Boot, Seq: h.seq, OwnerBoot: p.boot, Stamp: p.stamp,
	}
	if slots := h.leasable(vm, p); slots != 0 {
		lease := leaseTime(h.situation.Sharers)
		order.LeaseMicros, order.Sharers, order.Slots = lease.Microseconds(), uint32(h.situation.Sharers), uint64(slots)
		for i := range slots.each {
			h.slots[i].until, h.slots[i].leasedTo = max(h.slots[i].until, p.stampAt+lease), vm
		}
		h.placeShares()
	}
	order.Asks = h.asks(vm, p)
	p.order, p.sentAt, p.urgent = order, h.now, false
	return order
}

// leasable returns the slots to lease to an owner: those of which it is the owner, if a lease
// that begins at its latest stamp has not ended.
func (h *Holder) leasable(vm ident.VMID, p *peer) slotSet {
	if p.boot == 0 || h.now >= p.stampAt+leaseTime(h.situation.Sharers) || !h.ownsShare() {
		return 0
	}
	slots := slotSet(0)
	for i := range h.slots {
		s := &h.slots[i]
		if s.owner == vm && h.desired[i] == vm && (s.leasedTo == vm || h.now >= s.until) {
			slots |= 1 << i
		}
	}
	return slots
}

// asks returns what an order says of tenants.
func (h *Holder) asks(vm ident.VMID, p *peer) []Ask {
	var asks []Ask
	for tenant := range p.dirty {
		if len(asks) >= maxAsks {
			break
		}
		p.dirty.Remove(tenant)
		a := h.accounts[tenant]
		if a == nil {
			continue
		}
		if h.slots[a.slot].owner != vm {
			if ask := h.askDeputy(a); ask.Need > 0 {
				asks = append(asks, ask)
			}
			continue
		}
		a.expire(h.now)
		ask := Ask{Tenant: string(tenant), Held: uint32(len(a.tokens)), Returned: a.returned, Rate: a.limit.Rate, Burst: a.limit.Burst, Version: uint64(a.limit.Version)}
		a.returned = 0
		for _, w := range a.waiters {
			if w.order == 0 {
				w.order = h.seq
				ask.Need++
			}
		}
		if wanted := a.wanted(h.now); wanted > ask.Held {
			ask.Ahead = wanted - ask.Held
		}
		asks = append(asks, ask)
	}
	return asks
}

// askDeputy asks for spare tokens for the requests that wait.
func (h *Holder) askDeputy(a *account) Ask {
	ask := Ask{Tenant: string(a.limit.Tenant), Rate: a.limit.Rate, Burst: a.limit.Burst, Version: uint64(a.limit.Version)}
	for _, w := range a.waiters {
		if w.spare == 0 {
			w.spare = h.seq
			ask.Need++
		}
	}
	return ask
}

// Answered handles the answer to the order in flight to an owner. Later answers are ignored.
func (h *Holder) Answered(now time.Duration, vm ident.VMID, order *Order, reply *Reply) {
	h.advance(now)
	p := h.peers[vm]
	if p == nil || p.order != order {
		return
	}
	if len(reply.Grants) != len(order.Asks) {
		h.Failed(now, vm, order)
		return
	}
	sentAt := p.sentAt
	p.order, p.failed, p.slow = nil, false, false
	// The first stamp of an owner makes it possible to lease shares to it.
	p.urgent = p.urgent || p.boot != reply.Boot && h.situation.Serving
	p.boot, p.stamp, p.stampAt = reply.Boot, reply.Stamp, h.now
	h.release(vm, order)
	for i, grant := range reply.Grants {
		if a := h.accounts[ident.TenantID(order.Asks[i].Tenant)]; a != nil {
			if order.Asks[i].Held > 0 {
				a.extend(sentAt + holdTime)
			}
			h.receive(a, sentAt, order, i, grant)
		}
	}
}

// release frees the shares that an answered order did not lease: the owner ignores older orders
// from then on.
func (h *Holder) release(vm ident.VMID, order *Order) {
	for i := range h.slots {
		if s := &h.slots[i]; s.leasedTo == vm && !slotSet(order.Slots).has(i) {
			s.until, s.leasedTo = min(s.until, h.now), ""
		}
	}
	h.placeShares()
}

// Failed handles an order that was not answered.
func (h *Holder) Failed(now time.Duration, vm ident.VMID, order *Order) {
	h.advance(now)
	p := h.peers[vm]
	if p == nil || p.order != order {
		return
	}
	p.order, p.failed, p.slow = nil, true, true
	for _, ask := range order.Asks {
		a := h.accounts[ident.TenantID(ask.Tenant)]
		if a == nil {
			continue
		}
		for _, w := range a.waiters {
			if w.order == order.Seq {
				w.order = 0
				h.markDirty(a)
			}
		}
	}
}

// Timeout is the time after which an order has failed.
func (h *Holder) Timeout() time.Duration {
	return replyTimeout
}

// sweep forgets tenants that are not in use and VMs that own nothing, and asks for tokens in
// advance.
func (h *Holder) sweep() {
	for tenant, a := range h.accounts {
		wanted := a.wanted(h.now)
		expiring := wanted > 0 && len(a.tokens) > 0 && a.tokens[0] <= h.now+renewTime
		a.expire(h.now)
		if a.returned > 0 || wanted > uint32(len(a.tokens)) || expiring {
			h.markDirty(a)
		}
		if a.returned > 0 && h.slots[a.slot].owner == h.self.VM {
			h.owner.GiveBack(h.now, a.limit, a.returned)
			a.returned = 0
		}
		if a.isIdle() && h.now-a.usedAt > time.Minute {
			delete(h.accounts, tenant)
		}
	}
	owners := coll.NewSet[ident.VMID]()
	for i := range h.slots {
		owners.Add(h.slots[i].owner)
		owners.Add(h.desired[i])
		owners.Add(h.deputies[i])
	}
	maps.DeleteFunc(h.peers, func(vm ident.VMID, p *peer) bool { return !owners.Has(vm) && p.order == nil })
}

// isIdle reports whether the account holds nothing and no request waits.
func (a *account) isIdle() bool {
	return len(a.waiters) == 0 && len(a.tokens) == 0 && len(a.late) == 0 && a.returned == 0
}

// use records a request of the tenant.
func (a *account) use(now time.Duration) {
	a.demand = a.demandNow(now) + 1
	a.demandAt, a.usedAt = now, now
}

func (a *account) demandNow(now time.Duration) float64 {
	return a.demand * math.Exp(-(now-a.demandAt).Seconds()/demandTime.Seconds())
}

// wanted returns the number of tokens that this process should hold.
func (a *account) wanted(now time.Duration) uint32 {
	if a.usedAt == 0 || now-a.usedAt > activeTime {
		return 0
	}
	return 1 + uint32(min(a.demandNow(now)*aheadTime.Seconds()/demandTime.Seconds(), maxAhead))
}

// takeHeld takes a token that is held.
func (a *account) takeHeld(now time.Duration) bool {
	a.expire(now)
	switch {
	case len(a.late) > 0:
		a.late = a.late[1:]
	case len(a.tokens) > 0:
		a.tokens = a.tokens[1:]
	default:
		return false
	}
	return true
}

// expire returns the tokens whose validity has ended to the owner.
func (a *account) expire(now time.Duration) {
	for len(a.tokens) > 0 && a.tokens[0] <= now {
		a.tokens = a.tokens[1:]
		a.returned++
	}
	for len(a.late) > 0 && a.late[0] <= now {
		a.late = a.late[1:]
		a.returned++
	}
}

// extend extends the validity of the tokens held: the owner has been told of them.
func (a *account) extend(until time.Duration) {
	for i := range a.tokens {
		a.tokens[i] = max(a.tokens[i], until)
	}
}

// receive distributes the tokens granted for an ask of an order that was sent at sentAt: first to
// the requests that wait, in order.
func (h *Holder) receive(a *account, sentAt time.Duration, order *Order, ask int, grant Grant) {
	left := grant.Count
	rest := a.waiters[:0]
	for _, w := range a.waiters {
		switch {
		case left > 0:
			left--
			w.end(a.count(Decision{Verdict: GrantedAsked}))
		case w.order == order.Seq && h.takeOwn(a, false):
			w.end(a.count(Decision{Verdict: GrantedOwn}))
		case w.order == order.Seq:
			wait := time.Duration(grant.WaitMicros) * time.Microsecond
			a.refusedUntil = h.now + min(wait, maxRefusalTime)
			w.end(a.refuse(h.now, Refused, wait))
		default:
			rest = append(rest, w)
		}
	}
	clear(a.waiters[len(rest):])
	a.waiters = rest
	ahead := grant.Count - min(order.Asks[ask].Need, grant.Count)
	for i := range left {
		if i >= ahead {
			a.late = append(a.late, sentAt+lateTime)
			continue
		}
		a.tokens = append(a.tokens, sentAt+holdTime)
	}
	slices.Sort(a.tokens)
	slices.Sort(a.late)
}

func (w *Waiter) end(d Decision) {
	w.ended = true
	w.Done <- d
}

// refuse returns a refusal. Each caller is told another time, so that those that retry find the
// tokens of that time.
func (a *account) refuse(now time.Duration, verdict Verdict, wait time.Duration) Decision {
	spacing := time.Duration(float64(time.Second) / max(a.limit.Rate, 0.01))
	a.retryAt = max(a.retryAt+spacing, now+wait)
	a.retryAt = min(a.retryAt, now+max(maxWait, wait))
	return a.count(Decision{Verdict: verdict, RetryAfter: max(a.retryAt-now, time.Millisecond)})
}

func (a *account) count(d Decision) Decision {
	a.counts[d.Verdict]++
	return d
}

// AccountState is the state of one tenant in use at this process.
type AccountState struct {
	Tenant ident.TenantID `json:"tenant"`
	Rate   float64        `json:"rate"`
	Burst  float64        `json:"burst"`
	// Owner is the VM that grants the tokens of the tenant.
	Owner ident.VMID `json:"owner"`
	// Demand is the number of requests per second at this VM, and Held the number of tokens that
	// it holds.
	Demand float64 `json:"demand"`
	Held   int     `json:"held"`
	// Results counts the requests by result.
	Results map[string]uint64 `json:"results"`
}

// State returns the tenants with the most requests, at most limit of them.
func (h *Holder) State(now time.Duration, limit int) []AccountState {
	h.advance(now)
	var states []AccountState
	for tenant, a := range h.accounts {
		results := map[string]uint64{}
		for verdict, count := range a.counts {
			if count > 0 {
				results[Verdict(verdict).String()] = count
			}
		}
		states = append(states, AccountState{
			Tenant: tenant, Rate: a.limit.Rate, Burst: a.limit.Burst, Owner: h.slots[a.slot].owner,
			Demand: a.demandNow(h.now) / demandTime.Seconds(), Held: len(a.tokens), Results: results,
		})
	}
	slices.SortFunc(states, func(a, b AccountState) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Tenant, b.Tenant))
	})
	return states[:min(len(states), limit)]
}
