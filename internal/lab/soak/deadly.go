package soak

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// deadlyEnds is the number of backend servers that a request may end before it counts as
	// known, and deadlyTolerance the number of repeats that may reach servers later than
	// bounds.Contact after that.
	deadlyEnds      = 3
	deadlyTolerance = 3
)

// deadlyState is what became of the repeats of one deadly request.
type deadlyState struct {
	ended coll.Set[ident.ServerID]
	// knownAt is when the last of the first deadlyEnds servers ended, or zero.
	knownAt time.Time
	// repeats holds the ids of the repeats that reached servers too late.
	repeats coll.Set[string]
	// exposed counts the servers of versions that are rolled out. They don't make it known.
	exposed int
}

// EndedBy records that a backend server ended while it ran a deadly request.
func (r *Checker) EndedBy(id string, server ident.ServerID, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	if q == nil || q.Deadly == "" {
		return
	}
	d := r.deadly[q.Deadly]
	if d == nil {
		d = &deadlyState{ended: coll.NewSet[ident.ServerID](), repeats: coll.NewSet[string]()}
		r.deadly[q.Deadly] = d
	}
	if r.isExposed(q, server) {
		d.exposed++
		return
	}
	d.ended.Add(server)
	if len(d.ended) == deadlyEnds && d.knownAt.IsZero() {
		d.knownAt = at
	}
}

// EndedByDeadly returns the number of backend servers that deadly requests ended.
func (r *Checker) EndedByDeadly() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, d := range r.deadly {
		total += len(d.ended) + d.exposed
	}
	return total
}

// checkDeadly checks that few repeats of a deadly request reach servers once it is known. A
// repeat that a disturbed link may have held up is not counted.
func (r *Checker) checkDeadly(q *request, a Arrival) {
	d := r.deadly[q.Deadly]
	if q.Deadly == "" || d == nil || d.knownAt.IsZero() || a.At.Sub(d.knownAt) <= r.bounds.Contact {
		return
	}
	if !r.boundsApply(string(q.VM), a.At) || a.Sender != "" && !r.boundsApply(string(a.Sender), a.At) || d.repeats.Has(q.ID) {
		return
	}
	if !r.faults.NoUnplannedBetween(Links(a.Server), a.At.Add(-r.bounds.Contact), a.At) {
		return
	}
	d.repeats.Add(q.ID)
	if len(d.repeats) > deadlyTolerance {
		r.addFindingf(Deadly, q.ID, "repeat %d of %s reaches %s from %s %v after it had ended %d servers, %d in all",
			len(d.repeats), q.Deadly, a.Server, q.VM, a.At.Sub(d.knownAt), deadlyEnds, len(d.ended))
	}
}
