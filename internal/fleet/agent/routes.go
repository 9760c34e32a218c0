package agent

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// keptRoute is the time for which the former preferred owner is taken for
	// the owner after the plan changed, unless something else is learned.
	keptRoute = 3 * time.Second
	// learnedRoute is the time for which an owner is remembered that a voter
	// named.
	learnedRoute = 4 * time.Second
)

// route is the owner of a group where it differs from the preferred one.
type route struct {
	vm    ident.VMID
	until time.Time
}

// setRoute notes the owner of a group for a while.
func (a *Agent) setRoute(group ident.GroupID, vm ident.VMID, lifetime time.Duration) {
	if a.routes[group].vm != vm {
		a.dirty = true
	}
	a.routes[group] = route{vm: vm, until: time.Now().Add(lifetime)}
}

// keepRoutes keeps the known owner of a group while it is alive, though the
// plan now prefers another: the group moves only when its owner hands it over.
func (a *Agent) keepRoutes(old roster, now time.Time) {
	for group, preferred := range a.roster.plan {
		before, ok := old.plan[group]
		if _, routed := a.routes[group]; ok && !routed && before != preferred {
			a.setRoute(group, before, keptRoute)
		}
	}
	a.dropRoutes(now)
}

// dropRoutes drops routes that have expired, lead to VMs that are not believed
// alive, or agree with the plan.
func (a *Agent) dropRoutes(now time.Time) {
	for group, r := range a.routes {
		_, alive := a.roster.byVM[r.vm]
		if alive && r.vm != a.roster.plan[group] && now.Before(r.until) {
			continue
		}
		delete(a.routes, group)
		a.dirty = true
	}
}
