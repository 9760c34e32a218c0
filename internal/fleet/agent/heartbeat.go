package agent

import (
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
)

// gossipFanout is the number of random members that receive a new gossip entry at once,
// besides the monitors and the registrar.
const gossipFanout = 2

// monitorHeartbeatRatio is the number of heartbeats to voters per heartbeat to
// monitors.
const monitorHeartbeatRatio = 2

// heartbeatsPerExport is the number of heartbeats between two exports of the
// handover state. A handover exports it again.
const heartbeatsPerExport = 4

// peer holds the last known state of another process.
type peer struct {
	// addr is the control address; empty while unknown.
	addr              string
	lastHeard         time.Time
	heartbeatInFlight bool
	// epoch is the membership epoch that the peer reported last.
	epoch uint64
	// aheadSince is the time since which epoch has been higher than this
	// process's own; zero if it is not.
	aheadSince time.Time
}

// peer returns the entry of a process, creating it if necessary.
func (a *Agent) peer(p ident.Process) *peer {
	known, ok := a.peers[p]
	if !ok {
		known = &peer{}
		a.peers[p] = known
	}
	return known
}

// sendHeartbeats sends a heartbeat with lease renewals to each voter of the groups
// that this process holds, and on every monitorHeartbeatRatio-th call also one
// to each monitor. It skips peers that have not answered the previous heartbeat yet.
func (a *Agent) sendHeartbeats(now time.Time) {
	groups := map[ident.Process][]ident.GroupID{}
	for group, l := range a.leases {
		if l.holding == nil {
			continue
		}
		for _, p := range l.holder.Peers() {
			groups[p] = append(groups[p], group)
		}
	}
	a.heartbeatCount++
	for _, m := range a.roster.monitors {
		if a.heartbeatCount%monitorHeartbeatRatio != 0 {
			break
		}
		if _, ok := groups[m.Process]; !ok {
			groups[m.Process] = nil
		}
	}
	for p, list := range groups {
		if p == a.self.Process || !a.peer(p).heartbeatInFlight {
			a.sendLeaseRequests(p, list, now)
		}
	}
}

// sendLeaseRequests sends a voter a heartbeat with the lease requests of the given
// groups.
func (a *Agent) sendLeaseRequests(to ident.Process, groups []ident.GroupID, now time.Time) {
	requests := make([]lease.Request, 0, len(groups))
	for _, group := range groups {
		if l, ok := a.leases[group]; ok && l.holder.Active() {
			requests = append(requests, l.holder.Request(to))
		}
	}
	a.sendHeartbeat(to, requests, now, noop)
}

// sendHeartbeat sends a heartbeat with lease requests. Requests to this process
// itself are answered without a call. done runs on the control goroutine after
// the reply or failure of the call, or at once if no call is made.
func (a *Agent) sendHeartbeat(to ident.Process, requests []lease.Request, now time.Time, done func()) {
	if to == a.self.Process {
		for _, r := range requests {
			a.handleLeaseAnswer(to, r, a.voter.Handle(to, r, now), now)
		}
		done()
		return
	}
	p := a.peer(to)
	if p.addr == "" {
		done()
		return
	}
	p.heartbeatInFlight = true
	call(a, p.addr, methodHeartbeat, a.newHeartbeat(requests, now), func(reply heartbeatReply, err error) {
		p.heartbeatInFlight = false
		if err == nil {
			a.handleHeartbeatReply(requests, reply, now)
		}
		done()
	})
}

// noop is passed to sendHeartbeat by callers that don't wait for its end.
func noop() {}

// newHeartbeat returns a heartbeat with this process's current state.
func (a *Agent) newHeartbeat(requests []lease.Request, now time.Time) heartbeat {
	return heartbeat{
		From:     processName(a.self.Process),
		Epoch:    a.membership.Epoch,
		Revision: a.config.Revision,
		Leases:   requests,
		Gossip:   a.gossip.Recent(now),
	}
}

// handleHeartbeatReply processes the reply to a heartbeat with the given requests
// that was sent at sent.
func (a *Agent) handleHeartbeatReply(requests []lease.Request, reply heartbeatReply, sent time.Time) {
	now := time.Now()
	from := ident.Process(reply.From)
	a.processPeerState(from, reply.Epoch, reply.Revision, reply.Gossip, now)
	for i, answer := range reply.answers(requests) {
		if i < len(requests) && requests[i].Group == answer.Group {
			a.handleLeaseAnswer(from, requests[i], answer, sent)
		}
	}
}

func (a *Agent) handleLeaseAnswer(from ident.Process, r lease.Request, answer lease.Answer, sent time.Time) {
	l, ok := a.leases[r.Group]
	if !ok {
		return
	}
	now := time.Now()
	l.holder.Handle(from, r, answer, sent, now)
	a.checkLease(r.Group, l, now)
}

