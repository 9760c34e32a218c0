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
	joinRetry    = 500 * time.Millisecond
	joinPatience = time.Second
	// announceTo is the number of listed VMs that a process tells of itself
	// while it cannot join through the key-value service.
	announceTo = 3
)

// startJoin makes this process a member, on a goroutine of its own.
func (a *Agent) startJoin() {
	if a.joining || a.left {
		return
	}
	a.joining = true
	a.calls.Go(func() {
		a.pause(rand.N(a.options.JoinJitter))
		for a.ctx.Err() == nil && !a.tryJoin() {
			a.pause(joinRetry/2 + rand.N(joinRetry))
		}
		a.post(func() { a.joining = false })
	})
}

// tryJoin makes one attempt and reports whether this process is a member.
func (a *Agent) tryJoin() bool {
	value, ok := a.readValue()
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
	if a.askMember(value, join) {
		return a.awaitMembership()
	}
	return a.joinAlone(value, join)
}

// joinAlone writes this process into the membership value, unless another
// process has done so for itself in the meantime, which then writes for all.
func (a *Agent) joinAlone(seen *member.Value, join []member.Change) bool {
	a.pause(rand.N(joinRetry))
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
	a.post(func() { a.setValue(next, revision) })
	return true
}

// askMember asks the registrar, or else the member that joined last, to write
// the changes.
func (a *Agent) askMember(value *member.Value, changes []member.Change) bool {
	var listed, known bool
	inList := map[string]bool{}
	_ = a.do(a.ctx, func() {
		known = a.listed != nil
		for vm := range a.listed {
			inList[string(vm)] = true
		}
	})
	registrar, found := member.Registrar(value, func(m view.Member) bool {
		listed = inList[string(m.Process.VM)]
		return !known || listed
	})
	if found && a.askChange(registrar, changes) {
		return true
	}
	latest, found := member.LastJoined(value)
	return found && latest.Process != registrar.Process && a.askChange(latest, changes)
}

func (a *Agent) askChange(to view.Member, changes []member.Change) bool {
	if to.Process.VM == a.self.Process.VM {
		return false
	}
	ctx, cancel := a.callContext()
	defer cancel()
	var reply changeReply
	err := a.deps.Client.Call(ctx, to.Control, methodChange, changeRequest{changes}, &reply)
	return err == nil && reply.Accepted
}

// awaitMembership waits for a membership value that lists this process.
func (a *Agent) awaitMembership() bool {
	deadline := time.Now().Add(joinPatience)
	for time.Now().Before(deadline) {
		var has bool
		if a.do(a.ctx, func() { has = a.value.Has(a.self.Process) }) != nil || has {
			return has
		}
		a.pause(a.options.Tick)
	}
	return false
}

// readValue reads the membership value from the key-value service.
func (a *Agent) readValue() (*member.Value, bool) {
	ctx, cancel := a.storeContext()
	defer cancel()
	entry, err := a.deps.Store.Get(ctx, member.Key)
	if err != nil {
		return nil, false
	}
	value, err := member.Decode(entry.Value)
	if err != nil {
		a.deps.Logger.Error("membership value cannot be read", "error", err)
		return nil, false
	}
	a.post(func() {
		a.heardStore(time.Now())
		a.setValue(value, entry.Revision)
	})
	return value, true
}

// announce tells some listed VMs of this process while the key-value service
// is down, and learns the membership value from them.
func (a *Agent) announce() {
	ctx, cancel := a.storeContext()
	defer cancel()
	vms, err := a.deps.VMs.VMs(ctx)
	if err != nil {
		return
	}
	vms = slices.DeleteFunc(vms, func(vm vmlist.VM) bool { return vm.ID == a.self.Process.VM })
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, vm := range vms[:min(announceTo, len(vms))] {
		a.announceTo(a.controlAddress(vm))
	}
}

func (a *Agent) announceTo(addr string) {
	var request beat
	err := a.do(a.ctx, func() {
		a.rumors.Announce(a.self, time.Now())
		request = a.beat(nil, time.Now())
	})
	if err != nil {
		return
	}
	ctx, cancel := a.callContext()
	defer cancel()
	var reply beatReply
	if a.deps.Client.Call(ctx, addr, methodBeat, request, &reply) != nil {
		return
	}
	a.post(func() { a.announced(addr, reply) })
}

// announced takes the answer to an announcement: this process now takes part,
// though the membership value does not list it.
func (a *Agent) announced(addr string, reply beatReply) {
	from := ident.Process(reply.From)
	a.peer(from).addr = addr
	a.hear(from, reply.Epoch, reply.Revision, reply.Rumors, time.Now())
	if a.value.Epoch > 0 && !a.joined {
		a.joined = true
		a.record("member_announced", a.self.Process.String(), "the key-value service is down; peers were told")
		a.rebuild(time.Now())
	}
	if reply.Epoch > a.value.Epoch {
		a.fetchView(addr)
	}
}

// controlAddress returns the control address of a listed VM. All VMs use the
// same port unless the list shows another one.
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
