package agent

import (
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
)

// gossipPeers is the number of further members that are told of a new rumor at
// once.
const gossipPeers = 2

// monitorBeats is the number of heartbeats to voters per heartbeat to monitors.
const monitorBeats = 2

// carryBeats is the number of heartbeats for which one export of what a
// successor should know serves. A handover exports anew.
const carryBeats = 4

// peer is what the agent knows of another process.
type peer struct {
	addr    string
	heard   time.Time
	beating bool
	// epoch is the membership epoch that the peer reported, behind the time
	// since when this process has known less.
	epoch  uint64
	behind time.Time
}

func (a *Agent) peer(p ident.Process) *peer {
	known, ok := a.peers[p]
	if !ok {
		known = &peer{}
		a.peers[p] = known
	}
	return known
}

// sendBeats sends a heartbeat to each voter of a group that this process holds,
// with the renewals for it, and every other time to each monitor.
func (a *Agent) sendBeats(now time.Time) {
	groups := map[ident.Process][]ident.GroupID{}
	for group, t := range a.tenures {
		if t.holding == nil {
			continue
		}
		for _, p := range t.holder.Peers() {
			groups[p] = append(groups[p], group)
		}
	}
	a.beats++
	for _, m := range a.roster.monitors {
		if a.beats%monitorBeats != 0 {
			break
		}
		if _, ok := groups[m.Process]; !ok {
			groups[m.Process] = nil
		}
	}
	for p, list := range groups {
		if p == a.self.Process || !a.peer(p).beating {
			a.sendLeases(p, list, now)
		}
	}
}

// sendLeases sends the present requests of the given groups to a voter.
func (a *Agent) sendLeases(to ident.Process, groups []ident.GroupID, now time.Time) {
	requests := make([]lease.Request, 0, len(groups))
	for _, group := range groups {
		if t, ok := a.tenures[group]; ok && t.holder.Active() {
			requests = append(requests, t.holder.Request(to))
		}
	}
	a.sendRequests(to, requests, now, ignore)
}

// sendRequests sends a heartbeat with lease requests. Requests to this process
// itself are answered on the spot.
func (a *Agent) sendRequests(to ident.Process, requests []lease.Request, now time.Time, done func()) {
	if to == a.self.Process {
		for _, r := range requests {
			a.takeAnswer(to, r, a.voter.Handle(to, r, now), now)
		}
		done()
		return
	}
	p := a.peer(to)
	if p.addr == "" {
		done()
		return
	}
	p.beating = true
	call(a, p.addr, methodBeat, a.beat(requests, now), func(reply beatReply, err error) {
		p.beating = false
		if err == nil {
			a.takeReply(requests, reply, now)
		}
		done()
	})
}

// ignore is for messages whose arrival nothing waits for.
func ignore() {}

func (a *Agent) beat(requests []lease.Request, now time.Time) beat {
	return beat{
		From:     processName(a.self.Process),
		Epoch:    a.value.Epoch,
		Revision: a.config.Revision,
		Leases:   requests,
		Rumors:   a.rumors.Recent(now),
	}
}

// takeReply takes the answer to a heartbeat that was sent at sent.
func (a *Agent) takeReply(requests []lease.Request, reply beatReply, sent time.Time) {
	now := time.Now()
	from := ident.Process(reply.From)
	a.hear(from, reply.Epoch, reply.Revision, reply.Rumors, now)
	for i, answer := range reply.answers(requests) {
		if i < len(requests) && requests[i].Group == answer.Group {
			a.takeAnswer(from, requests[i], answer, sent)
		}
	}
}

func (a *Agent) takeAnswer(from ident.Process, r lease.Request, answer lease.Answer, sent time.Time) {
	t, ok := a.tenures[r.Group]
	if !ok {
		return
	}
	now := time.Now()
	t.holder.Handle(from, r, answer, sent, now)
	a.checkTenure(r.Group, t, now)
}

