package runner

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/link/ferry"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

const (
	// leastCarried is the number of attempts from which a VM of their zone sends them.
	leastCarried = 2
	// avoidCarrier is the time for which a VM that did not report is not asked.
	avoidCarrier = time.Second
	// patiencePart is the part of the time until an attempt is overdue after which a VM
	// that sends it reports, so that the report is here before.
	patiencePart = 0.75
)

// Carrier sends orders to other VMs.
type Carrier interface {
	Send(address string, order *ferry.Order, take func(*ferry.Report), end func(pool.Fate, error)) *ferry.Ordered
}

// Peers tells how the other VMs are heard.
type Peers interface {
	// Silent reports whether a VM seems to be dead or cut off.
	Silent(vm ident.VMID) bool
}

// Carriers chooses the VMs that send attempts in their availability zones for this one.
// It is safe for concurrent use.
type Carriers struct {
	beliefs Beliefs
	peers   Peers

	mu sync.Mutex
	// avoidUntil holds the VMs that did not report.
	avoidUntil map[ident.VMID]time.Time
}

// NewCarriers returns a Carriers that knows of no failure.
func NewCarriers(beliefs Beliefs, peers Peers) *Carriers {
	return &Carriers{beliefs: beliefs, peers: peers, avoidUntil: map[ident.VMID]time.Time{}}
}

// Has reports whether a VM of the zone can send for this one.
func (c *Carriers) Has(zone ident.Zone) bool {
	_, ok := c.choose(time.Now(), zone)
	return ok
}

// choose returns a VM that serves in the zone, drawn at random.
func (c *Carriers) choose(now time.Time, zone ident.Zone) (chosen roster.Member, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := 0
	for _, m := range c.beliefs.View().ServingIn(zone) {
		if now.Before(c.avoidUntil[m.VM]) || c.peers.Silent(m.VM) {
			continue
		}
		found++
		if rand.IntN(found) == 0 {
			chosen = m
		}
	}
	return chosen, found > 0
}

// failed keeps orders away from a VM for a while.
func (c *Carriers) failed(now time.Time, vm ident.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[vm] = now.Add(avoidCarrier)
}

// Retain forgets the VMs for which keep is false.
func (c *Carriers) Retain(keep func(vm ident.VMID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	coll.Retain(c.avoidUntil, keep)
}

// carry sends the attempts that go to other zones through VMs there, and returns the
// rest.
func (f *flight) carry(sends []relay.Send) (rest []relay.Send) {
	var groups map[ident.Zone][]relay.Send
	for _, s := range sends {
		if !s.Carried {
			rest = append(rest, s)
			continue
		}
		if groups == nil {
			groups = map[ident.Zone][]relay.Send{}
		}
		groups[s.Replica.Zone] = append(groups[s.Replica.Zone], s)
	}
	for zone, group := range groups {
		member, ok := f.runner.deps.Carriers.choose(time.Now(), zone)
		if !ok || len(group) < leastCarried {
			rest = append(rest, group...)
			continue
		}
		f.order(member, group)
	}
	return rest
}

// order sends a group of attempts through a VM.
func (f *flight) order(member roster.Member, group []relay.Send) {
	now := time.Now()
	view := f.runner.deps.Beliefs.View()
	message := f.request.Message
	order := &ferry.Order{
		Request: message.ID, Head: message.Head, Body: message.Body, NoBody: message.NoBody,
		Limit: uint32(max(f.request.Route.Limit, 0)), LeftMicros: group[0].Left.Microseconds(),
		PatienceMicros: int64(patiencePart * float64(group[0].Overdue.Microseconds())),
	}
	names := make([]attemptName, len(group))
	for i, s := range group {
		target := Target(view, s.Replica)
		order.Sends = append(order.Sends, ferry.Send{
			Seq: uint32(i), Server: string(target.ID), Address: target.Address, Born: target.Born, Connections: uint32(target.Connections),
		})
		names[i] = attemptName{shard: s.Shard, attempt: s.Attempt, process: s.Replica.Process()}
	}
	f.mu.Lock()
	f.open += len(group)
	f.attempts += len(group)
	f.mu.Unlock()
	f.runner.meters.far.attempts.Add(len(group))
	c := &carried{flight: f, vm: member.VM, names: names, left: len(group), sentAt: now}
	call := f.runner.deps.Carrier.Send(member.Peer, order, c.take, c.end)
	f.orders = append(f.orders, call)
}

// attemptName names an attempt of a query.
type attemptName struct {
	shard, attempt int
	process        notice.Process
}

// carried is a group of attempts that another VM sends. Its methods are called on one
// goroutine.
type carried struct {
	flight *flight
	vm     ident.VMID
	// names holds the attempts by their number in the order. Those that have an outcome
	// are marked in told.
	names  []attemptName
	told   []bool
	left   int
	sentAt time.Time
}

// take hands a report to the flight.
func (c *carried) take(report *ferry.Report) {
	if c.told == nil {
		c.told = make([]bool, len(c.names))
	}
	c.flight.runner.meters.far.bytes.Add(len(report.Records))
	replies := make([]reply, 0, len(report.Outcomes))
	merged := &block{records: report.Records}
	for i := range report.Outcomes {
		o := &report.Outcomes[i]
		if int(o.Seq) >= len(c.names) || c.told[o.Seq] {
			continue
		}
		c.told[o.Seq] = true
		c.left--
		c.flight.runner.deps.Env.Notices.Observe(time.Now(), c.names[o.Seq].process, notice.Notice{Leaving: o.Leaving})
		r := reply{shard: c.names[o.Seq].shard, attempt: c.names[o.Seq].attempt, result: resultOf(o), sentAt: c.sentAt}
		r.took = time.Duration(o.Micros) * time.Microsecond
		if o.Alone {
			r.records = o.Records
		} else if r.result.IsPart() {
			r.block = merged
			merged.shards = append(merged.shards, r.shard)
			merged.signatures = append(merged.signatures, o.Signature)
		}
		replies = append(replies, r)
	}
	c.flight.takeAll(replies)
}

// end gives the attempts without an outcome the fate of the order.
func (c *carried) end(fate pool.Fate, err error) {
	if c.left == 0 {
		return
	}
	reason := "the VM that sends for this one reported nothing"
	if err != nil {
		reason = err.Error()
	}
	f := c.flight
	if !f.isOver() {
		f.runner.deps.Carriers.failed(time.Now(), c.vm)
		f.trace("order_failed", reason, slog.String("vm", string(c.vm)), slog.Int("left", c.left))
	}
	var replies []reply
	for i, name := range c.names {
		if c.told != nil && c.told[i] {
			continue
		}
		result := pool.Result{Fate: fate, Reason: reason}
		replies = append(replies, reply{shard: name.shard, attempt: name.attempt, result: result, sentAt: c.sentAt})
	}
	f.takeAll(replies)
}

// resultOf is the result of an attempt that another VM sent.
func resultOf(o *ferry.Outcome) pool.Result {
	return pool.Result{
		Fate: pool.Fate(min(o.Fate, uint8(pool.Broken))), Status: int(o.Status), Signature: o.Signature, Reason: o.Reason,
		Misdirected: o.Misdirected, Leaving: o.Leaving, RetryAfter: time.Duration(o.RetryMicros) * time.Microsecond,
		Running: int(o.Running), Waiting: int(o.Waiting), Slots: int(o.Slots),
	}
}
