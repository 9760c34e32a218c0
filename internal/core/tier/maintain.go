package tier

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

const (
	// maintenanceInterval is the time between two maintenance rounds.
	maintenanceInterval = 250 * time.Millisecond
	// probeTimeout bounds the opening of a connection, both for the probe of a
	// backend server that is marked as down and for warm-up.
	probeTimeout = 400 * time.Millisecond
	// maxWarmUpsPerRound bounds the warm-up connections that one maintenance round
	// opens, that is, before requests need them, so that VMs that start together do not occupy
	// all slots of backend servers.
	maxWarmUpsPerRound = 40
	// maxConcurrentWarmUps bounds the warm-up connections being opened at the same
	// time.
	maxConcurrentWarmUps = 80
	// forgetAfter is the time after which the statistics of a backend server or service
	// that is no longer known are deleted; it is longer than several windows of the
	// retry budget. forgetInterval is the time between two checks.
	forgetAfter    = 10 * time.Minute
	forgetInterval = time.Minute
	// announcePartitionAfter and withdrawPartitionAfter are how long this VM must have been
	// partitioned from the backend servers, or not, before it changes its registration.
	announcePartitionAfter = 800 * time.Millisecond
	withdrawPartitionAfter = 2 * time.Second
	// probeInterval is the shortest time between two probes of one backend server, and
	// maxProbesPerRound the largest number of probes that one maintenance round starts.
	probeInterval     = 600 * time.Millisecond
	maxProbesPerRound = 24
	// warmUpInterval is the shortest time between two warm-up connections to one
	// backend server. A server without a free slot closes them at once, and each
	// costs it time.
	warmUpInterval = 2 * time.Second
)

// maintain runs a maintenance round every maintenanceInterval until ctx ends: it
// deletes the state of servers and VMs that are no longer known, closes unneeded
// connections, opens warm-up connections and probes backend servers that are
// marked as down.
func (t *Tier) maintain(ctx context.Context) {
	var probes conc.WaitGroup
	defer probes.Wait()
	var last *roster.View
	lastProbe, lastWarmUp := map[ident.ServerID]time.Time{}, map[ident.ServerID]time.Time{}
	warmUpSlots := make(chan struct{}, maxConcurrentWarmUps)
	recent := &recentNames{servers: coll.LastSeen[ident.ServerID]{}, services: coll.LastSeen[ident.ServiceID]{}}
	for sleep.For(ctx, maintenanceInterval) {
		view := t.follower.View()
		if view != last {
			if last == nil || view.ShareCount != last.ShareCount {
				t.events.Record("sharers_changed", string(t.settings.VM.ID), "the set of serving VMs or the configuration changed",
					slog.Int("sharers", view.ShareCount), slog.Int("serving", view.ServingCount))
			}
			last = view
			known := func(id ident.ServerID) bool { return view.Replica(id) != nil }
			t.pool.Retain(known)
			t.env.Health.Retain(known)
			t.env.Pace.Retain(known)
			t.reach.Retain(known)
			t.retainPeers(view)
			for _, times := range []map[ident.ServerID]time.Time{lastProbe, lastWarmUp} {
				coll.Retain(times, known)
			}
		}
		now := time.Now()
		t.forget(now, view, recent)
		t.closeIdleCallers(now)
		t.pool.Sweep(now)
		t.detours.Sweep(now)
		t.updateReach(now)
		t.notices.Sweep(now, func(p notice.Process) bool {
			replica := view.Replica(p.ID)
			return replica != nil && replica.Process() == p
		})
		if t.isServing() {
			t.warmUp(&probes, warmUpSlots, view, lastWarmUp)
		}
		t.probeServers(now, &probes, view, lastProbe)
	}
}

// probeServers opens connections to backend servers that are marked as down, and to some
// that show whether this VM is partitioned from them. last holds the time of the last probe
// of each server.
func (t *Tier) probeServers(now time.Time, running *conc.WaitGroup, view *roster.View, last map[ident.ServerID]time.Time) {
	due := t.reach.Suspects(now)
	if t.reach.State().Partitioned {
		for id := range view.ServerIDs() {
			due = append(due, id)
		}
	}
	due = append(t.env.Health.Down(), due...)
	probed := 0
	for _, id := range due {
		replica := view.Replica(id)
		if replica == nil || now.Sub(last[id]) < probeInterval {
			continue
		}
		if probed++; probed > maxProbesPerRound {
			return
		}
		last[id] = now
		running.Go(func() { t.probe(view, replica) })
	}
}

