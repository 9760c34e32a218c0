// Package cost estimates how much work sub-requests are for backend servers, and how much
// work each server still has to do. It holds the model only: no sockets, goroutines, timers
// or locks. Times are passed in, and the types are not safe for concurrent use.
package cost

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Request is what the cost of a sub-request is learned by. The zero value stands for a
// request of which nothing is known.
type Request struct {
	route string
	// kind and shard are the keys of the factors of the tenant and kind, and of the shard.
	// 0 means that there is none.
	kind, shard uint64
}

// NewRequest returns the request of a tenant on a route. kind tells requests of one route
// apart that probably differ in cost.
func NewRequest(route string, tenant ident.TenantID, kind uint64) Request {
	return Request{route: route, kind: mix(hash(hash(hashSeed, route), string(tenant))^mix(kind+1)) | 1}
}

// WithShard returns the sub-request of a shard.
func (r Request) WithShard(service ident.ServiceID) Request {
	r.shard = mix(^hash(hash(hashSeed, r.route), string(service))) | 1
	return r
}

const (
	hashSeed  = 14695981039346656037
	hashPrime = 1099511628211
)

// hash adds text and a separator to an FNV-1a hash. It has no random seed, so that a
// simulation gives the same result in each run.
func hash(h uint64, text string) uint64 {
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * hashPrime
	}
	return h * hashPrime
}

// mix spreads the differences between hashes over all bits.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
