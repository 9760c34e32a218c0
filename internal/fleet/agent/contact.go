package agent

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
	"github.com/samphirestair/samphirestair/internal/plat/store"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
)

const (
	storeTimeout    = 2 * time.Second
	watchRetryDelay = 500 * time.Millisecond
	// storePollInterval is the time without contact after which the key-value
	// service is polled, and the time between two polls.
	storePollInterval = 1500 * time.Millisecond
	// catchUpDelay is the time for which a peer must have a newer membership
	// value before it is fetched from the peer. Usually the watch delivers it
	// sooner.
	catchUpDelay = 500 * time.Millisecond
	// listsUntilDropped is the number of consecutive VM lists that must lack a
	// VM before it counts as dropped by the platform.
	listsUntilDropped = 2
)

// watchStore watches the membership value in the key-value service until the agent
// stops.
func (a *Agent) watchStore() {
	for a.ctx.Err() == nil {
		var after ident.Revision
		if a.do(a.ctx, func() { after = a.membershipRevision }) != nil {
			return
		}
		entry, err := a.deps.Store.Watch(a.ctx, member.Key, after)
		switch {
		case err == nil:
			a.handleStoreEntry(entry)
		case errors.Is(err, store.ErrUnchanged):
			a.NoteStoreContact(time.Now())
		default:
			a.post(func() { a.storeDown = true })
			a.sleep(watchRetryDelay/2 + rand.N(watchRetryDelay))
		}
	}
}

// handleStoreEntry adopts the membership value of an entry that the watch returned.
func (a *Agent) handleStoreEntry(entry store.Entry) {
	value, err := member.Decode(entry.Value)
	if err != nil {
		a.deps.Logger.Error("failed to decode the membership value", "error", err)
		a.sleep(watchRetryDelay)
		return
	}
	a.post(func() {
		a.setLastStoreContact(time.Now())
		a.setMembership(value, entry.Revision)
		a.membershipRevision = max(a.membershipRevision, entry.Revision)
	})
}

// pollVMList reads the platform's list of VMs every VMListInterval, with jitter,
// until the agent stops. Empty lists are ignored.
func (a *Agent) pollVMList() {
	for a.ctx.Err() == nil {
		ctx, cancel := a.storeContext()
		vms, err := a.deps.VMs.VMs(ctx)
		cancel()
		if err == nil && len(vms) > 0 {
			listed, leaving := vmSets(vms)
			a.post(func() { a.setVMList(listed, leaving) })
		}
		a.sleep(a.options.VMListInterval*3/4 + rand.N(a.options.VMListInterval/2))
	}
}

// vmSets returns the IDs of all listed VMs, and of those that the platform is about
// to stop.
func vmSets(vms []vmlist.VM) (listed, leaving coll.Set[ident.VMID]) {
	listed, leaving = coll.NewSet[ident.VMID](), coll.NewSet[ident.VMID]()
	for _, vm := range vms {
		listed.Add(vm.ID)
		if vm.State == vmlist.Leaving {
			leaving.Add(vm.ID)
		}
	}
	return listed, leaving
}

// setLastStoreContact records that the key-value service answered at the given time.
func (a *Agent) setLastStoreContact(at time.Time) {
	if at.After(a.lastStoreContact) {
		a.lastStoreContact = at
		a.storeDown = false
	}
}

// checkIsolation updates isolated: this process is isolated if for IsolationTimeout
// it has heard neither from the key-value service nor from a majority of its
// monitors and voters. It polls the key-value service before that time is over.
func (a *Agent) checkIsolation(now time.Time) {
	isolated := !a.heardMajority(now, a.options.IsolationTimeout) &&
		now.Sub(a.lastStoreContact) >= a.options.IsolationTimeout &&
		now.Sub(a.started) >= a.options.IsolationTimeout
	if !a.heardMajority(now, storePollInterval) && now.Sub(a.lastStoreContact) >= storePollInterval {
		a.pollStore()
	}
	if isolated == a.isolated {
		return
	}
	a.isolated = isolated
	a.viewDirty = true
	if isolated {
		a.record("isolation_began", string(a.self.Process.VM), "no contact to the key-value service nor to a majority of peers")
		return
	}
	a.record("isolation_ended", string(a.self.Process.VM), "heard again")
}

// heardMajority reports whether a majority of the processes of contactProcesses
// sent a message within the given time. It reports true if there are none.
func (a *Agent) heardMajority(now time.Time, within time.Duration) bool {
	contacts := a.contactProcesses()
	heard := 0
	for p := range contacts {
		if now.Sub(a.peer(p).lastHeard) < within {
			heard++
		}
	}
	return len(contacts) == 0 || heard > len(contacts)/2
}

// contactProcesses returns the monitors of this process and the voters of the groups
// that it holds, without those that other members suspect too.
func (a *Agent) contactProcesses() coll.Set[ident.Process] {
	contacts := coll.NewSet[ident.Process]()
	for _, m := range a.roster.listedMonitors {
		contacts.Add(m.Process)
	}
	for _, l := range a.leases {
		if l.holding == nil {
			continue
		}
		for _, p := range l.holder.Peers() {
			contacts.Add(p)
		}
	}
	contacts.Remove(a.self.Process)
	for p := range contacts {
		if a.gossip.SuspectedByOthers(p) {
			contacts.Remove(p)
		}
	}
	return contacts
}

// pollStore reads the membership value to check that the key-value service answers,
// at most once per storePollInterval.
func (a *Agent) pollStore() {
	if a.pollingStore {
		return
	}
	a.pollingStore = true
	a.calls.Go(func() {
		a.readMembership()
		a.sleep(storePollInterval)
		a.post(func() { a.pollingStore = false })
	})
}

// fetchNewerMembership fetches the membership value from a peer that has had a newer
// one for catchUpDelay. It also drops peers that are not members, have never sent a
// message and have no known address.
func (a *Agent) fetchNewerMembership(now time.Time) {
	for p, entry := range a.peers {
		if entry.epoch > a.membership.Epoch && !entry.aheadSince.IsZero() && now.Sub(entry.aheadSince) >= catchUpDelay && entry.addr != "" {
			entry.aheadSince = now
			a.fetchMembership(entry.addr)
			return
		}
		if entry.lastHeard.IsZero() && !a.membership.Has(p) && entry.addr == "" {
			delete(a.peers, p)
		}
	}
}

// fetchMembership fetches the membership value from a peer and adopts it if it is
// newer.
func (a *Agent) fetchMembership(addr string) {
	call(a, addr, methodMembership, struct{}{}, func(reply membershipReply, err error) {
		if err != nil {
			return
		}
		value, err := member.Decode(reply.Value)
		if err != nil {
			a.deps.Logger.Error("failed to decode the membership value of a peer", "error", err)
			return
		}
		a.setMembership(value, reply.Revision)
	})
}

// handleMembership returns the membership value that this process knows.
func (a *Agent) handleMembership(struct{}) membershipReply {
	return membershipReply{Revision: a.membershipRevision, Value: a.membership.Encode()}
}
