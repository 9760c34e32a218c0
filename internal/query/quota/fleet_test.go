package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/quota"
)

const (
	step        = 5 * time.Millisecond
	silentAfter = 900 * time.Millisecond
	waitTimeout = 30 * time.Millisecond
)

var bounds = quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// fleet simulates VMs, their clocks and their network.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	vms    []*vm
	// sharers is the number of shares, which never falls below the number of VMs that serve.
	sharers int
	version ident.Version
	// limitOf returns the limit of a tenant in the configuration in force. It may be nil.
	limitOf func(tenant ident.TenantID) (quota.Limit, bool)
	// loss and repeat are the shares of messages that are lost and repeated, and delay is the
	// longest delay of one.
	loss, repeat float64
	delay        time.Duration
	// side is the side of a partition that each VM is on.
	side     map[ident.VMID]int
	messages []message
	// viewAge is the time since the store was heard.
	viewAge time.Duration
	// spent holds the times of the requests that ran, by tenant, and refused and failed count
	// the others by whether the owner refused.
	spent           map[ident.TenantID][]time.Duration
	refused, failed int
	// ideal holds a token bucket for each tenant that is right at each moment, and lost counts
	// the requests that were refused although it had a token.
	ideal  map[ident.TenantID]*idealBucket
	lost   int
	orders int
}

// idealBucket is full at the start.
type idealBucket struct {
	tokens float64
	at     time.Duration
}

func (f *fleet) idealTokens(limit quota.Limit) *idealBucket {
	b := f.ideal[limit.Tenant]
	if b == nil {
		b = &idealBucket{tokens: limit.Burst + 1, at: f.now}
		f.ideal[limit.Tenant] = b
	}
	b.tokens = min(b.tokens+limit.Rate*(f.now-b.at).Seconds(), limit.Burst+1)
	b.at = f.now
	return b
}

type message struct {
	at     time.Duration
	order  quota.Outgoing
	from   *process
	to     *process
	reply  *quota.Reply
	failed bool
}

// vm is a VM; process is the one that runs on it, or nil.
type vm struct {
	id          ident.VMID
	process     *process
	frozenUntil time.Duration
	// heard is when each VM was heard last, by its index.
	heard []time.Duration
	// clock is how far the clock of the VM is ahead.
	clock time.Duration
}

type process struct {
	vm       *vm
	boot     uint64
	started  time.Duration
	serving  time.Duration
	owner    *quota.Owner
	holder   *quota.Holder
	nextTick time.Duration
	waiting  []waiting
}

type waiting struct {
	waiter *quota.Waiter
	until  time.Duration
	limit  quota.Limit
}

func newFleet(random *rand.Rand, count int) *fleet {
	f := &fleet{random: random, sharers: max(count, 6), delay: 3 * time.Millisecond, side: map[ident.VMID]int{}, spent: map[ident.TenantID][]time.Duration{}, ideal: map[ident.TenantID]*idealBucket{}}
	for i := range count {
		v := &vm{id: ident.VMID(fmt.Sprintf("vm-%d", i)), clock: time.Duration(1+random.IntN(1e6)) * time.Second, heard: make([]time.Duration, count)}
		f.vms = append(f.vms, v)
		f.start(v)
	}
	return f
}

// start starts a new process on a VM, which serves some time later.
func (f *fleet) start(v *vm) {
	p := &process{vm: v, boot: f.random.Uint64(), started: f.now, serving: f.now + time.Duration(200+f.random.IntN(300))*time.Millisecond}
	v.process, v.frozenUntil = p, 0
	p.owner = quota.NewOwner(p.local(f.now), p.boot, func() quota.Bounds { return bounds })
	p.holder = quota.NewHolder(p.local(f.now), quota.Process{VM: v.id, Boot: p.boot}, p.owner)
}

func (f *fleet) kill(v *vm) {
	v.process = nil
}

func (p *process) local(now time.Duration) time.Duration {
	return now + p.vm.clock
}

func (f *fleet) runs(v *vm) bool {
	return v.process != nil && f.now >= v.frozenUntil
}

// run lets time pass. each is called in each step.
func (f *fleet) run(d time.Duration, each func()) {
	for end := f.now + d; f.now < end; f.now += step {
		f.deliver()
		f.sendHeartbeats()
		for _, v := range f.vms {
			if f.runs(v) {
				f.tick(v.process)
			}
		}
		if each != nil {
			each()
		}
	}
}

func (f *fleet) sendHeartbeats() {
	for i, sender := range f.vms {
		if !f.runs(sender) || f.now < sender.process.serving {
			continue
		}
		for _, v := range f.vms {
			if len(f.side) == 0 || f.side[v.id] == f.side[sender.id] {
				v.heard[i] = f.now
			}
		}
	}
}

