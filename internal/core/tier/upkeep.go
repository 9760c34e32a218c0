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
	// upkeepEvery is the time between two rounds of upkeep.
	maintenanceInterval = 250 * time.Millisecond
	// probeTimeout bounds a connection that tries a backend server which was
	// taken as down.
	probeTimeout = 400 * time.Millisecond
	// warmPerRound bounds the connections that are opened ahead of requests in
	// one round of upkeep, so that VMs that start together do not fill the
	// slots of backend servers.
	maxWarmUpsPerRound = 40
	// warmLimit bounds the connections being opened ahead at the same time.
	maxConcurrentWarmUps = 80
	// forgetAfter is the time after which what was learnt of a backend server or service
	// that is not known any more is forgotten, and forgetEvery that between two looks. It
	// is longer than several windows of the retry budget.
	forgetAfter    = 10 * time.Minute
	forgetInterval = time.Minute
	// probePause is the time between two tries of one backend server.
	probeInterval = 600 * time.Millisecond
	// warmPause is the time between two connections that are opened ahead to one
	// backend server. One that is full closes them at once, and each costs it
	// time.
	warmUpInterval = 2 * time.Second
)

// maintain closes connections that are of no use any more, and tries backend
// servers that seem to be down.
func (t *Tier) maintain(ctx context.Context) {
	var probes conc.WaitGroup
	defer probes.Wait()
	var last *roster.View
	lastProbe, lastWarmUp := map[ident.ServerID]time.Time{}, map[ident.ServerID]time.Time{}
	warmUpSlots := make(chan struct{}, maxConcurrentWarmUps)
	recent := &recentNames{servers: coll.Recent[ident.ServerID]{}, services: coll.Recent[ident.ServiceID]{}}
	for sleep.For(ctx, maintenanceInterval) {
		view := t.follower.View()
		if view != last {
			if last == nil || view.ShareCount != last.ShareCount {
				t.events.Record("sharers_changed", string(t.settings.VM.ID), "other VMs serve, or another configuration is in force",
					slog.Int("sharers", view.ShareCount), slog.Int("serving", view.ServingCount))
			}
			last = view
			known := func(id ident.ServerID) bool { return view.Replica(id) != nil }
			t.pool.Retain(known)
			t.env.Health.Retain(known)
			t.env.Cold.Retain(known)
			t.retainPeers(view)
			for _, times := range []map[ident.ServerID]time.Time{lastProbe, lastWarmUp} {
				coll.Retain(times, known)
			}
		}
		now := time.Now()
		t.forget(now, view, recent)
		t.pool.Sweep(now)
		t.notices.Sweep(now, func(p notice.Process) bool {
			replica := view.Replica(p.ID)
			return replica != nil && replica.Process() == p
		})
		if t.isServing() {
			t.warmUp(&probes, warmUpSlots, view, lastWarmUp)
		}
		for _, id := range t.env.Health.Down() {
			replica := view.Replica(id)
			if replica == nil || now.Sub(lastProbe[id]) < probeInterval {
				continue
			}
			lastProbe[id] = now
			probes.Go(func() { t.probe(view, replica) })
		}
	}
}

// learnt names the backend servers and services of which something may be kept.
type recentNames struct {
	servers  coll.Recent[ident.ServerID]
	services coll.Recent[ident.ServiceID]
	// view is the last one that was looked at.
	view       *roster.View
	lastForget time.Time
}

// forget drops what was learnt of names that have been gone for long.
func (t *Tier) forget(now time.Time, view *roster.View, recent *recentNames) {
	due := now.Sub(recent.lastForget) >= forgetInterval
	if view != recent.view || due {
		recent.view = view
		recent.servers.See(now, view.ServerIDs())
		if view.Table != nil {
			recent.services.See(now, maps.Keys(view.Table.Used()))
		}
	}
	if !due {
		return
	}
	recent.lastForget = now
	recent.servers.Forget(now, forgetAfter)
	recent.services.Forget(now, forgetAfter)
	t.env.Choose.Retain(recent.servers.Has)
	t.env.Budget.Retain(recent.services.Has)
	t.env.Latency.Retain(recent.services.Has)
	t.admission.Retain(recent.services.Has)
}

// retainPeers forgets the VMs that are gone.
func (t *Tier) retainPeers(view *roster.View) {
	vms, addresses := coll.NewSet[ident.VMID](), coll.NewSet[string]()
	for _, m := range view.Members {
		vms.Add(m.VM)
		addresses.Add(m.PeerAddress)
	}
	t.delegates.Retain(vms.Has)
	t.peerClient.Retain(addresses.Has)
}

// warm opens a connection to each backend server that requests go to at first and that
// has none, so that they do not wait for it.
func (t *Tier) warmUp(running *conc.WaitGroup, slots chan struct{}, view *roster.View, last map[ident.ServerID]time.Time) {
	if view.Table == nil {
		return
	}
	opened, now := 0, time.Now()
	for _, replica := range view.AllReplicas() {
		if opened >= maxWarmUpsPerRound {
			return
		}
		if !view.Table.Uses(replica.Service) || !t.isPreferred(view, replica) || t.pool.Connected(replica.ID) || t.env.Health.IsDown(replica.ID) ||
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

// isNear reports whether requests of this VM go to a backend server at first: it is in
// the VM's zone, or the zone has none of its service.
func (t *Tier) isPreferred(view *roster.View, replica *roster.Replica) bool {
	zone := t.settings.VM.Zone
	return replica.Zone == zone || view.LocalRequestShare(replica.Service, zone) < 1
}

// probe takes a backend server as up again if it accepts a connection.
func (t *Tier) probe(view *roster.View, replica *roster.Replica) {
	if t.pool.Probe(runner.Target(view, replica), probeTimeout) {
		t.env.Health.Responded(replica.ID)
		t.events.Record("server_up", string(replica.ID), "accepted a connection")
	}
}
