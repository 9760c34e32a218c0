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

// Reasons for View.Refusal.
const (
	refusalJoining  = "joining"
	refusalIsolated = "isolated"
	refusalLeft     = "left"
	refusalConfig   = "no configuration"
)

// publish replaces the view that traffic works from.
func (a *Agent) publish(now time.Time) {
	a.dirty = false
	refusal := a.refusal()
	a.deps.Views.Publish(&view.View{
		Self:      a.self,
		Config:    a.config,
		Epoch:     a.value.Epoch,
		Members:   maps.Clone(a.roster.byVM),
		Groups:    a.groups,
		GroupOf:   a.groupOf,
		Owners:    a.owners(),
		Holdings:  a.holdings(now),
		Admitting: refusal == "",
		Refusal:   refusal,
	})
}

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
	for group, t := range a.tenures {
		if t.holding != nil && t.holder.Held(now) {
			holdings[group] = t.holding
		}
	}
	return holdings
}

// owners returns the VM believed to own each group: this one if it holds the
// lease, else the owner that was last learned, else the preferred one.
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
	if t, ok := a.tenures[group]; ok && t.holding != nil {
		return self, true
	}
	if r, ok := a.routes[group]; ok && r.vm != self {
		return r.vm, true
	}
	vm, ok := a.roster.plan[group]
	return vm, ok && vm != self
}

// randomMembers returns up to n other members believed alive.
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
