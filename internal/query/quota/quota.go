// Package quota bounds the requests of a tenant over all VMs. Each process that serves owns an
// equal share of the quota of every tenant, and leases it to the quota owner of the tenant, which
// grants tokens for requests. Holder is the part of a process that leases shares and takes
// tokens; Owner grants them. docs/design/quotas.md explains the protocol and its bound.
//
// The code has no clock: it gets the time since the boot of the machine, including suspension,
// which is compared only with times of the same machine.
package quota

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// slotCount is the number of groups into which tenants are divided by their names. All
	// shares of a slot are leased together, so that a lease is one bit.
	slotCount = 64
	// maxOwners is the number of VMs among which the slots are divided. It bounds the messages
	// of each process when many VMs serve.
	maxOwners = 16

	// minInterval is the time between two messages to an owner. Above fullRateSharers sharers it
	// grows in proportion, up to maxInterval, so that what an owner receives stays bounded.
	minInterval     = 200 * time.Millisecond
	maxInterval     = time.Second
	fullRateSharers = 24
	// leaseIntervals is the duration of a lease in intervals: one answer may be lost.
	leaseIntervals = 3

	// holdTime is the time for which granted tokens are valid that no request has used, from the
	// last order that told the owner of them. It covers the time in which a dead owner is noticed
	// (0.9 s) and replaced (0.6 s).
	holdTime = 2 * time.Second
)

// The parts of the slack, which sum up to less than 1 with a few changes of owner in each
// window. docs/design/quotas.md has the arithmetic.
const (
	// refillSlack is the part that is added to the rate.
	refillSlack = 0.2
	// burstSlack is the part that is added to the burst, and aloneSlack the part that is added
	// instead where an owner has so few shares that it could never grant a whole token.
	burstSlack = 0.2
	aloneSlack = 0.6
	// holdSlack is the part that processes may hold in advance, beside holdOverage times the
	// rate of one second for each 1 of Bounds.Overage.
	holdSlack   = 0.15
	holdOverage = 2
	// startSlack is the part with which a share begins at a new owner.
	startSlack = 0.1
	// spareSlack is the part that an owner without shares and its deputy may each grant, beside
	// spareOverage times the rate of one second for each 1 of Bounds.Overage. They may grant half
	// as much again in each further window.
	spareSlack   = 0.1
	spareOverage = 0.5
	spareRefill  = 0.5
	// maxSpareShare is the sum of shares from which an owner needs no spare tokens.
	maxSpareShare = 0.5
)

// Process identifies a process of a VM.
type Process struct {
	VM   ident.VMID
	Boot uint64
}

// Limit is the quota of a tenant over all VMs.
type Limit struct {
	Tenant ident.TenantID
	// Rate is in requests per second, and Burst the number that may come at once in addition.
	Rate, Burst float64
	// Version is the version of the configuration that the limit is from.
	Version ident.Version
}

// Bounds says by how much a quota may be exceeded: in any Window a tenant may send
// (rate x Window + burst) x (1 + Overage) + Slack requests.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// rate returns the number of tokens per second that a share of all quotas gets.
func (b Bounds) rate(limit Limit, share float64) float64 {
	return share * (limit.Rate + refillSlack*b.Slack/b.Window.Seconds())
}

// capacity returns the most tokens that a bucket with a share holds. It is at least 1 unless the
// sum over all shares would exceed the slack.
func (b Bounds) capacity(limit Limit, share float64) float64 {
	usual := share * max(limit.Burst+burstSlack*b.Slack, 1)
	return max(usual, min(1, share*(limit.Burst+aloneSlack*b.Slack)))
}

// start returns the number of tokens with which a share begins at a new owner.
func (b Bounds) start(share float64) float64 {
	return share * startSlack * b.Slack
}

// holdable returns the most tokens that processes hold in advance.
func (b Bounds) holdable(limit Limit, share float64) float64 {
	return share * (holdSlack*b.Slack + holdOverage*b.Overage*limit.Rate)
}

// spare returns the most tokens that an owner without shares, or a deputy, grants.
func (b Bounds) spare(limit Limit) float64 {
	return spareSlack*b.Slack + spareOverage*b.Overage*limit.Rate
}

// interval returns the time between two messages to an owner.
func interval(sharers int) time.Duration {
	return min(max(minInterval*time.Duration(sharers)/fullRateSharers, minInterval), maxInterval)
}

// leaseTime returns the duration of a lease.
func leaseTime(sharers int) time.Duration {
	return leaseIntervals * interval(sharers)
}

// slotOf returns the slot of a tenant.
func slotOf(tenant ident.TenantID) int {
	return int(xxhash.Sum64String(string(tenant)) % slotCount)
}

// slotSet is a set of slots.
type slotSet uint64

func (s slotSet) has(slot int) bool {
	return s&(1<<slot) != 0
}

func (s slotSet) count() int {
	return bits.OnesCount64(uint64(s))
}

// each yields the slots in ascending order.
func (s slotSet) each(yield func(int) bool) {
	for rest := uint64(s); rest != 0; rest &= rest - 1 {
		if !yield(bits.TrailingZeros64(rest)) {
			return
		}
	}
}

// assign returns the owner and the deputy of each slot, or "" if there are too few members. The
// loss of a member changes the owners of its own slots only, except that another member may take
// its place among the maxOwners.
func assign(members []ident.VMID) (owners, deputies [slotCount]ident.VMID) {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b ident.VMID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	ranked = ranked[:min(len(ranked), maxOwners)]
	var first, second [slotCount]uint64
	for _, vm := range ranked {
		for slot := range owners {
			weight := slotWeight(vm, slot)
			switch {
			case owners[slot] == "" || weight > first[slot]:
				deputies[slot], second[slot] = owners[slot], first[slot]
				owners[slot], first[slot] = vm, weight
			case deputies[slot] == "" || weight > second[slot]:
				deputies[slot], second[slot] = vm, weight
			default:
			}
		}
	}
	return owners, deputies
}

// slotWeight returns the weight of a VM for a slot: the greatest one owns it.
func slotWeight(vm ident.VMID, slot int) uint64 {
	text := append(append(make([]byte, 0, len(vm)+2), vm...), '/', byte(slot))
	return xxhash.Sum64(text)
}