// updateReach logs each change of how this VM reaches the backend servers, and announces
// whether it is partitioned from them.
func (t *Tier) updateReach(now time.Time) {
	before := t.reach.State()
	state := t.reach.Update(now)
	if state.Partitioned != before.Partitioned {
		t.partitionChangedAt = now
	}
	hold := announcePartitionAfter
	if !state.Partitioned {
		hold = withdrawPartitionAfter
	}
	if now.Sub(t.partitionChangedAt) >= hold {
		t.registrar.SetPartitioned(state.Partitioned)
	}
	if state.Unreached == before.Unreached && state.Partitioned == before.Partitioned && state.Suspected == before.Suspected {
		return
	}
	t.events.Record("reach_changed", string(t.settings.VM.ID), "connections to backend servers",
		slog.Int("reached", state.Reached), slog.Int("unreached", state.Unreached), slog.Bool("partitioned", state.Partitioned), slog.Bool("suspected", state.Suspected))
}

// recentNames holds the backend servers and services that were known within
// forgetAfter, whose statistics are kept.
type recentNames struct {
	servers  coll.LastSeen[ident.ServerID]
	services coll.LastSeen[ident.ServiceID]
	// view is the last view whose names were added.
	view       *roster.View
	lastForget time.Time
}

// forget deletes the statistics of servers and services that have been unknown for
// forgetAfter, once every forgetInterval. The names are also updated with each new
// view.
func (t *Tier) forget(now time.Time, view *roster.View, recent *recentNames) {
	refresh := now.Sub(recent.lastForget) >= forgetInterval
	if view != recent.view || refresh {
		recent.view = view
		recent.servers.Update(now, view.ServerIDs())
		if view.Table != nil {
			recent.services.Update(now, maps.Keys(view.Table.UsedServices()))
		}
	}
	if !refresh {
		return
	}
	recent.lastForget = now
	recent.servers.RemoveOlder(now, forgetAfter)
	recent.services.RemoveOlder(now, forgetAfter)
	t.env.Choose.Retain(recent.servers.Has)
	t.env.Budget.Retain(recent.services.Has)
	t.env.Latency.Retain(recent.services.Has)
	t.admission.Retain(recent.services.Has)
}

// retainPeers deletes the state of VMs that are not members any more.
func (t *Tier) retainPeers(view *roster.View) {
	vms, addresses := coll.NewSet[ident.VMID](), coll.NewSet[string]()
	for _, m := range view.Members {
		vms.Add(m.VM)
		addresses.Add(m.PeerAddress)
	}
	t.delegates.Retain(vms.Has)
	t.detours.Retain(vms.Has)
	t.peerClient.Retain(addresses.Has)
}

// warmUp opens a connection to each preferred backend server that has none, so that
// the first requests do not wait for it. last holds the time of the last warm-up of
// each server, and slots bounds the concurrent ones.
func (t *Tier) warmUp(running *conc.WaitGroup, slots chan struct{}, view *roster.View, last map[ident.ServerID]time.Time) {
	if view.Table == nil {
		return
	}
	opened, now := 0, time.Now()
	for _, replica := range view.AllReplicas() {
		if opened >= maxWarmUpsPerRound {
			return
		}
		if !view.Table.UsesService(replica.Service) || !t.isPreferred(view, replica) || t.pool.Connected(replica.ID) || t.env.Health.IsDown(replica.ID) ||
			now.Sub(last[replica.ID]) < warmUpInterval {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			return
		}
		opened++
		last[replica.ID] = now
		running.Go(func() {
			defer func() { <-slots }()
			t.pool.Probe(runner.Target(view, replica), probeTimeout)
		})
	}
}

// isPreferred reports whether this VM sends first attempts to a backend server: the
// server is in the VM's zone, or the zone can't take all requests to its service.
func (t *Tier) isPreferred(view *roster.View, replica *roster.Replica) bool {
	zone := t.settings.VM.Zone
	return replica.Zone == zone || view.LocalRequestShare(replica.Service, zone) < 1
}

// probe marks a backend server as up if it accepts a connection.
func (t *Tier) probe(view *roster.View, replica *roster.Replica) {
	wasDown := t.env.Health.IsDown(replica.ID)
	if t.pool.Probe(runner.Target(view, replica), probeTimeout) && wasDown {
		t.env.Health.Responded(replica.ID)
		t.events.Record("server_up", string(replica.ID), "accepted a connection")
	}
}
