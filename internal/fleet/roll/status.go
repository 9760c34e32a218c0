package roll

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// CountIn returns the number of roll-outs in a phase.
func (m *Member) CountIn(phase Phase) int {
	count := 0
	for _, k := range m.known {
		if record := k.rollout.current(); record != nil && record.Phase == phase {
			count++
		}
	}
	return count
}

// Status is what is known of one roll-out, for the state dump.
type Status struct {
	Version  string        `json:"version"`
	Duration time.Duration `json:"span"`
	Record   *Record       `json:"record"`
	// Decides is set if this VM decides, and Routes holds then the responses that the VMs
	// reported. Share is the share of the requests that the new version may get.
	Decides bool                   `json:"decides"`
	Share   float64                `json:"share"`
	Routes  map[string]RouteStatus `json:"routes,omitempty"`
}

// Status returns what is known of each roll-out.
func (m *Member) Status() map[ident.ServiceID]Status {
	all := make(map[ident.ServiceID]Status, len(m.known))
	for service, k := range m.known {
		s := Status{Version: k.rollout.Order.Version, Duration: k.rollout.Order.Duration, Record: k.rollout.current(), Decides: k.deciding, Share: k.share}
		if k.deciding && k.decider != nil {
			s.Routes = k.decider.routes()
		}
		all[service] = s
	}
	return all
}

// RouteStatus says how the versions compare on a route, for the state dump.
type RouteStatus struct {
	// Target and TargetBad count the responses of the new version, Others and OthersBad those of
	// the others. Expected is the number of bad ones that the new version would have given if it
	// was like the others.
	Target    uint32  `json:"target"`
	TargetBad uint32  `json:"target_bad"`
	Others    uint32  `json:"others"`
	OthersBad uint32  `json:"others_bad"`
	Expected  float64 `json:"expected"`
}

// routes returns how the versions compare on each route.
func (d *Decider) routes() map[string]RouteStatus {
	routes := map[string]RouteStatus{}
	for name, c := range d.past.plus(d.present()).fleet {
		if name == allRoutes {
			continue
		}
		routes[name] = RouteStatus{Target: c.target.Total, TargetBad: c.target.Bad, Others: c.others.Total, OthersBad: c.others.Bad, Expected: c.expected}
	}
	return routes
}
