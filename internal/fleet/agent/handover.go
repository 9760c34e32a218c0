package agent

import (
	"log/slog"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

const (
	// quiesceBound bounds the pause of a group before it is handed over.
	quiesceBound = 250 * time.Millisecond
	// quiesceStep is the time between two looks whether work still runs.
	quiesceStep = 5 * time.Millisecond
	// releaseWait is the time after which a successor is told of a release
	// though not all voters have confirmed it.
	releaseWait = 50 * time.Millisecond
)

// handOver moves groups to VMs that the plan prefers by now.
func (a *Agent) handOver(now time.Time) {
	budget := a.options.HandoverPace
	for group, t := range a.tenures {
		if t.holding == nil || t.offering {
			continue
		}
		successor, ok := a.successor(group, now)
		if !ok {
			continue
		}
		if budget--; budget < 0 {
			return
		}
		a.offer(group, t, successor)
	}
}

// successor returns the VM that should take a held group, once it has been
// preferred for long enough.
func (a *Agent) successor(group ident.GroupID, now time.Time) (view.Member, bool) {
	vm, ok := a.roster.plan[group]
	if !ok || vm == a.self.Process.VM {
		delete(a.roster.planned, group)
		return view.Member{}, false
	}
	since, noted := a.roster.planned[group]
	if !noted {
		a.roster.planned[group] = now
		since = now
	}
	if now.Sub(since) < a.options.HandoverDelay && !a.leaving {
		return view.Member{}, false
	}
	m, alive := a.roster.byVM[vm]
	return m, alive
}

// offer asks the successor whether it is ready, lets the work that runs end,
// then releases the lease.
func (a *Agent) offer(group ident.GroupID, t *tenure, to view.Member) {
	t.offering = true
	call(a, to.Control, methodOffer, offer{Group: group}, func(r offerReply, err error) {
		if err != nil || !r.Ready {
			t.offering = false
			return
		}
		a.quiesce(group, t, to, time.Now().Add(quiesceBound))
	})
}

// quiesce releases the lease once nothing runs at the group's backend servers,
// or at the bound. What still runs then occupies its slots at the successor
// until its deadline, so short waits here save long ones there.
func (a *Agent) quiesce(group ident.GroupID, t *tenure, to view.Member, bound time.Time) {
	if t.holding == nil || a.tenures[group] != t {
		t.offering = false
		return
	}
	now := time.Now()
	idle := a.deps.Carry == nil || a.deps.Carry.Pause(group, bound)
	if !idle && now.Before(bound) {
		a.after(quiesceStep, func() { a.quiesce(group, t, to, bound) })
		return
	}
	t.offering = false
	a.release(group, t, to)
}

// release stops work on a group and passes it to the successor. Traffic sees
// the new view before the voters are told, and the successor asks the voters
// only after all of them know of the release.
func (a *Agent) release(group ident.GroupID, t *tenure, to view.Member) {
	t.withdraw()
	t.retry = time.Now().Add(a.options.HandoverDelay)
	a.setRoute(group, to.Process.VM, learnedRoute)
	a.publish(time.Now())
	if a.deps.Carry != nil {
		t.holder.SetHandoverState(a.deps.Carry.Export(group))
	}
	a.record("lease_handed_over", string(group), "another VM is preferred", slog.String("to", string(to.Process.VM)))
	told := false
	tell := func() {
		if !told {
			told = true
			call(a, to.Control, methodOffer, offer{Group: group, Released: true}, func(offerReply, error) {})
		}
	}
	a.sendRelease(t, tell)
	a.after(releaseWait, tell)
}

// handleOffer answers an owner that wants to hand a group over.
func (a *Agent) handleOffer(o offer) offerReply {
	now := time.Now()
	_, known := a.value.Groups[o.Group]
	ready := known && a.joined && !a.leaving && !a.isolated && a.roster.plan[o.Group] == a.self.Process.VM
	if !ready || !o.Released {
		return offerReply{Ready: ready}
	}
	t := a.tenure(o.Group, now)
	if t.holding == nil {
		a.begin(o.Group, t, "handed over", now)
	}
	return offerReply{Ready: true}
}
