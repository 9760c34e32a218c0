// Package routes defines the configuration of request routing: routes, services
// and limits for callers. A Config is immutable once it is in force.
package routes

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Config is one version of the routing configuration.
type Config struct {
	// Version increases with each configuration. A process never adopts a lower
	// version than the one in force.
	Version  ident.Version
	Routes   []Route
	Services map[ident.ServiceID]Service
	// Tenants hold the keys of callers. If there are none, requests need no key.
	Tenants []Tenant
	Limits  Limits
}

// Route defines how requests for one path prefix of one host are handled.
type Route struct {
	Name string
	// Host is matched case-insensitively and without the port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is true if requests may run more than once.
	Idempotent bool
	// Attempts is the maximum number of backend servers that may run one
	// request, or one sub-request of a search.
	Attempts int
	// Timeout is the maximum time until the final answer.
	Timeout time.Duration
	// Goal is the desired response time. A later answer is worth less to the
	// caller.
	Goal time.Duration
	// Rank is the importance of the route under overload; 0 is the most
	// important.
	Rank int
	// Split lists the services that share the requests of the route. It is
	// empty for a search.
	Split []WeightedService
	// Shards lists the services of a search, one per shard. It is empty for
	// other routes.
	Shards []ident.ServiceID
	// Limit is the maximum number of records in the answer to a search.
	Limit int
	// Coverage is the minimum fraction of the shards, from 0 to 1, that a
	// successful answer to a search covers.
	Coverage float64
	// Public is true if requests need no key although there are tenants.
	Public bool
}

// WeightedService is one of the services among which requests are split.
type WeightedService struct {
	Service ident.ServiceID
	// Weight is relative to the sum of all weights of the split.
	Weight float64
}

// Service holds the limits of each backend server of one service.
type Service struct {
	// Connections is the maximum number of connections that one backend server
	// accepts from all its clients together.
	Connections int
	// WarmUpTime is the time after its start during which a backend server is
	// cold.
	WarmUpTime time.Duration
	// WarmUpRate is the maximum number of requests per second that a cold
	// backend server can handle from all its clients together. 0 means no
	// limit.
	WarmUpRate float64
}

// Limits holds the limits for connections and requests of callers. Sizes are in
// bytes.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// IsSearch reports whether each request is sent to one backend server of every
// shard.
func (r *Route) IsSearch() bool {
	return len(r.Shards) > 0
}

// MinShards returns the minimum number of shards that a successful answer
// covers. It is at least 1.
func (r *Route) MinShards() int {
	count := 1
	for count < len(r.Shards) && float64(count) < r.Coverage*float64(len(r.Shards))-roundingSlack {
		count++
	}
	return count
}

// roundingSlack absorbs floating-point rounding errors, as in 0.9 * 20.
const roundingSlack = 1e-9
