package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// forever is the end of the lease of a process to itself.
	forever = time.Duration(math.MaxInt64)
	// forgetAfter is the time after the end of its lease for which a process is remembered, so
	// that its older messages are told from new ones.
	forgetAfter = time.Minute
	// unknownWait is the time to wait for a token where no share was leased.
	unknownWait = 200 * time.Millisecond
	// sweepInterval is the time between two removals of what is no longer used.
	sweepInterval = 5 * time.Second
)

// Owner grants tokens of the quotas whose shares were leased to this process. It is not safe for
// concurrent use.
type Owner struct {
	boot   uint64
	bounds func() Bounds
	// spareSlots are the slots of which this process may grant spare tokens.
	spareSlots slotSet
	// now is the latest time.
	now    time.Duration
	leases map[Process]*lease
	// shares holds the sum of the shares leased of each slot, at most 1.
	shares  [slotCount]float64
	buckets [slotCount]map[ident.TenantID]*bucket
	// nextEnd is when the next lease ends.
	nextEnd   time.Duration
	nextSweep time.Duration
}

// lease is what a process has leased.
type lease struct {
	seq   uint64
	share float64
	slots slotSet
	// since is when each slot was leased first, without a gap.
	since [slotCount]time.Duration
	until time.Duration
}

// bucket is the token bucket of a tenant.
type bucket struct {
	limit  Limit
	tokens float64
	// at is the time up to which the bucket was refilled.
	at time.Duration
	// spare is the number of tokens left that need no share.
	spare float64
	// holds are the tokens that processes hold in advance.
	holds map[Process]hold
	// granted and refused count tokens since the bucket was created.
	granted, refused uint64
}

// hold is the number of tokens that a process holds.
type hold struct {
	count uint32
	until time.Duration
}

// NewOwner returns an owner without leases. boot identifies its process.
func NewOwner(now time.Duration, boot uint64, bounds func() Bounds) *Owner {
	return &Owner{boot: boot, bounds: bounds, now: now, leases: map[Process]*lease{}, nextEnd: forever}
}

// Handle handles the order of another process.
func (o *Owner) Handle(now time.Duration, order *Order) *Reply {
	o.advance(now)
	reply := &Reply{Boot: o.boot, Stamp: int64(o.now)}
	process := Process{ident.VMID(order.VM), order.Boot}
	known := o.leases[process]
	if known != nil && order.Seq <= known.seq {
		return reply
	}
	if known == nil {
		known = &lease{until: o.now}
		o.leases[process] = known
	}
	known.seq = order.Seq
	o.applyLease(known, order)
	for _, ask := range order.Asks {
		if order.OwnerBoot != o.boot {
			// The order may be an old one for an earlier process of this VM.
			ask.Returned = 0
		}
		reply.Grants = append(reply.Grants, o.answer(process, ask))
	}
	return reply
}

// applyLease replaces the lease of a process by that in its order. The lease ends a fixed time
// after the answer whose stamp the order repeats, so that a delayed order never extends it.
func (o *Owner) applyLease(l *lease, order *Order) {
	until := time.Duration(order.Stamp) + time.Duration(order.LeaseMicros)*time.Microsecond
	slots, share := slotSet(order.Slots), 0.0
	if order.OwnerBoot != o.boot || until <= o.now || order.Sharers == 0 || time.Duration(order.Stamp) > o.now {
		slots = 0
	} else {
		share = 1 / float64(order.Sharers)
	}
	if slots != 0 {
		l.until = until
	}
	o.setLease(l, slots, share)
}

// setSpareSlots sets the slots of which this process may grant spare tokens.
func (o *Owner) setSpareSlots(slots slotSet) {
	o.spareSlots = slots
}

// mayGrant reports whether this process may have a token of a slot.
func (o *Owner) mayGrant(slot int) bool {
	return o.shares[slot] > 0 || o.spareSlots.has(slot)
}

// LeaseOwn replaces what this process leases to itself.
func (o *Owner) LeaseOwn(now time.Duration, process Process, slots slotSet, share float64) {
	o.advance(now)
	own := o.leases[process]
	if own == nil {
		own = &lease{}
		o.leases[process] = own
	}
	own.until = forever
	o.setLease(own, slots, share)
}

// setLease replaces the slots and the share of a lease at the time o.now.
func (o *Owner) setLease(l *lease, slots slotSet, share float64) {
	bounds := o.bounds()
	added, changed := slots&^l.slots, slots^l.slots
	if share != l.share {
		changed |= slots | l.slots
	}
	for slot := range changed.each {
		for _, b := range o.buckets[slot] {
			b.refill(bounds, o.now, o.shares[slot])
			if added.has(slot) {
				b.tokens += bounds.start(share)
			}
		}
	}
	for slot := range added.each {
		l.since[slot] = o.now
	}
	l.slots, l.share = slots, share
	if changed != 0 {
		o.sumShares(changed)
	}
	o.updateNextEnd()
}

