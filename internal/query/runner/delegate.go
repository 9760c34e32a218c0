package runner

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/beats"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/link/deleg"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

const (
	// minDelegated is the number of attempts to one zone from which on a delegate there
	// sends them. A single attempt is sent directly.
	minDelegated = 2
	// failedDelegateBackoff is how long no orders are sent to a delegate that didn't report.
	failedDelegateBackoff = time.Second
	// reportShare is the part of the time until the hedge of an attempt after which the
	// delegate reports the outcomes that it has, so that the report arrives before the
	// hedge is sent.
	reportShare = 0.75
)

// OrderSender sends orders to delegates. An order asks a delegate to send a group of
// attempts to backend servers in its zone on behalf of this VM.
type OrderSender interface {
	Send(address string, order *deleg.Order, onReport func(*deleg.Report), onEnd func(pool.Outcome, error)) *deleg.PendingOrder
}

// Peers reports which other VMs can be heard.
type Peers interface {
	// Silent reports whether a VM seems to be dead or cut off.
	Silent(vm ident.VMID) bool
	// Reach returns what a VM reports of its links to backend servers.
	Reach(now time.Time, vm ident.VMID) beats.Reach
}

// Delegates chooses delegates: VMs of other availability zones that send attempts to
// the backend servers of their zone on behalf of this VM. It is safe for concurrent use.
type Delegates struct {
	views ViewSource
	peers Peers

	mu sync.Mutex
	// avoidUntil holds the time until which each VM that didn't report is avoided.
	avoidUntil map[ident.VMID]time.Time
}

// NewDelegates returns a Delegates that avoids no VM.
func NewDelegates(views ViewSource, peers Peers) *Delegates {
	return &Delegates{views: views, peers: peers, avoidUntil: map[ident.VMID]time.Time{}}
}

// Has reports whether the zone has a delegate.
func (d *Delegates) Has(zone ident.Zone) bool {
	_, ok := d.choose(time.Now(), zone)
	return ok
}

// choose returns a random VM that serves in the zone, except for VMs that are silent,
// avoided or partitioned from the backend servers.
func (d *Delegates) choose(now time.Time, zone ident.Zone) (chosen roster.Member, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := 0
	for _, m := range d.views.View().ServingIn(zone) {
		if now.Before(d.avoidUntil[m.VM]) || d.peers.Silent(m.VM) || d.peers.Reach(now, m.VM).Partitioned {
			continue
		}
		found++
		if rand.IntN(found) == 0 {
			chosen = m
		}
	}
	return chosen, found > 0
}

// avoid keeps orders away from a delegate that didn't report.
func (d *Delegates) avoid(now time.Time, vm ident.VMID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoidUntil[vm] = now.Add(failedDelegateBackoff)
}

// Retain forgets the VMs for which keep is false.
func (d *Delegates) Retain(keep func(vm ident.VMID) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	coll.Retain(d.avoidUntil, keep)
}

// delegate sends attempts to other zones through delegates there, and returns those
// that this VM has to send itself.
func (e *execution) delegate(sends []relay.Send) (rest []relay.Send) {
	var groups map[ident.Zone][]relay.Send
	for _, s := range sends {
		if !s.Delegated {
			rest = append(rest, s)
			continue
		}
		if groups == nil {
			groups = map[ident.Zone][]relay.Send{}
		}
		groups[s.Replica.Zone] = append(groups[s.Replica.Zone], s)
	}
	for zone, group := range groups {
		member, ok := e.runner.deps.Delegates.choose(time.Now(), zone)
		if !ok || len(group) < minDelegated {
			rest = append(rest, group...)
			continue
		}
		e.sendOrder(member, group)
	}
	return rest
}

// sendOrder asks a delegate to send a group of attempts.
func (e *execution) sendOrder(member roster.Member, group []relay.Send) {
	now := time.Now()
	view := e.runner.deps.Views.View()
	message := e.request.Message
	hedgeAfter := slices.MinFunc(group, func(a, b relay.Send) int { return cmp.Compare(a.HedgeAfter, b.HedgeAfter) }).HedgeAfter
	order := &deleg.Order{
		Request: message.ID, Head: message.Head, Body: message.Body, NoBody: message.NoBody,
		Limit: uint32(max(e.request.Route.Limit, 0)), LeftMicros: group[0].Timeout.Microseconds(),
		PatienceMicros: int64(reportShare * float64(hedgeAfter.Microseconds())),
	}
	ordered := make([]orderedAttempt, len(group))
	for i, s := range group {
		target := Target(view, s.Replica)
		order.Sends = append(order.Sends, deleg.Send{
			Seq: uint32(i), Server: string(target.ID), Address: target.Address, Born: target.Born, Connections: uint32(target.Connections),
		})
		ordered[i] = orderedAttempt{shard: s.Shard, attempt: s.Attempt, process: s.Replica.Process()}
	}
	e.mu.Lock()
	e.pending += len(group)
	e.attempts += len(group)
	e.mu.Unlock()
	e.runner.requestMetrics.otherZones.attempts.Add(len(group))
	delegated := &delegatedAttempts{execution: e, vm: member.VM, ordered: ordered, unreported: len(group), sentAt: now}
	call := e.runner.deps.OrderSender.Send(member.PeerAddress, order, delegated.addReport, delegated.finish)
	e.orders = append(e.orders, sentOrder{pending: call, vm: member.VM, attempts: ordered})
}

