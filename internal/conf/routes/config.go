// Package routes holds the configuration that says which service serves which
// request: routes, services and limits towards callers. Values are immutable
// once they are in force.
package routes

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Config is one version of the configuration.
type Config struct {
	// Version orders configurations. A process never returns to a lower one.
	Version  ident.Version
	Routes   []Route
	Services map[ident.ServiceID]Service
	Limits   Limits
}

// Route says what is done with the requests of one path prefix of one host.
type Route struct {
	Name string
	// Host is compared without its port and without regard to case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Attempts is the largest number of backend servers that may run one
	// request, for a search one sub-request.
	Attempts int
	// Timeout bounds the time to the final answer.
	Timeout time.Duration
	// Goal is the time by which an answer is worth most to the caller.
	Goal time.Duration
	// Rank orders routes under overload; 0 is the most important.
	Rank int
	// Split lists the services that serve the route, with their weights. It
	// is empty for a search.
	Split []WeightedService
	// Shards lists the services of a search, one a shard.
	Shards []ident.ServiceID
	// Limit is the number of records in the answer to a search.
	Limit int
	// Coverage is the least share of the shards in a successful answer.
	Coverage float64
}

// Share is one service of a split.
type WeightedService struct {
	Service ident.ServiceID
	// Weight is relative to the sum of all weights of the split.
	Weight float64
}

// Service says how the backend servers of one service are treated.
type Service struct {
	// Connections is the number of connections that one backend server
	// accepts from all callers together.
	Connections int
	// ColdFor is the time for which a backend server is cold after its start.
	WarmUpTime time.Duration
	// ColdRate is the number of requests a second that a cold backend server
	// bears from all callers together. 0 means no bound.
	WarmUpRate float64
}

// Limits bound what a caller may send, and how long it may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// IsSearch reports whether requests go to one backend server of each shard.
func (r *Route) IsSearch() bool {
	return len(r.Shards) > 0
}

// LeastShards is the number of shards that a successful answer needs.
func (r *Route) MinShards() int {
	least := 1
	for least < len(r.Shards) && float64(least) < r.Coverage*float64(len(r.Shards))-roundingSlack {
		least++
	}
	return least
}

// roundingSlack absorbs the rounding of a share such as 0.9 times 20.
const roundingSlack = 1e-9
