package soak

import (
	"net/http"
	"slices"
	"strings"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// checkLate checks that a request was answered within its timeout and bounds.Late.
func (r *Checker) checkLate(q *request) {
	limit := min(q.Route.Timeout, q.Deadline)
	took := q.answer.At.Sub(q.SentAt)
	// The bounds have to apply to the VM when the answer becomes overdue, not when the
	// caller gives up: on a silent connection that is much later.
	if took < limit || !q.leftAt.IsZero() || !r.boundsApply(string(q.VM), q.SentAt.Add(limit+r.bounds.Late)) {
		return
	}
	r.overdue++
	if took < limit+r.bounds.Late {
		return
	}
	r.unanswered++
	if r.unanswered >= lateTolerance && float64(r.unanswered) > lateShare*float64(r.overdue) {
		r.addFindingf(Late, q.ID, "%d of %d requests have no answer %v after their time", r.unanswered, r.overdue, r.bounds.Late)
	}
}

// checkLost checks whether a connection may have ended without an answer.
func (r *Checker) checkLost(q *request) {
	at, vm := q.answer.At, string(q.VM)
	from := q.SentAt.Add(-r.bounds.Contact)
	if !q.leftAt.IsZero() || !r.faults.NoUnplannedBetween(vm, from, at) || !r.faults.NoUnplannedBetween(Store, from, at) {
		return
	}
	took := at.Sub(q.SentAt)
	wasSent := len(q.arrivals) > 0
	switch {
	case r.faults.PlannedBetween(vm, q.SentAt, at) && (wasSent || took > r.bounds.CloseRace):
		r.addFindingf(Lost, q.ID, "%s stops and cuts it off after %v, sent on: %t", q.VM, took, wasSent)
	case wasSent && q.ConnectionReused:
		r.countExceptionf(Lost, lostTolerance, q.ID, "%s cuts it off after %v", q.VM, took)
	}
}

// checkFailure checks an answer other than a success.
func (r *Checker) checkFailure(q *request) {
	answer := q.answer
	if answer.Refused && q.runs() > 0 {
		r.addFindingf(Refused, q.ID, "answered %d, and it ran", answer.Status)
	}
	for _, signature := range answer.Signatures {
		if reply, known := r.replies[signature]; !known || reply.Status != answer.Status || reply.ID != q.ID {
			r.addFindingf(Mixed, q.ID, "status %d with signature %q", answer.Status, signature)
		}
	}
	if answer.Status == http.StatusUnauthorized && r.mayBeUnauthorized(q) {
		return
	}
	if !answer.Refused && len(answer.Signatures) == 0 && answer.Status/100 != 5 {
		r.addFindingf(Denied, q.ID, "answered %d by %s", answer.Status, q.VM)
	}
}

// runs returns how many times a request ran, on all services.
func (q *request) runs() int {
	total := 0
	for _, n := range q.ran {
		total += n
	}
	return total
}

// checkSuccess checks that an answer consists of complete replies to its request, at
// most one of each service.
func (r *Checker) checkSuccess(q *request) {
	answer := q.answer
	if len(answer.Signatures) == 0 {
		r.addFindingf(Mixed, q.ID, "success without a signature")
		return
	}
	services := coll.NewSet[ident.ServiceID]()
	var parts []string
	for _, signature := range answer.Signatures {
		reply, known := r.replies[signature]
		if !known || reply.ID != q.ID || reply.Status/100 != 2 || !reply.Complete {
			r.addFindingf(Mixed, q.ID, "part %q is no whole answer to it: %+v", signature, reply)
			return
		}
		if services.Has(reply.Service) {
			r.addFindingf(Mixed, q.ID, "two parts of %s", reply.Service)
		}
		services.Add(reply.Service)
		parts = append(parts, reply.Body)
	}
	if q.Route.Limit == 0 {
		if answer.Body != parts[0] {
			r.addFindingf(Mixed, q.ID, "another body than that of %q", answer.Signatures[0])
		}
		return
	}
	r.checkSearch(q, services, strings.Join(parts, ""))
}

// checkSearch checks that the shards of a search's answer are those of one version,
// that they reach the route's coverage, and that the body is the merge of their hits.
func (r *Checker) checkSearch(q *request, services coll.Set[ident.ServiceID], records string) {
	answer := q.answer
	fits := slices.ContainsFunc(r.versions, func(v Version) bool {
		set := v.Shards[q.Route.Name]
		return len(set) == len(services)+answer.Missing && containsAll(set, services)
	})
	if !fits {
		r.addFindingf(Mixed, q.ID, "%d parts and %d missing are no set of any version", len(services), answer.Missing)
	}
	total := len(services) + answer.Missing
	if float64(len(services)) < q.Route.Coverage*float64(total) {
		r.addFindingf(Mixed, q.ID, "%d of %d shards are no success", len(services), total)
	}
	if want := greatest(records, q.Route.Limit); answer.Body != want {
		r.addFindingf(Mixed, q.ID, "the body is not the merge of its parts")
	}
}

// containsAll reports whether all services are in set.
func containsAll(set []ident.ServiceID, services coll.Set[ident.ServiceID]) bool {
	for service := range services {
		if !slices.Contains(set, service) {
			return false
		}
	}
	return true
}

// RecordSize is the size in bytes of one record of a search.
const RecordSize = 16

// greatest returns up to limit of the greatest records in descending order.
func greatest(records string, limit int) string {
	var all []string
	for ; len(records) >= RecordSize; records = records[RecordSize:] {
		all = append(all, records[:RecordSize])
	}
	slices.SortFunc(all, func(x, y string) int { return strings.Compare(y, x) })
	return strings.Join(all[:min(limit, len(all))], "")
}
