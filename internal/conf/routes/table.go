package routes

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Table finds the route of a request in one configuration. It is immutable and
// safe for concurrent use.
type Table struct {
	config *Config
	// routesByHost holds the routes of each lower-case host, sorted by
	// descending length of the prefix.
	routesByHost map[string][]*Route
	usedServices coll.Set[ident.ServiceID]
	tenantsByKey map[KeyDigest]*Tenant
	tenants      map[ident.TenantID]*Tenant
}

// NewTable validates config and builds its table. config must not be modified
// afterwards.
func NewTable(config *Config) (*Table, error) {
	t := &Table{config: config, routesByHost: map[string][]*Route{}, usedServices: coll.NewSet[ident.ServiceID]()}
	if err := t.addTenants(); err != nil {
		return nil, errors.Wrapf(err, "routes: version %d", config.Version)
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		if err := route.Validate(); err != nil {
			return nil, errors.Wrapf(err, "routes: version %d, route %q", config.Version, route.Name)
		}
		host := strings.ToLower(route.Host)
		t.routesByHost[host] = append(t.routesByHost[host], route)
		for _, service := range route.Services() {
			t.usedServices.Add(service)
		}
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

// Config returns the configuration of the table.
func (t *Table) Config() *Config {
	return t.config
}

// UsesService reports whether a route sends requests to the service.
func (t *Table) UsesService(service ident.ServiceID) bool {
	return t.usedServices.Has(service)
}

// UsedServices returns the services to which routes send requests. The set must
// not be modified.
func (t *Table) UsedServices() coll.Set[ident.ServiceID] {
	return t.usedServices
}

// Match returns the route of the host with the longest prefix of path, or nil if
// there is none. host may include a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	list, ok := t.routesByHost[host]
	if !ok {
		list = t.routesByHost[strings.ToLower(host)]
	}
	for _, route := range list {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Services returns the services to which the route sends requests. The slice
// must not be modified.
func (r *Route) Services() []ident.ServiceID {
	if r.IsSearch() {
		return r.Shards
	}
	services := make([]ident.ServiceID, 0, len(r.Split))
	for _, share := range r.Split {
		services = append(services, share.Service)
	}
	return services
}

// PickService returns the service for one request, in proportion to the weights.
// draw is a random number in [0, 1). The route must not be a search.
func (r *Route) PickService(draw float64) ident.ServiceID {
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	remaining := draw * total
	for _, share := range r.Split {
		remaining -= share.Weight
		if remaining < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Validate returns an error that describes the first invalid field, or nil.
func (r *Route) Validate() error {
	switch {
	case r.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Newf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.IsSearch() == (len(r.Split) > 0):
		return errors.New("exactly one of services and shards must be set")
	case r.IsSearch() && len(coll.NewSet(r.Shards...)) != len(r.Shards):
		return errors.New("a shard is listed twice")
	case r.Timeout <= 0:
		return errors.New("no timeout")
	case r.Attempts < 1:
		return errors.New("the number of attempts is less than 1")
	}
	for _, share := range r.Split {
		if share.Weight < 0 {
			return errors.Newf("negative weight of %q", share.Service)
		}
	}
	return nil
}
