package quota

import (
	"cmp"
	"maps"
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
	sparesMove := s.Sharers != h.situation.Sharers || !slices.Equal(s.Registered, h.situation.Registered)
	h.situation = s
	if sparesMove {
		h.placeSpares()
	}
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
// store for isolationTime may have been replaced, and be cut off from the VMs that know, unless
// most owners answer.
func (h *Holder) ownsShare() bool {
	switch {
	case !h.situation.Serving || h.situation.Sharers <= 0:
		return false
	case h.situation.ViewAge < isolationTime:
		return true
	default:
		return 2*h.heardOwners() > min(len(h.situation.Registered), maxOwners)
	}
}

// heardOwners returns the number of owners that have answered lately, this process included.
func (h *Holder) heardOwners() int {
	heard := 1
	for _, p := range h.peers {
		if p.boot != 0 && h.now-p.stampAt < heardTime {
			heard++
		}
	}
	return heard
}

// ShareState says whether this process uses its share of the quotas, and why.
type ShareState struct {
	// Used is set if the share is used or leased to owners.
	Used bool `json:"used"`
	// Owned is set if this process is one of those that own a share, and Sharers is the number
	// of shares.
	Owned   bool `json:"owned"`
	Sharers int  `json:"sharers"`
	// ViewAge is the age of the view of the fleet.
	ViewAge time.Duration `json:"viewAge"`
	// Heard is the number of owners that have answered lately, this process included, and
	// Registered that of the VMs that may be owners.
	Heard      int `json:"heard"`
	Registered int `json:"registered"`
}

// Share returns the state of the share of this process.
func (h *Holder) Share() ShareState {
	return ShareState{
		Used: h.ownsShare(), Owned: h.situation.Serving, Sharers: h.situation.Sharers,
		ViewAge: h.situation.ViewAge, Heard: h.heardOwners(), Registered: len(h.situation.Registered),
	}
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
