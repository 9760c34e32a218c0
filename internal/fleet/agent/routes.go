package agent

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// formerOwnerLifetime is the lifetime of a route to the former preferred
	// owner of a group after the plan changed.
	formerOwnerLifetime = 3 * time.Second
	// learnedOwnerLifetime is the lifetime of a route to an owner that was named
	// by a voter or chosen in a handover.
	learnedOwnerLifetime = 4 * time.Second
)

// route is the presumed owner of a group that differs from the preferred owner. It
// expires at until.
type route struct {
	vm    ident.VMID
	until time.Time
}

// setRoute routes a group to a VM for the given lifetime.
func (a *Agent) setRoute(group ident.GroupID, vm ident.VMID, lifetime time.Duration) {
	if a.routes[group].vm != vm {
		a.viewDirty = true
	}
	a.routes[group] = route{vm: vm, until: time.Now().Add(lifetime)}
}

// routeToFormerOwners routes groups whose preferred owner changed to their former
// preferred owner, as a group moves only when its owner hands it over.
func (a *Agent) routeToFormerOwners(old roster, now time.Time) {
	for group, preferred := range a.roster.plan {
		before, ok := old.plan[group]
		if _, routed := a.routes[group]; ok && !routed && before != preferred {
			a.setRoute(group, before, formerOwnerLifetime)
		}
	}
	a.dropStaleRoutes(now)
}

// dropStaleRoutes drops routes that have expired, lead to VMs without a live
// process, or agree with the plan.
func (a *Agent) dropStaleRoutes(now time.Time) {
	for group, r := range a.routes {
		_, alive := a.roster.byVM[r.vm]
		if alive && r.vm != a.roster.plan[group] && now.Before(r.until) {
			continue
		}
		delete(a.routes, group)
		a.viewDirty = true
	}
}
