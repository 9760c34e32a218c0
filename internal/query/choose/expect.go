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
		return &expectedTimePolicy{options: o.withDefaults(), servers: map[ident.ServerID]*server{}}
	})
}

// maxReplicasOnStack is the number of replicas up to which a choice doesn't allocate
// memory.
const maxReplicasOnStack = 4

// expectedTimePolicy chooses the replica with the lowest expected completion time.
type expectedTimePolicy struct {
	options Options

	mu      sync.RWMutex
	servers map[ident.ServerID]*server

	average averageTime
}

// Choose compares all replicas while its data about them is recent, and two random ones
// otherwise, so that VMs with outdated data don't all choose the same replica. If one
// of the replicas is unreliable, or penalties make the choices of VMs differ, it always
// compares all. Servers that refused or didn't answer recently are used only if there
// are no others.
func (e *expectedTimePolicy) Choose(now time.Time, candidates []Candidate) int {
	var buffer [maxReplicasOnStack]int
	usable := e.usable(now, candidates, buffer[:0])
	if len(usable) == 1 {
		return usable[0]
	}
	count := len(usable)
	if !anyPenalty(candidates) && e.anyStale(now, candidates) && !e.anyUnreliable(now, candidates) {
		count = min(count, 2)
	}
	average := e.average.load()
	start := e.options.IntN(len(usable))
	best, lowest := usable[start], time.Duration(-1)
	for i := range count {
		index := usable[(start+i)%len(usable)]
		expectedTime := e.server(candidates[index].Server).expectedTime(now, average, e.options) + candidates[index].Penalty
		if lowest < 0 || expectedTime < lowest {
			best, lowest = index, expectedTime
		}
	}
	return best
}

// usable appends the indexes of the servers that are not in backoff, or of all servers
// if all are.
func (e *expectedTimePolicy) usable(now time.Time, candidates []Candidate, usable []int) []int {
	for i, c := range candidates {
		if !e.server(c.Server).inBackoff(now) {
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

func (e *expectedTimePolicy) Sent(now time.Time, id ident.ServerID) {
	e.server(id).sent(now)
}

func (e *expectedTimePolicy) Answered(now time.Time, id ident.ServerID, sample Sample) {
	if sample.Completed {
		e.average.add(sample.ServiceTime)
	}
	e.server(id).answered(now, sample)
}

func (e *expectedTimePolicy) Abandoned(now time.Time, id ident.ServerID, elapsed time.Duration) {
	e.server(id).abandoned(now, elapsed)
}

func (e *expectedTimePolicy) Retain(keep func(ident.ServerID) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	coll.Retain(e.servers, keep)
}

func anyPenalty(candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Penalty > 0 })
}

func (e *expectedTimePolicy) anyStale(now time.Time, candidates []Candidate) bool {
	for _, c := range candidates {
		if e.server(c.Server).stale(now, e.options.StaleAfter) {
			return true
		}
	}
	return false
}

func (e *expectedTimePolicy) anyUnreliable(now time.Time, candidates []Candidate) bool {
	for _, c := range candidates {
		if e.server(c.Server).unreliable(now, e.options) {
			return true
		}
	}
	return false
}

func (e *expectedTimePolicy) server(id ident.ServerID) *server {
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
