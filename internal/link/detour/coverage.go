package detour

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/owner/reach"
)

// ViewSource provides this VM's current view of the fleet.
type ViewSource interface {
	View() *roster.View
}

// Links reports how many backend servers this VM can connect to.
type Links interface {
	State() reach.State
}

// Health reports which backend servers get no requests because this VM can't connect to
// them.
type Health interface {
	IsDown(id ident.ServerID) bool
}

// Coverage counts the services that this VM can't reach. It is safe for concurrent use.
type Coverage struct {
	views  ViewSource
	links  Links
	health Health
}

// NewCoverage returns the coverage as links and health report it.
func NewCoverage(views ViewSource, links Links, health Health) *Coverage {
	return &Coverage{views: views, links: links, health: health}
}

// Missing returns how many of the services that a request needs this VM can't reach: those
// of which it can connect to no backend server, or all while this VM may be partitioned.
// service is the one that was picked if the route is not a search.
func (c *Coverage) Missing(route *routes.Route, service ident.ServiceID) int {
	services := []ident.ServiceID{service}
	if route.IsSearch() {
		services = route.Shards
	}
	state := c.links.State()
	if state.MayBePartitioned() {
		return len(services)
	}
	if state.Unreached == 0 {
		return 0
	}
	view, missing := c.views.View(), 0
	for _, service := range services {
		if replicas := view.Replicas(service); len(replicas) > 0 && c.allDown(replicas) {
			missing++
		}
	}
	return missing
}

// MayBePartitioned reports whether this VM may be partitioned from the backend servers.
func (c *Coverage) MayBePartitioned() bool {
	return c.links.State().MayBePartitioned()
}

// Unreached returns how many backend servers this VM can't reach.
func (c *Coverage) Unreached() int {
	return c.links.State().Unreached
}

func (c *Coverage) allDown(replicas []*roster.Replica) bool {
	for _, r := range replicas {
		if !c.health.IsDown(r.ID) {
			return false
		}
	}
	return true
}
