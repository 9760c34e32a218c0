package agent

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// Values of View.Refusal: why this process admits no requests.
const (
	refusalJoining  = "joining"
	refusalIsolated = "isolated"
	refusalLeft     = "left"
	refusalConfig   = "no configuration"
)

// publish publishes a new view of the agent's state for request handling.
func (a *Agent) publish(now time.Time) {
	a.viewDirty = false
	refusal := a.refusal()
	a.deps.Views.Publish(&view.View{
		Self:      a.self,
		Config:    a.config,
		Epoch:     a.membership.Epoch,
		Members:   maps.Clone(a.roster.byVM),
		Groups:    a.groups,
		GroupOf:   a.groupOf,
		Owners:    a.owners(),
		Holdings:  a.holdings(now),
		Admitting: refusal == "",
		Refusal:   refusal,
	})
}

// refusal returns why this process admits no requests; empty if it admits them.
func (a *Agent) refusal() string {
	switch {
	case a.left:
		return refusalLeft
	case !a.joined:
		return refusalJoining
	case a.isolated:
		return refusalIsolated
	case a.config.Services == nil:
		return refusalConfig
	default:
		return ""
	}
}

func (a *Agent) holdings(now time.Time) map[ident.GroupID]*view.Holding {
	holdings := map[ident.GroupID]*view.Holding{}
	for group, l := range a.leases {
		if l.holding != nil && l.holder.Held(now) {
			holdings[group] = l.holding
		}
	}
	return holdings
}

// owners returns the presumed owner of each group: this VM if it holds the lease,
// else the VM of the group's route, else the preferred owner. Groups whose owner
// is unknown are missing.
func (a *Agent) owners() map[ident.GroupID]ident.VMID {
	owners := make(map[ident.GroupID]ident.VMID, len(a.groups))
	for group := range a.groups {
		if vm, ok := a.owner(group); ok {
			owners[group] = vm
		}
	}
	return owners
}

func (a *Agent) owner(group ident.GroupID) (ident.VMID, bool) {
	self := a.self.Process.VM
	if l, ok := a.leases[group]; ok && l.holding != nil {
		return self, true
	}
	if r, ok := a.routes[group]; ok && r.vm != self {
		return r.vm, true
	}
	vm, ok := a.roster.plan[group]
	return vm, ok && vm != self
}

// randomMembers returns up to n randomly chosen live members other than this one.
func (a *Agent) randomMembers(n int) []view.Member {
	others := slices.DeleteFunc(slices.Clone(a.roster.members), func(m view.Member) bool {
		return m.Process == a.self.Process
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