// handleBeat answers a peer's heartbeat.
func (a *Agent) handleBeat(b beat) beatReply {
	now := time.Now()
	from := ident.Process(b.From)
	a.hear(from, b.Epoch, b.Revision, b.Rumors, now)
	reply := beatReply{From: processName(a.self.Process), Epoch: a.value.Epoch, Revision: a.config.Revision}
	for _, r := range b.Leases {
		reply.Leases = append(reply.Leases, a.voter.Handle(from, r, now))
	}
	reply.shorten(b.Leases)
	reply.Rumors = a.rumors.Recent(now)
	if rumor, known := a.rumors.Entry(from); known && len(rumor.SuspectedBy) > 0 && !slices.ContainsFunc(reply.Rumors, func(r member.GossipEntry) bool { return r.Process == from }) {
		reply.Rumors = append(reply.Rumors, rumor)
	}
	return reply
}

// hear takes what every message says about its sender and the fleet.
func (a *Agent) hear(from ident.Process, epoch uint64, revision ident.Revision, rumors []member.GossipEntry, now time.Time) {
	p := a.peer(from)
	p.heard, p.epoch = now, epoch
	if epoch <= a.value.Epoch {
		p.behind = time.Time{}
	} else if p.behind.IsZero() {
		p.behind = now
	}
	a.detector.Heard(from, now)
	if from.Incarnation > a.newest[from.VM] {
		a.noteProcess(from)
		a.noteGone(now)
	}
	changed := a.rumors.WithdrawSuspicion(from, now)
	if changed {
		a.record("member_trusted", from.String(), "heard again")
	}
	for _, r := range rumors {
		changed = a.mergeRumor(r, now) || changed
	}
	if m, ok := a.roster.byVM[from.VM]; ok && m.Process == from && revision > a.config.Revision && a.deps.PeerRevision != nil {
		a.deps.PeerRevision(m, revision)
	}
	if changed {
		a.rumorsChanged(now)
	}
}

func (a *Agent) mergeRumor(r member.GossipEntry, now time.Time) bool {
	if a.departed.Has(r.Process) {
		return false
	}
	if r.Member != nil {
		a.peer(r.Process).addr = r.Member.Control
		a.noteProcess(r.Process)
	}
	wasDead := a.rumors.Dead(r.Process, a.roster.size)
	if !a.rumors.Merge(r, now) {
		return false
	}
	if !wasDead && a.rumors.Dead(r.Process, a.roster.size) && r.Process != a.self.Process {
		a.record("member_dead", r.Process.String(), "accused by enough members")
	}
	return true
}

// rumorsChanged acts on new rumors and passes them on at once.
func (a *Agent) rumorsChanged(now time.Time) {
	a.rebuild(now)
	a.removeDead(now)
	a.contend(now)
	told := coll.NewSet(a.self.Process)
	targets := slices.Clone(a.roster.monitors)
	if r, ok := a.registrar(); ok {
		targets = append(targets, r)
	}
	targets = append(targets, a.randomMembers(gossipPeers)...)
	for _, m := range targets {
		if told.Has(m.Process) {
			continue
		}
		told.Add(m.Process)
		a.peer(m.Process).addr = m.Control
		a.sendRequests(m.Process, nil, now, ignore)
	}
}

// probeOverdue probes members that have been silent on a new connection.
func (a *Agent) probeOverdue(now time.Time) {
	for _, m := range a.detector.MembersToProbe(now) {
		a.probe(m.Process, m.Control)
	}
}

func (a *Agent) probe(p ident.Process, addr string) {
	request := a.beat(nil, time.Now())
	a.calls.Go(func() {
		ctx, cancel := a.callContext()
		defer cancel()
		var reply beatReply
		err := a.deps.Client.Probe(ctx, addr, methodBeat, request, &reply)
		a.post(func() { a.probed(p, reply, err) })
	})
}

func (a *Agent) probed(p ident.Process, reply beatReply, err error) {
	now := time.Now()
	from := ident.Process(reply.From)
	alive := err == nil && from == p
	if err == nil {
		a.hear(from, reply.Epoch, reply.Revision, reply.Rumors, now)
	}
	if !a.detector.ProbeEnded(p, alive, now) || !a.rumors.Suspect(p, now) {
		return
	}
	a.record("member_suspected", p.String(), "silent, and a new connection failed")
	a.rumorsChanged(now)
}