// handleHeartbeat handles a peer's heartbeat. Its reply includes any gossip entry that
// accuses the sender, so that the sender can refute it.
func (a *Agent) handleHeartbeat(b heartbeat) heartbeatReply {
	now := time.Now()
	from := ident.Process(b.From)
	a.processPeerState(from, b.Epoch, b.Revision, b.Gossip, now)
	reply := heartbeatReply{From: processName(a.self.Process), Epoch: a.membership.Epoch, Revision: a.config.Revision}
	for _, r := range b.Leases {
		reply.Leases = append(reply.Leases, a.voter.Handle(from, r, now))
	}
	reply.compact(b.Leases)
	reply.Gossip = a.gossip.Recent(now)
	if entry, known := a.gossip.Entry(from); known && len(entry.SuspectedBy) > 0 && !slices.ContainsFunc(reply.Gossip, func(r member.GossipEntry) bool { return r.Process == from }) {
		reply.Gossip = append(reply.Gossip, entry)
	}
	return reply
}

// processPeerState processes the fields that heartbeats and their replies have in
// common: the sender's membership epoch, configuration revision and gossip entries.
func (a *Agent) processPeerState(from ident.Process, epoch uint64, revision ident.Revision, entries []member.GossipEntry, now time.Time) {
	p := a.peer(from)
	p.lastHeard, p.epoch = now, epoch
	if epoch <= a.membership.Epoch {
		p.aheadSince = time.Time{}
	} else if p.aheadSince.IsZero() {
		p.aheadSince = now
	}
	a.detector.Heard(from, now)
	if from.Incarnation > a.newestIncarnation[from.VM] {
		a.noteIncarnation(from)
		a.noteEndedProcesses(now)
	}
	changed := a.gossip.WithdrawSuspicion(from, now)
	if changed {
		a.record("member_trusted", from.String(), "heard again")
	}
	for _, e := range entries {
		changed = a.mergeGossipEntry(e, now) || changed
	}
	if m, ok := a.roster.byVM[from.VM]; ok && m.Process == from && revision > a.config.Revision && a.deps.OnNewerConfig != nil {
		a.deps.OnNewerConfig(m, revision)
	}
	if changed {
		a.onGossipChanged(now)
	}
}

// mergeGossipEntry merges a received entry and reports whether it changed anything.
func (a *Agent) mergeGossipEntry(e member.GossipEntry, now time.Time) bool {
	if a.formerMembers.Has(e.Process) {
		return false
	}
	if e.Member != nil {
		a.peer(e.Process).addr = e.Member.Control
		a.noteIncarnation(e.Process)
	}
	wasDead := a.gossip.Dead(e.Process, a.roster.fleetSize)
	if !a.gossip.Merge(e, now) {
		return false
	}
	if !wasDead && a.gossip.Dead(e.Process, a.roster.fleetSize) && e.Process != a.self.Process {
		a.record("member_dead", e.Process.String(), "suspected by enough members")
	}
	return true
}

// onGossipChanged updates the roster after an entry changed and sends the entries at
// once to the monitors, the registrar and a few random members.
func (a *Agent) onGossipChanged(now time.Time) {
	a.rebuildRoster(now)
	a.queueMemberUpkeep(now)
	a.acquirePreferred(now)
	notified := coll.NewSet(a.self.Process)
	targets := slices.Clone(a.roster.monitors)
	if r, ok := a.registrar(); ok {
		targets = append(targets, r)
	}
	targets = append(targets, a.randomMembers(gossipFanout)...)
	for _, m := range targets {
		if notified.Has(m.Process) {
			continue
		}
		notified.Add(m.Process)
		a.peer(m.Process).addr = m.Control
		a.sendHeartbeat(m.Process, nil, now, noop)
	}
}

// probeSilentMembers probes members that have sent nothing for too long.
func (a *Agent) probeSilentMembers(now time.Time) {
	for _, m := range a.detector.MembersToProbe(now) {
		a.probe(m.Process, m.Control)
	}
}

// probe sends a heartbeat over a new connection, because the current one may be
// broken while the peer is alive.
func (a *Agent) probe(p ident.Process, addr string) {
	request := a.newHeartbeat(nil, time.Now())
	a.calls.Go(func() {
		ctx, cancel := a.callContext()
		defer cancel()
		var reply heartbeatReply
		err := a.deps.Client.Probe(ctx, addr, methodHeartbeat, request, &reply)
		a.post(func() { a.handleProbeResult(p, reply, err) })
	})
}

// handleProbeResult spreads the suspicion that p has failed if the probe failed or
// another process answered.
func (a *Agent) handleProbeResult(p ident.Process, reply heartbeatReply, err error) {
	now := time.Now()
	from := ident.Process(reply.From)
	alive := err == nil && from == p
	if err == nil {
		a.processPeerState(from, reply.Epoch, reply.Revision, reply.Gossip, now)
	}
	if !a.detector.ProbeEnded(p, alive, now) || !a.gossip.Suspect(p, now) {
		return
	}
	a.record("member_suspected", p.String(), "no message in time, and a probe on a new connection failed")
	a.onGossipChanged(now)
}
