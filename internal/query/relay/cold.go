package relay

import (
	"math"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
)

// ColdLimiter limits the rate of requests to backend servers in cold start, so that
// all VMs together send no more than such a server can handle. It is safe for
// concurrent use.
type ColdLimiter struct {
	// rateOf returns the requests per second that this VM may send to a cold server: 0
	// for none, +Inf for no limit.
	rateOf func(replica *roster.Replica) float64
	// start is when this process started. It counts as a request to each server,
	// because the previous process of this VM may have sent one right before.
	start time.Time

	mu       sync.Mutex
	lastSent map[ident.ServerID]time.Time
}

// NewColdLimiter returns a limiter for a process that started at start. rateOf returns the
// requests per second that this VM may send to a cold server: 0 for none, +Inf for no
// limit.
func NewColdLimiter(rateOf func(replica *roster.Replica) float64, start time.Time) *ColdLimiter {
	return &ColdLimiter{rateOf: rateOf, start: start, lastSent: map[ident.ServerID]time.Time{}}
}

// Allows reports whether a request may be sent to the cold server now. It does not
// count one; Sent does.
func (l *ColdLimiter) Allows(now time.Time, replica *roster.Replica) bool {
	rate := l.rateOf(replica)
	if math.IsInf(rate, 1) {
		return true
	}
	if rate <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lastSent, sent := l.lastSent[replica.ID]
	if !sent {
		lastSent = l.start
	}
	return now.Sub(lastSent).Seconds() >= 1/rate
}

// Sent counts a request that is sent to the cold server at now.
func (l *ColdLimiter) Sent(now time.Time, id ident.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSent[id] = now
}

// Retain forgets the servers for which keep is false.
func (l *ColdLimiter) Retain(keep func(id ident.ServerID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	coll.Retain(l.lastSent, keep)
}
