package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
)

const (
	joinRetryDelay = 500 * time.Millisecond
	// membershipTimeout bounds the wait for a membership value that lists this
	// process, after another process accepted to write it.
	membershipTimeout = time.Second
	// announceTargets is the number of listed VMs to which a process announces
	// itself while it cannot join through the key-value service.
	announceTargets = 3
)

// startJoin starts a goroutine that tries to join until this process is a member.
// The random delays spread the load when many processes start at once.
func (a *Agent) startJoin() {
	if a.joining || a.left {
		return
	}
	a.joining = true
	a.calls.Go(func() {
		a.sleep(rand.N(a.options.JoinJitter))
		for a.ctx.Err() == nil && !a.tryJoin() {
			a.sleep(joinRetryDelay/2 + rand.N(joinRetryDelay))
		}
		a.post(func() { a.joining = false })
	})
}

// tryJoin makes one attempt to join and reports whether this process is a member.
// If the key-value service doesn't answer, it announces this process to peers.
func (a *Agent) tryJoin() bool {
	value, ok := a.readMembership()
	if !ok {
		a.announce()
		return false
	}
	if value.Has(a.self.Process) {
		return true
	}
	var self view.Member
	if a.do(a.ctx, func() { self = a.self }) != nil {
		return false
	}
	join := []member.Change{{Kind: member.Join, Member: self}}
	if a.submitChanges(value, join) {
		return a.awaitMembership()
	}
	return a.joinDirectly(value, join)
}

// joinDirectly adds this process to the membership value in the key-value service.
// It fails if the value has changed since seen was read: then another process has
// joined, which can write the changes of all others.
func (a *Agent) joinDirectly(seen *member.Value, join []member.Change) bool {
	a.sleep(rand.N(joinRetryDelay))
	ctx, cancel := a.storeContext()
	defer cancel()
	entry, err := a.deps.Store.Get(ctx, member.Key)
	if err != nil {
		return false
	}
	value, err := member.Decode(entry.Value)
	if err != nil || value.Epoch != seen.Epoch {
		return false
	}
	next, _ := member.Apply(value, join, member.Inputs{})
	revision, err := a.deps.Store.Swap(ctx, member.Key, entry.Revision, next.Encode())
	if err != nil {
		return false
	}
	a.post(func() { a.setMembership(next, revision) })
	return true
}

// submitChanges asks the registrar to write the changes, or the member that joined
// last if the registrar doesn't accept them. It reports whether they were accepted.
func (a *Agent) submitChanges(value *member.Value, changes []member.Change) bool {
	var listed, listKnown bool
	inList := map[string]bool{}
	_ = a.do(a.ctx, func() {
		listKnown = a.listedVMs != nil
		for vm := range a.listedVMs {
			inList[string(vm)] = true
		}
	})
	registrar, found := member.Registrar(value, func(m view.Member) bool {
		listed = inList[string(m.Process.VM)]
		return !listKnown || listed
	})
	if found && a.sendChangeRequest(registrar, changes) {
		return true
	}
	latest, found := member.LastJoined(value)
	return found && latest.Process != registrar.Process && a.sendChangeRequest(latest, changes)
}

// sendChangeRequest asks a member to write the changes and reports whether it
// accepted them.
func (a *Agent) sendChangeRequest(to view.Member, changes []member.Change) bool {
	if to.Process.VM == a.self.Process.VM {
		return false
	}
	ctx, cancel := a.callContext()
	defer cancel()
	var reply changeReply
	err := a.deps.Client.Call(ctx, to.Control, methodChange, changeRequest{changes}, &reply)
	return err == nil && reply.Accepted
}

// awaitMembership waits until the membership value lists this process and reports
// whether it did so within membershipTimeout.
func (a *Agent) awaitMembership() bool {
	deadline := time.Now().Add(membershipTimeout)
	for time.Now().Before(deadline) {
		var isMember bool
		if a.do(a.ctx, func() { isMember = a.membership.Has(a.self.Process) }) != nil || isMember {
			return isMember
		}
		a.sleep(a.options.CheckInterval)
	}
	return false
}

// readMembership reads the membership value from the key-value service and adopts
// it if it is newer.
func (a *Agent) readMembership() (*member.Value, bool) {
	ctx, cancel := a.storeContext()
	defer cancel()
	entry, err := a.deps.Store.Get(ctx, member.Key)
	if err != nil {
		return nil, false
	}
	value, err := member.Decode(entry.Value)
	if err != nil {
		a.deps.Logger.Error("failed to decode the membership value", "error", err)
		return nil, false
	}
	a.post(func() {
		a.setLastStoreContact(time.Now())
		a.setMembership(value, entry.Revision)
	})
	return value, true
}

// announce announces this process to some VMs of the platform's list while the
// key-value service is down, and fetches the membership value from them.
func (a *Agent) announce() {
	ctx, cancel := a.storeContext()
	defer cancel()
	vms, err := a.deps.VMs.VMs(ctx)
	if err != nil {
		return
	}
	vms = slices.DeleteFunc(vms, func(vm vmlist.VM) bool { return vm.ID == a.self.Process.VM })
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, vm := range vms[:min(announceTargets, len(vms))] {
		a.announceToPeer(a.controlAddress(vm))
	}
}

func (a *Agent) announceToPeer(addr string) {
	var request heartbeat
	err := a.do(a.ctx, func() {
		a.gossip.Announce(a.self, time.Now())
		request = a.newHeartbeat(nil, time.Now())
	})
	if err != nil {
		return
	}
	ctx, cancel := a.callContext()
	defer cancel()
	var reply heartbeatReply
	if a.deps.Client.Call(ctx, addr, methodHeartbeat, request, &reply) != nil {
		return
	}
	a.post(func() { a.handleAnnounceReply(addr, reply) })
}

// handleAnnounceReply handles the reply to an announcement. From then on this
// process takes part in the fleet although the membership value does not list it.
func (a *Agent) handleAnnounceReply(addr string, reply heartbeatReply) {
	from := ident.Process(reply.From)
	a.peer(from).addr = addr
	a.processPeerState(from, reply.Epoch, reply.Revision, reply.Gossip, time.Now())
	if a.membership.Epoch > 0 && !a.joined {
		a.joined = true
		a.record("member_announced", a.self.Process.String(), "the key-value service is down; announced to peers")
		a.rebuildRoster(time.Now())
	}
	if reply.Epoch > a.membership.Epoch {
		a.fetchMembership(addr)
	}
}

// controlAddress returns the control address of a listed VM. The port is this
// process's own control port unless the list contains one.
func (a *Agent) controlAddress(vm vmlist.VM) string {
	if _, _, err := net.SplitHostPort(vm.IP); err == nil {
		return vm.IP
	}
	_, port, err := net.SplitHostPort(a.self.Control)
	if err != nil {
		return vm.IP
	}
	return net.JoinHostPort(vm.IP, port)
}

func (a *Agent) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.options.CallTimeout)
}
