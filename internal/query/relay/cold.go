package relay

import (
	"math"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
)

// ColdLimiter spaces the requests to backend servers in cold start, so that all
// VMs together keep to what such a server bears. It is safe for concurrent use.
type ColdLimiter struct {
	// share returns the number of requests a second that this VM may send to a
	// cold server: 0 for none, +Inf for any number.
	share func(replica *roster.Replica) float64
	// start counts as a send to each server: the process before may have sent then.
	start time.Time

	mu   sync.Mutex
	last map[ident.ServerID]time.Time
}

// NewColdLimiter returns a limiter for a process that starts at start. It asks share for
// the rate of each cold server.
func NewColdLimiter(share func(replica *roster.Replica) float64, start time.Time) *ColdLimiter {
	return &ColdLimiter{share: share, start: start, last: map[ident.ServerID]time.Time{}}
}

// Allows reports whether a request may go to the cold server now.
func (g *ColdLimiter) Allows(now time.Time, replica *roster.Replica) bool {
	rate := g.share(replica)
	if math.IsInf(rate, 1) {
		return true
	}
	if rate <= 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	last, sent := g.last[replica.ID]
	if !sent {
		last = g.start
	}
	return now.Sub(last).Seconds() >= 1/rate
}

// Sent notes that a request goes to the cold server.
func (g *ColdLimiter) Sent(now time.Time, id ident.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last[id] = now
}

// Retain forgets the servers for which keep is false.
func (g *ColdLimiter) Retain(keep func(id ident.ServerID) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	coll.Retain(g.last, keep)
}
