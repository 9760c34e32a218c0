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
	storeTimeout = 2 * time.Second
	watchRetry   = 500 * time.Millisecond
	pollEvery    = 1500 * time.Millisecond
	catchUpAfter = 500 * time.Millisecond
	// missesToDrop is the number of lists in a row that must lack a VM before
	// it counts as dropped.
	missesToDrop = 2
)

// watchStore follows the membership value in the key-value service.
func (a *Agent) watchStore() {
	for a.ctx.Err() == nil {
		var after ident.Revision
		if a.do(a.ctx, func() { after = a.revision }) != nil {
			return
		}
		entry, err := a.deps.Store.Watch(a.ctx, member.Key, after)
		switch {
		case err == nil:
			a.watched(entry)
		case errors.Is(err, store.ErrUnchanged):
			a.Touch(time.Now())
		default:
			a.post(func() { a.storeDown = true })
			a.pause(watchRetry/2 + rand.N(watchRetry))
		}
	}
}

func (a *Agent) watched(entry store.Entry) {
	value, err := member.Decode(entry.Value)
	if err != nil {
		a.deps.Logger.Error("membership value cannot be read", "error", err)
		a.pause(watchRetry)
		return
	}
	a.post(func() {
		a.heardStore(time.Now())
		a.setValue(value, entry.Revision)
		a.revision = max(a.revision, entry.Revision)
	})
}

// watchList reads the platform's list of VMs from time to time.
func (a *Agent) watchList() {
	for a.ctx.Err() == nil {
		ctx, cancel := a.storeContext()
		vms, err := a.deps.VMs.VMs(ctx)
		cancel()
		if err == nil && len(vms) > 0 {
			listed, leaving := splitList(vms)
			a.post(func() { a.setListed(listed, leaving) })
		}
		a.pause(a.options.ListEvery*3/4 + rand.N(a.options.ListEvery/2))
	}
}

func splitList(vms []vmlist.VM) (listed, leaving coll.Set[ident.VMID]) {
	listed, leaving = coll.NewSet[ident.VMID](), coll.NewSet[ident.VMID]()
	for _, vm := range vms {
		listed.Add(vm.ID)
		if vm.State == vmlist.Leaving {
			leaving.Add(vm.ID)
		}
	}
	return listed, leaving
}

func (a *Agent) heardStore(at time.Time) {
	if at.After(a.storeHeard) {
		a.storeHeard = at
		a.storeDown = false
	}
}

// checkIsolation decides whether this process has lately heard from the
// key-value service or from a majority of its monitors and voters.
func (a *Agent) checkIsolation(now time.Time) {
	isolated := !a.heardMajority(now, a.options.IsolatedAfter) &&
		now.Sub(a.storeHeard) >= a.options.IsolatedAfter &&
		now.Sub(a.started) >= a.options.IsolatedAfter
	if !a.heardMajority(now, pollEvery) && now.Sub(a.storeHeard) >= pollEvery {
		a.pollStore()
	}
	if isolated == a.isolated {
		return
	}
	a.isolated = isolated
	a.dirty = true
	if isolated {
		a.record("isolation_began", string(a.self.Process.VM), "neither the key-value service nor a majority of peers was heard")
		return
	}
	a.record("isolation_ended", string(a.self.Process.VM), "heard again")
}

// heardMajority reports whether a majority of this process's contacts was heard
// within the given time. A contact that others accuse too does not count.
func (a *Agent) heardMajority(now time.Time, within time.Duration) bool {
	contacts := a.contacts()
	heard := 0
	for p := range contacts {
		if now.Sub(a.peer(p).heard) < within {
			heard++
		}
	}
	return len(contacts) == 0 || heard > len(contacts)/2
}

func (a *Agent) contacts() coll.Set[ident.Process] {
	contacts := coll.NewSet[ident.Process]()
	for _, m := range a.roster.lastMonitors {
		contacts.Add(m.Process)
	}
	for _, t := range a.tenures {
		if t.holding == nil {
			continue
		}
		for _, p := range t.holder.Peers() {
			contacts.Add(p)
		}
	}
	contacts.Remove(a.self.Process)
	for p := range contacts {
		if a.rumors.SuspectedByOthers(p) {
			contacts.Remove(p)
		}
	}
	return contacts
}

// pollStore asks the key-value service for a sign of life.
func (a *Agent) pollStore() {
	if a.polling {
		return
	}
	a.polling = true
	a.calls.Go(func() {
		a.readValue()
		a.pause(pollEvery)
		a.post(func() { a.polling = false })
	})
}

// catchUp fetches the membership value from a peer that has had a newer one
// for a while.
func (a *Agent) catchUp(now time.Time) {
	for p, known := range a.peers {
		if known.epoch > a.value.Epoch && !known.behind.IsZero() && now.Sub(known.behind) >= catchUpAfter && known.addr != "" {
			known.behind = now
			a.fetchView(known.addr)
			return
		}
		if known.heard.IsZero() && !a.value.Has(p) && known.addr == "" {
			delete(a.peers, p)
		}
	}
}

func (a *Agent) fetchView(addr string) {
	call(a, addr, methodView, struct{}{}, func(reply viewReply, err error) {
		if err != nil {
			return
		}
		value, err := member.Decode(reply.Value)
		if err != nil {
			a.deps.Logger.Error("membership value of a peer cannot be read", "error", err)
			return
		}
		a.setValue(value, reply.Revision)
	})
}

func (a *Agent) handleView(struct{}) viewReply {
	return viewReply{Revision: a.revision, Value: a.value.Encode()}
}