// sumShares computes the shares of slots anew, and takes the tokens from buckets that exceed
// their capacity.
func (o *Owner) sumShares(slots slotSet) {
	bounds := o.bounds()
	for slot := range slots.each {
		sum := 0.0
		for _, l := range o.leases {
			if l.slots.has(slot) {
				sum += l.share
			}
		}
		o.shares[slot] = min(sum, 1)
		for _, b := range o.buckets[slot] {
			b.tokens = min(b.tokens, bounds.capacity(b.limit, o.shares[slot]))
		}
	}
}

func (o *Owner) updateNextEnd() {
	o.nextEnd = forever
	for _, l := range o.leases {
		if l.slots != 0 {
			o.nextEnd = min(o.nextEnd, l.until)
		}
	}
}

// advance ends the leases whose time is over, in the order of their ends.
func (o *Owner) advance(now time.Duration) {
	now = max(now, o.now)
	for o.nextEnd <= now {
		o.now = max(o.nextEnd, o.now)
		for _, l := range o.leases {
			if l.slots != 0 && l.until <= o.now {
				o.setLease(l, 0, 0)
			}
		}
		o.updateNextEnd()
	}
	o.now = now
	if now >= o.nextSweep {
		o.nextSweep = now + sweepInterval
		o.sweep()
	}
}

// sweep forgets processes whose leases ended long ago, and buckets that are full: a new bucket
// has the same content.
func (o *Owner) sweep() {
	maps.DeleteFunc(o.leases, func(_ Process, l *lease) bool { return l.slots == 0 && o.now-l.until > forgetAfter })
	bounds := o.bounds()
	for slot := range o.buckets {
		maps.DeleteFunc(o.buckets[slot], func(_ ident.TenantID, b *bucket) bool {
			b.refill(bounds, o.now, o.shares[slot])
			return b.held(o.now) == 0 && b.spare >= bounds.spare(b.limit) && b.tokens >= bounds.capacity(b.limit, o.shares[slot])
		})
	}
}

// bucket returns the bucket of a tenant, refilled up to now and with the newest limit.
func (o *Owner) bucket(limit Limit) *bucket {
	slot, bounds := slotOf(limit.Tenant), o.bounds()
	b := o.buckets[slot][limit.Tenant]
	if b == nil {
		if o.buckets[slot] == nil {
			o.buckets[slot] = map[ident.TenantID]*bucket{}
		}
		b = &bucket{limit: limit, tokens: o.unused(limit), at: o.now, spare: bounds.spare(limit)}
		o.buckets[slot][limit.Tenant] = b
		return b
	}
	b.refill(bounds, o.now, o.shares[slot])
	if limit.Version > b.limit.Version {
		b.limit = limit
		b.tokens = min(b.tokens, bounds.capacity(limit, o.shares[slot]))
	}
	return b
}

// unused returns the content of the bucket of a tenant that has not been used since its shares
// were leased to this owner.
func (o *Owner) unused(limit Limit) float64 {
	slot, bounds := slotOf(limit.Tenant), o.bounds()
	share := o.shares[slot]
	if share == 0 {
		return 0
	}
	capacity, sum := bounds.capacity(limit, share), 0.0
	for _, l := range o.leases {
		if l.slots.has(slot) {
			filled := bounds.start(l.share) + bounds.rate(limit, l.share)*(o.now-l.since[slot]).Seconds()
			sum += min(filled, capacity*l.share/share)
		}
	}
	return min(sum, capacity)
}

// refill adds the tokens for the time since the last call.
func (b *bucket) refill(bounds Bounds, now time.Duration, share float64) {
	b.tokens += bounds.rate(b.limit, share) * max(now-b.at, 0).Seconds()
	b.tokens = min(b.tokens, bounds.capacity(b.limit, share))
	spare := bounds.spare(b.limit)
	b.spare = min(b.spare+spareRefill*spare*max(now-b.at, 0).Seconds()/bounds.Window.Seconds(), spare)
	b.at = max(now, b.at)
}

// held returns the number of tokens that processes hold, and forgets those that are not valid
// any more.
func (b *bucket) held(now time.Duration) uint32 {
	sum := uint32(0)
	for process, h := range b.holds {
		if h.until <= now {
			delete(b.holds, process)
			continue
		}
		sum += h.count
	}
	return sum
}

// answer grants tokens to a process.
func (o *Owner) answer(process Process, ask Ask) Grant {
	limit := Limit{Tenant: ident.TenantID(ask.Tenant), Rate: ask.Rate, Burst: ask.Burst, Version: ident.Version(ask.Version)}
	if !limit.isValid() {
		return Grant{WaitMicros: unknownWait.Microseconds()}
	}
	b, bounds, share := o.bucket(limit), o.bounds(), o.shares[slotOf(limit.Tenant)]
	capacity := bounds.capacity(b.limit, share)
	b.tokens = min(b.tokens+float64(ask.Returned), capacity)
	granted := b.take(ask.Need)
	granted += o.takeSpare(b, ask.Need-granted)
	delete(b.holds, process)
	held := ask.Held
	if granted == ask.Need {
		// Tokens are given in advance from the upper half only, so that those that wait
		// elsewhere find some.
		room := min(b.tokens-capacity/2, bounds.holdable(b.limit, share)-float64(b.held(o.now)+ask.Held))
		ahead := b.take(uint32(min(float64(ask.Ahead), max(room, 0))))
		granted, held = granted+ahead, held+ahead
	} else {
		b.refused += uint64(ask.Need - granted)
	}
	if held > 0 {
		if b.holds == nil {
			b.holds = map[Process]hold{}
		}
		b.holds[process] = hold{held, o.now + holdTime}
	}
	b.granted += uint64(granted)
	return Grant{Count: granted, WaitMicros: b.wait(bounds, share).Microseconds()}
}

