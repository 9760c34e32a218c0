package choose

import (
	"slices"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("expect", func(o Options) Policy {
		return &expect{options: o.withDefaults(), servers: map[ident.ServerID]*server{}}
	})
}

// usualReplicas is the number of replicas up to which a choice does not
// allocate.
const usualReplicas = 4

// expect chooses the replica with the lowest expected completion time.
type expect struct {
	options Options

	mu      sync.RWMutex
	servers map[ident.ServerID]*server

	average averageTime
}

// Choose compares all replicas while it knows them well, and two random ones
// otherwise, so that entries with old knowledge do not all take the same. While one
// of them is unreliable, or a detour sets the entries' choices apart, all are compared
// in any case. Servers that refused or did not answer lately are the last resort.
func (e *expect) Choose(now time.Time, candidates []Candidate) int {
	var room [usualReplicas]int
	usable := e.usable(now, candidates, room[:0])
	if len(usable) == 1 {
		return usable[0]
	}
	count := len(usable)
	if !anyDetour(candidates) && e.anyStale(now, candidates) && !e.anyUnreliable(now, candidates) {
		count = min(count, 2)
	}
	average := e.average.load()
	start := e.options.IntN(len(usable))
	best, lowest := usable[start], time.Duration(-1)
	for i := range count {
		index := usable[(start+i)%len(usable)]
		expected := e.server(candidates[index].Server).expected(now, average, e.options) + candidates[index].Penalty
		if lowest < 0 || expected < lowest {
			best, lowest = index, expected
		}
	}
	return best
}

// usable appends the indexes of the servers that are not avoided, or of all if
// all are.
func (e *expect) usable(now time.Time, candidates []Candidate, usable []int) []int {
	for i, c := range candidates {
		if !e.server(c.Server).avoided(now) {
			usable = append(usable, i)
		}
	}
	if len(usable) > 0 {
		return usable
	}
	for i := range candidates {
		usable = append(usable, i)
	}
	return usable
}

func (e *expect) Sent(now time.Time, id ident.ServerID) {
	e.server(id).sent(now)
}

func (e *expect) Answered(now time.Time, id ident.ServerID, sample Sample) {
	if sample.Completed {
		e.average.add(sample.ServiceTime)
	}
	e.server(id).answered(now, sample)
}

func (e *expect) Abandoned(now time.Time, id ident.ServerID, elapsed time.Duration) {
	e.server(id).abandoned(now, elapsed)
}

func (e *expect) Retain(keep func(ident.ServerID) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	coll.Retain(e.servers, keep)
}

func anyDetour(candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Penalty > 0 })
}

func (e *expect) anyStale(now time.Time, candidates []Candidate) bool {
	for _, c := range candidates {
		if e.server(c.Server).stale(now, e.options.StaleAfter) {
			return true
		}
	}
	return false
}

func (e *expect) anyUnreliable(now time.Time, candidates []Candidate) bool {
	for _, c := range candidates {
		if e.server(c.Server).unreliable(now, e.options) {
			return true
		}
	}
	return false
}

func (e *expect) server(id ident.ServerID) *server {
	e.mu.RLock()
	known := e.servers[id]
	e.mu.RUnlock()
	if known != nil {
		return known
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.servers[id] == nil {
		e.servers[id] = &server{}
	}
	return e.servers[id]
}