func (f *fleet) deliver() {
	due := f.messages
	f.messages = nil
	slices.SortStableFunc(due, func(a, b message) int { return int(a.at - b.at) })
	for _, m := range due {
		receiver := m.to
		switch {
		case receiver.vm.process != receiver:
		case m.at > f.now || !f.runs(receiver.vm):
			f.messages = append(f.messages, m)
		case m.reply != nil:
			receiver.holder.Answered(receiver.local(f.now), m.order.To, m.order.Order, m.reply)
			f.collect(receiver)
		case m.failed:
			receiver.holder.Failed(receiver.local(f.now), m.order.To, m.order.Order)
		default:
			reply := receiver.owner.Handle(receiver.local(f.now), m.order.Order)
			f.send(message{order: m.order, to: m.from, reply: reply}, receiver)
		}
	}
}

// send sends a message, which the network may lose, delay or repeat.
func (f *fleet) send(m message, from *process) {
	copies := 1
	if f.random.Float64() < f.repeat {
		copies = 2
	}
	for range copies {
		if f.random.Float64() < f.loss || f.side[from.vm.id] != f.side[m.to.vm.id] {
			continue
		}
		m.at = f.now + time.Duration(f.random.Int64N(int64(f.delay)))
		f.messages = append(f.messages, m)
	}
}

func (f *fleet) tick(p *process) {
	now := p.local(f.now)
	if f.now >= p.nextTick {
		p.nextTick = f.now + 50*time.Millisecond
		p.holder.Update(now, f.situation(p))
	} else if len(p.waiting) == 0 {
		return
	}
	for _, out := range p.holder.Due(now) {
		f.orders++
		for _, v := range f.vms {
			if v.id == out.To && v.process != nil {
				f.send(message{order: out, from: p, to: v.process}, p)
			}
		}
		f.messages = append(f.messages, message{at: f.now + p.holder.Timeout(), order: out, to: p, failed: true})
	}
	f.collect(p)
}

// situation returns what a process knows of the fleet.
func (f *fleet) situation(p *process) quota.Situation {
	situation := quota.Situation{Sharers: f.sharers, Serving: f.now >= p.serving, ViewAge: f.viewAge, Version: f.version, Limit: f.limitOf}
	for i, v := range f.vms {
		situation.Registered = append(situation.Registered, v.id)
		if v == p.vm && situation.Serving || v != p.vm && p.vm.heard[i] > 0 && f.now-p.vm.heard[i] < silentAfter {
			situation.Owners = append(situation.Owners, v.id)
		}
	}
	return situation
}

// collect counts the requests that are decided.
func (f *fleet) collect(p *process) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w waiting) bool {
		select {
		case decision := <-w.waiter.Done:
			f.count(w.limit, decision)
		default:
			if f.now == w.until-15*time.Millisecond {
				p.holder.Hurry(p.local(f.now), w.waiter)
			}
			if f.now < w.until {
				return false
			}
			f.count(w.limit, p.holder.EndWait(p.local(f.now), w.waiter))
		}
		return true
	})
}

func (f *fleet) count(limit quota.Limit, decision quota.Decision) {
	ideal := f.idealTokens(limit)
	if !decision.Verdict.IsGranted() && ideal.tokens >= 1 {
		f.lost++
	}
	switch {
	case decision.Verdict.IsGranted():
		ideal.tokens = max(ideal.tokens-1, 0)
		f.spent[limit.Tenant] = append(f.spent[limit.Tenant], f.now)
	case decision.Verdict == quota.Refused:
		f.refused++
	default:
		f.failed++
	}
}

// request lets a request of a tenant arrive at a VM. It reports whether the VM runs.
func (f *fleet) request(v *vm, limit quota.Limit) bool {
	if !f.runs(v) {
		return false
	}
	decision := v.process.holder.Take(v.process.local(f.now), limit)
	if decision.Verdict == quota.Waiting {
		v.process.waiting = append(v.process.waiting, waiting{decision.Waiter, f.now + waitTimeout, limit})
		return true
	}
	f.count(limit, decision)
	return true
}

// excess returns by how much a tenant exceeded its bound in the worst window.
func (f *fleet) excess(limit quota.Limit) float64 {
	allowed := (limit.Rate*bounds.Window.Seconds()+limit.Burst)*(1+bounds.Overage) + bounds.Slack
	worst := 0
	first := 0
	times := f.spent[limit.Tenant]
	for i, at := range times {
		for at-times[first] > bounds.Window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return float64(worst) - allowed
}
