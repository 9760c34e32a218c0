package quota

import (
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

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
