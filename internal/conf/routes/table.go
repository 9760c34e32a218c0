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
	// hosts holds the routes of each host, those with the longest prefix first.
	hosts map[string][]*Route
	used  coll.Set[ident.ServiceID]
}

// NewTable checks config and prepares it for lookups. config must not change
// afterwards.
func NewTable(config *Config) (*Table, error) {
	t := &Table{config: config, hosts: map[string][]*Route{}, used: coll.NewSet[ident.ServiceID]()}
	for i := range config.Routes {
		route := &config.Routes[i]
		if err := route.check(); err != nil {
			return nil, errors.Wrapf(err, "routes: version %d, route %q", config.Version, route.Name)
		}
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
		for _, service := range route.Services() {
			t.used.Add(service)
		}
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

// Config returns the configuration of the table.
func (t *Table) Config() *Config {
	return t.config
}

// Uses reports whether a route names the service.
func (t *Table) UsesService(service ident.ServiceID) bool {
	return t.used.Has(service)
}

// Used returns the services that routes name, in no order.
func (t *Table) UsedServices() coll.Set[ident.ServiceID] {
	return t.used
}

// Match returns the route with the longest prefix that begins path, or nil.
// host may carry a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	list, ok := t.hosts[host]
	if !ok {
		list = t.hosts[strings.ToLower(host)]
	}
	for _, route := range list {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Services lists the services that the route may send requests to.
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

// Pick returns the service for one request, given a number in [0, 1) that is
// drawn at random for it.
func (r *Route) PickService(draw float64) ident.ServiceID {
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	left := draw * total
	for _, share := range r.Split {
		left -= share.Weight
		if left < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

func (r *Route) check() error {
	switch {
	case r.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Newf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.IsSearch() == (len(r.Split) > 0):
		return errors.New("neither or both of services and shards")
	case r.IsSearch() && len(coll.NewSet(r.Shards...)) != len(r.Shards):
		return errors.New("a shard stands twice")
	case r.Timeout <= 0:
		return errors.New("no timeout")
	case r.Attempts < 1:
		return errors.New("no attempt allowed")
	}
	for _, share := range r.Split {
		if share.Weight < 0 {
			return errors.Newf("negative weight of %q", share.Service)
		}
	}
	return nil
}