// delegateOf returns the VM that sends an attempt on behalf of this one.
func (e *execution) delegateOf(shard, attempt int) (vm ident.VMID, ordered bool) {
	for _, order := range e.orders {
		for _, a := range order.attempts {
			if a.shard == shard && a.attempt == attempt {
				return order.vm, true
			}
		}
	}
	return "", false
}

// orderedAttempt identifies an attempt of a query, and the server process that it goes
// to.
type orderedAttempt struct {
	shard, attempt int
	process        notice.Process
}

// delegatedAttempts is a group of attempts that a delegate sends. Its methods are
// called on one goroutine.
type delegatedAttempts struct {
	execution *execution
	vm        ident.VMID
	// ordered holds the attempts by their sequence number in the order, and reported
	// marks those that have an outcome.
	ordered    []orderedAttempt
	reported   []bool
	unreported int
	sentAt     time.Time
}

// addReport converts the outcomes of a report to replies. It ignores outcomes with an
// unknown sequence number and repeated ones.
func (d *delegatedAttempts) addReport(report *deleg.Report) {
	if d.reported == nil {
		d.reported = make([]bool, len(d.ordered))
	}
	d.execution.runner.requestMetrics.otherZones.bytes.Add(len(report.Records))
	replies := make([]reply, 0, len(report.Outcomes))
	merged := &mergedBlock{records: report.Records}
	for i := range report.Outcomes {
		o := &report.Outcomes[i]
		if int(o.Seq) >= len(d.ordered) || d.reported[o.Seq] {
			continue
		}
		d.reported[o.Seq] = true
		d.unreported--
		r := reply{shard: d.ordered[o.Seq].shard, attempt: d.ordered[o.Seq].attempt, process: d.ordered[o.Seq].process, result: resultOf(o), sentAt: d.sentAt}
		r.result.Slowdown = report.Slowdown(i)
		r.result.Limit = limitOf(report, o)
		if shared, ended := findEnd(report.Ended, o); ended {
			r.result.Shared, r.result.Gone, r.result.Ended = shared, true, true
		} else if shared, maybe := findEnd(report.MayHaveEnded, o); maybe {
			r.result.Shared, r.result.Gone, r.result.MayHaveEnded = shared, true, true
		}
		d.execution.runner.deps.Env.Notices.Observe(time.Now(), d.ordered[o.Seq].process, notice.Notice{Leaving: o.Leaving, Limit: r.result.Limit})
		r.remoteElapsed = time.Duration(o.Micros) * time.Microsecond
		if o.Alone {
			r.records = o.Records
		} else if r.result.IsSignedSuccess() {
			r.mergedBlock = merged
			merged.shards = append(merged.shards, r.shard)
			merged.signatures = append(merged.signatures, o.Signature)
		}
		replies = append(replies, r)
	}
	d.execution.addReplies(replies)
}

// finish gives the attempts without an outcome the fate of the order.
func (d *delegatedAttempts) finish(fate pool.Outcome, err error) {
	if d.unreported == 0 {
		return
	}
	reason := "the delegate reported no outcome"
	if err != nil {
		reason = err.Error()
	}
	e := d.execution
	if !e.isAnswered() {
		e.runner.deps.Delegates.avoid(time.Now(), d.vm)
		e.trace("order_failed", reason, slog.String("vm", string(d.vm)), slog.Int("left", d.unreported))
	}
	var replies []reply
	for i, a := range d.ordered {
		if d.reported != nil && d.reported[i] {
			continue
		}
		result := pool.Result{Outcome: fate, Reason: reason}
		replies = append(replies, reply{shard: a.shard, attempt: a.attempt, result: result, sentAt: d.sentAt})
	}
	e.addReplies(replies)
}

// limitOf returns the limit that a backend server named in its answer to an attempt. It
// is absent if there was no answer of that server, or the delegate doesn't report limits.
func limitOf(report *deleg.Report, o *deleg.Outcome) coll.Option[notice.Limit] {
	if !report.HasLimits || o.Status == 0 || o.Misdirected {
		return coll.None[notice.Limit]()
	}
	for _, limit := range report.Limits {
		if limit.Seq == o.Seq {
			return coll.Some(notice.Limit(max(limit.PerSecond, 0)))
		}
	}
	return coll.Some(notice.Unlimited)
}

// findEnd reports whether some ends include that of the backend server that had an attempt, and
// how many requests of the delegate it had then.
func findEnd(ends []deleg.Ended, o *deleg.Outcome) (shared int, found bool) {
	for _, e := range ends {
		if e.Seq == o.Seq {
			return int(e.Shared), true
		}
	}
	return 0, false
}

// resultOf converts the outcome of an attempt that a delegate sent.
func resultOf(o *deleg.Outcome) pool.Result {
	return pool.Result{
		Outcome: pool.Outcome(min(o.Fate, uint8(pool.Broken))), Status: int(o.Status), Signature: o.Signature, Reason: o.Reason,
		Misdirected: o.Misdirected, Leaving: o.Leaving, RetryAfter: time.Duration(o.RetryMicros) * time.Microsecond,
		Running: int(o.Running), Waiting: int(o.Waiting), Slots: int(o.Slots),
	}
}
