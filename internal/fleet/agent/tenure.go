package agent

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

const (
	acquireEvery = 100 * time.Millisecond
	// attemptLimit is the time after which an attempt that met a rival ends.
	attemptLimit = 400 * time.Millisecond
	rivalSlack   = 20 * time.Millisecond
	settleEvery  = time.Second
)

// tenure is this process's attempt to hold a group, or its hold on it.
type tenure struct {
	holder  *lease.Holder
	holding *view.Holding
	// started is the time of the present attempt, asked that of its last
	// requests, and retry that of the earliest next attempt.
	started time.Time
	asked   time.Time
	retry   time.Time
	settled time.Time
	since   time.Time
	why     string
	// offering is set while a successor is asked whether it is ready.
	offering bool
}

// tenure returns the tenure of a group, creating it if necessary.
func (a *Agent) tenure(group ident.GroupID, now time.Time) *tenure {
	t, ok := a.tenures[group]
	if ok {
		return t
	}
	t = &tenure{holder: lease.NewHolder(group, a.self.Process, a.options.Lease)}
	if e, known := a.value.Groups[group]; known {
		t.holder.SetVoterConfig(e, now)
	}
	for p, at := range a.gone {
		t.holder.MarkEnded(p, at)
	}
	a.tenures[group] = t
	return t
}

// contend starts attempts for the groups that this VM should own.
func (a *Agent) contend(now time.Time) {
	if !a.joined || a.leaving || a.left || a.isolated {
		return
	}
	for group, vm := range a.roster.plan {
		if vm == a.self.Process.VM {
			a.attempt(group, "preferred owner", now)
		}
	}
}

// attempt starts to ask for a group's lease, unless this is under way.
func (a *Agent) attempt(group ident.GroupID, why string, now time.Time) {
	if _, known := a.value.Groups[group]; !known {
		return
	}
	t := a.tenure(group, now)
	if t.holder.Active() || now.Before(t.retry) {
		return
	}
	a.begin(group, t, why, now)
}

// begin asks for the lease with a new term.
func (a *Agent) begin(group ident.GroupID, t *tenure, why string, now time.Time) {
	t.holder.Start()
	t.started, t.why = now, why
	a.ask(group, t, now)
}

// ask sends the requests of a tenure to all voters at the end of the present
// task, together with those of other groups.
func (a *Agent) ask(group ident.GroupID, t *tenure, now time.Time) {
	t.asked = now
	for _, p := range t.holder.Peers() {
		a.asks[p] = append(a.asks[p], group)
	}
}

// sendAsks sends the collected requests.
func (a *Agent) sendAsks(now time.Time) {
	if len(a.asks) == 0 {
		return
	}
	asks := a.asks
	a.asks = map[ident.Process][]ident.GroupID{}
	for p, groups := range asks {
		a.sendLeases(p, groups, now)
	}
}

// checkTenures moves all tenures on to now.
func (a *Agent) checkTenures(now time.Time) {
	for group, t := range a.tenures {
		if !t.holder.Active() {
			continue
		}
		a.checkTenure(group, t, now)
		if t.holding == nil && t.holder.Active() {
			a.pressOn(group, t, now)
		}
	}
}

func (a *Agent) checkTenure(group ident.GroupID, t *tenure, now time.Time) {
	switch t.holder.Check(now) {
	case lease.Acquired:
		a.take(group, t, now)
	case lease.Lost:
		a.lose(group, t, now)
	case lease.Unchanged:
		if until := t.holder.Until(now); t.holding != nil && !until.Equal(t.holding.Until()) {
			t.holding.Renew(until)
		}
	}
}

// pressOn repeats or ends an attempt.
func (a *Agent) pressOn(group ident.GroupID, t *tenure, now time.Time) {
	rival := t.holder.OtherHolder()
	switch {
	case !rival.Process.IsZero() && now.Sub(t.started) >= attemptLimit:
		a.sendRelease(t, ignore)
		t.retry = rival.Until.Add(rivalSlack + rand.N(acquireEvery))
		a.setRoute(group, rival.Process.VM, learnedRoute)
	case now.Sub(t.asked) >= acquireEvery:
		if t.holder.TermRejected() {
			t.holder.Start()
		}
		a.ask(group, t, now)
	}
}

// take publishes a lease that was just acquired.
func (a *Agent) take(group ident.GroupID, t *tenure, now time.Time) {
	in := t.holder.RecoverState(now)
	if a.deps.Carry != nil {
		a.deps.Carry.Import(group, in.HandoverState, in.PreviousUntil)
	}
	t.holding = &view.Holding{Group: a.usable(group, now), Term: t.holder.Term()}
	t.holding.Renew(t.holder.Until(now))
	t.since = now
	delete(a.routes, group)
	a.dirty = true
	if a.deps.Carry != nil {
		t.holder.SetHandoverState(a.deps.Carry.Export(group))
	}
	a.ask(group, t, now)
	reason := t.why
	if !in.CompleteSince.IsZero() {
		reason = fmt.Sprintf("%s; claims before %s may be lost", t.why, in.CompleteSince.UTC().Format(time.RFC3339Nano))
	}
	a.record("lease_taken", string(group), reason, slog.Uint64("term", t.holder.Term()))
}

// withdraw ends the holding at once, also for traffic that works from an older
// view.
func (t *tenure) withdraw() {
	if t.holding != nil {
		t.holding.Renew(time.Time{})
	}
	t.holding = nil
}

// lose withdraws a lease that lapsed.
func (a *Agent) lose(group ident.GroupID, t *tenure, now time.Time) {
	t.withdraw()
	t.retry = now.Add(acquireEvery)
	a.dirty = true
	a.record("lease_lost", string(group), "no majority of the voters renewed it in time")
}

// sendRelease ends a tenure or attempt and tells the voters. done is called
// once each of them has answered or failed to.
func (a *Agent) sendRelease(t *tenure, done func()) {
	peers := t.holder.Peers()
	r := t.holder.Release()
	now := time.Now()
	left := len(peers)
	for _, p := range peers {
		a.sendRequests(p, []lease.Request{r}, now, func() {
			if left--; left == 0 {
				done()
			}
		})
	}
}

// exportCarry refreshes what the voters keep for successors.
func (a *Agent) exportCarry() {
	if a.deps.Carry == nil {
		return
	}
	for group, t := range a.tenures {
		if t.holding != nil {
			t.holder.SetHandoverState(a.deps.Carry.Export(group))
		}
	}
}

// reportSettled asks the registrar to drop previous voters that are no longer
// needed.
func (a *Agent) reportSettled(now time.Time) {
	for group, t := range a.tenures {
		if t.holding == nil || now.Sub(t.settled) < settleEvery || !t.holder.CanDropPrev(now) {
			continue
		}
		t.settled = now
		a.sendChange(settleChange(group, t.holder.VoterConfig().Epoch), now)
	}
	for group, t := range a.tenures {
		t.holder.Expire(now)
		if !t.holder.Active() && a.roster.plan[group] != a.self.Process.VM {
			delete(a.tenures, group)
		}
	}
}

// drop gives up a group that the configuration no longer has.
func (a *Agent) drop(group ident.GroupID, t *tenure) {
	if t.holding != nil {
		a.record("lease_released", string(group), "the group has left the configuration")
	}
	t.withdraw()
	a.sendRelease(t, ignore)
	delete(a.tenures, group)
}