// isValid reports whether a limit from a message can be used.
func (l Limit) isValid() bool {
	return l.Rate > 0 && !math.IsInf(l.Rate, 0) && l.Burst >= 0 && !math.IsInf(l.Burst, 0)
}

// takeSpare takes up to count spare tokens, if few shares are leased to this owner.
func (o *Owner) takeSpare(b *bucket, count uint32) uint32 {
	slot := slotOf(b.limit.Tenant)
	if !o.spareSlots.has(slot) || o.shares[slot] >= maxSpareShare {
		return 0
	}
	taken := min(count, uint32(b.spare))
	b.spare -= float64(taken)
	return taken
}

// take takes up to count whole tokens.
func (b *bucket) take(count uint32) uint32 {
	// The tolerance makes up for rounding, which would otherwise delay each token.
	const tolerance = 1e-9
	taken := uint32(min(float64(count), max(b.tokens+tolerance, 0)))
	b.tokens = max(b.tokens-float64(taken), 0)
	return taken
}

// wait returns the time until the bucket has a token.
func (b *bucket) wait(bounds Bounds, share float64) time.Duration {
	missing := 1 - b.tokens
	if missing <= 0 {
		return 0
	}
	rate := bounds.rate(b.limit, share)
	if rate <= 0 || bounds.capacity(b.limit, share) < 1 {
		return unknownWait
	}
	return time.Duration(min(missing/rate, bounds.Window.Seconds()) * float64(time.Second))
}

// Take takes a token for a request of this process, also a spare one if withSpare is set. If there
// is none, it returns the time until there may be one.
func (o *Owner) Take(now time.Duration, limit Limit, withSpare bool) (wait time.Duration, ok bool) {
	o.advance(now)
	b := o.bucket(limit)
	if b.take(1) == 1 || withSpare && o.takeSpare(b, 1) == 1 {
		b.granted++
		return 0, true
	}
	b.refused++
	return b.wait(o.bounds(), o.shares[slotOf(limit.Tenant)]), false
}

// GiveBack returns tokens that this process has not used.
func (o *Owner) GiveBack(now time.Duration, limit Limit, count uint32) {
	o.advance(now)
	b := o.bucket(limit)
	b.tokens = min(b.tokens+float64(count), o.bounds().capacity(b.limit, o.shares[slotOf(limit.Tenant)]))
}

// BucketState is the state of one tenant at its quota owner.
type BucketState struct {
	Tenant   ident.TenantID `json:"tenant"`
	Rate     float64        `json:"rate"`
	Burst    float64        `json:"burst"`
	Share    float64        `json:"share"`
	Tokens   float64        `json:"tokens"`
	Capacity float64        `json:"capacity"`
	Held     uint32         `json:"held"`
	Granted  uint64         `json:"granted"`
	Refused  uint64         `json:"refused"`
}

// LeaseState is what one process has leased to this owner.
type LeaseState struct {
	VM    ident.VMID `json:"vm"`
	Share float64    `json:"share"`
	Slots int        `json:"slots"`
}

// OwnerState is the state of an owner.
type OwnerState struct {
	Leases  []LeaseState  `json:"leases"`
	Buckets []BucketState `json:"buckets"`
}

// State returns the state with the busiest tenants, at most limit of them.
func (o *Owner) State(now time.Duration, limit int) OwnerState {
	o.advance(now)
	state, bounds := OwnerState{}, o.bounds()
	for process, l := range o.leases {
		if l.slots != 0 {
			state.Leases = append(state.Leases, LeaseState{VM: process.VM, Share: l.share, Slots: l.slots.count()})
		}
	}
	for slot, buckets := range o.buckets {
		for tenant, b := range buckets {
			b.refill(bounds, o.now, o.shares[slot])
			state.Buckets = append(state.Buckets, BucketState{
				Tenant: tenant, Rate: b.limit.Rate, Burst: b.limit.Burst, Share: o.shares[slot], Tokens: b.tokens,
				Capacity: bounds.capacity(b.limit, o.shares[slot]), Held: b.held(o.now), Granted: b.granted, Refused: b.refused,
			})
		}
	}
	slices.SortFunc(state.Leases, func(a, b LeaseState) int { return cmp.Compare(a.VM, b.VM) })
	slices.SortFunc(state.Buckets, func(a, b BucketState) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Granted, a.Granted), cmp.Compare(a.Tenant, b.Tenant))
	})
	state.Buckets = state.Buckets[:min(len(state.Buckets), limit)]
	return state
}
