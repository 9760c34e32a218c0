package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// checkRuns checks that a request ran no more often than allowed, on a service of its
// route, and neither after a refusal nor long after its caller left.
func (r *Checker) checkRuns(q *request, a Arrival) {
	if !a.Ran {
		return
	}
	if runs := q.runs(); !q.Route.Idempotent && runs > 1 {
		r.addFindingf(Twice, a.ID, "%d runs, the last at %s", runs, a.Server)
	}
	if q.ran[a.Service] > q.Route.Attempts {
		r.addFindingf(Budget, a.ID, "%d runs of one shard, %d are allowed", q.ran[a.Service], q.Route.Attempts)
	}
	if q.answer != nil && q.answer.Refused {
		r.addFindingf(Refused, a.ID, "runs at %s after it was refused", a.Server)
	}
	// The store may accept a version before VersionAccepted is called for it, so any
	// version counts.
	if len(r.versions) > 0 && !slices.Contains(r.everServed(q.Route.Name), a.Service) {
		r.addFindingf(Config, a.ID, "service %s never served route %s", a.Service, q.Route.Name)
	}
	if !q.leftAt.IsZero() && a.At.Sub(q.leftAt) > r.bounds.Gone && r.faults.NoneBetween(string(q.VM), a.At.Add(-r.bounds.Contact), a.At) {
		r.countExceptionf(Gone, goneTolerance, a.ID, "reaches %s %v after its caller left", a.Server, a.At.Sub(q.leftAt))
	}
}

// checkExtra checks that the arrivals at a service beyond the first of each request
// stay within the retry budget.
func (r *Checker) checkExtra(q *request, a Arrival) {
	if !q.hadExtra.Has(a.Service) {
		q.hadExtra.Add(a.Service)
		return
	}
	t := r.trafficOf(a.Service)
	t.extras = append(t.extras, extra{at: a.At, by: process{q.VM, q.Boot}})
	window := r.bounds.ExtraWindow
	maxRequests := 0
	for _, back := range []time.Duration{0, window / 2, window} {
		requests := eventsBetween(t.requests, func(at time.Time) time.Time { return at }, a.At.Add(-back-window), a.At.Add(-back))
		maxRequests = max(maxRequests, len(requests))
	}
	extras := eventsBetween(t.extras, func(e extra) time.Time { return e.at }, a.At.Add(-window), a.At)
	if bound := r.bounds.ExtraShare*float64(maxRequests) + r.bounds.ExtraSlack; float64(len(extras)) > bound {
		r.addFindingf(Budget, a.ID, "service %s got %d extra arrivals in %v for %d requests, %.1f are allowed; by process: %s",
			a.Service, len(extras), window, maxRequests, bound, byProcess(extras))
	}
}

// byProcess lists how many extra arrivals each process sent.
func byProcess(extras []extra) string {
	counts := map[string]int{}
	for _, e := range extras {
		counts[e.by.String()]++
	}
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		texts = append(texts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(texts, ", ")
}

// checkTimeLeft checks that the VM passes on no more time than the request has left.
func (r *Checker) checkTimeLeft(q *request, a Arrival) {
	allowed := q.Deadline - a.At.Sub(q.SentAt) + deadlineSlack
	if !a.HasTimeLeft || a.TimeLeft > q.Deadline+deadlineSlack || len(q.arrivals) > 1 && a.TimeLeft > allowed {
		r.countExceptionf(Budget, deadlineTolerance, a.ID, "server %s may take %v (told: %t), %v are left", a.Server, a.TimeLeft, a.HasTimeLeft, allowed)
	}
}

// checkAvailability checks that the server is not draining or gone and that its zone
// is not out.
func (r *Checker) checkAvailability(q *request, a Arrival) {
	if since := r.leavingSince[a.Server]; !since.IsZero() && a.At.Sub(since) > r.bounds.Drain && q.SentAt.After(since) {
		r.addFindingf(Drain, a.ID, "from %s reaches %s %v after it left", q.VM, a.Server, a.At.Sub(since))
	}
	if since := r.outSince[r.zones[a.Server]]; !since.IsZero() && a.At.Sub(since) > r.bounds.Evacuate {
		r.addFindingf(Evac, a.ID, "from %s reaches %s %v after its zone was taken out", q.VM, a.Server, a.At.Sub(since))
	}
}

// checkNotices checks that a VM obeys the notices in the server's own answers. They
// reach it whether or not it is in contact with the store.
func (r *Checker) checkNotices(q *request, a Arrival) {
	n := r.notices[a.Conn]
	if n == nil {
		return
	}
	if !n.leavingAt.IsZero() && q.SentAt.Sub(n.leavingAt) > r.bounds.Drain {
		r.addFindingf(Drain, a.ID, "reaches %s %v after its answers said that it leaves", a.Server, a.At.Sub(n.leavingAt))
	}
	if a.At.After(n.quietFrom) && a.At.Before(n.quietUntil) {
		if n.requests++; n.requests > quietTolerance {
			r.addFindingf(Quiet, a.ID, "%d requests reach %s in a time in which it asked for none", n.requests, a.Server)
		}
	}
}

// checkLimit checks that the VMs that know the limit of a server keep to it together.
func (r *Checker) checkLimit(q *request, a Arrival) {
	n, l := r.notices[a.Conn], r.limits[a.Server]
	if n == nil || l == nil || n.limitedFrom.IsZero() || a.At.Before(n.limitedFrom) ||
		!r.faults.NoneBetween(string(q.VM), a.At.Add(-r.bounds.Contact), a.At) {
		return
	}
	l.arrivals = append(l.arrivals, a.At)
	window := r.bounds.LimitWindow
	got := len(eventsBetween(l.arrivals, func(at time.Time) time.Time { return at }, a.At.Add(-window), a.At))
	allowed := r.bounds.LimitFactor*l.limit*window.Seconds() + r.bounds.LimitSlack
	if a.At.Sub(l.since) >= r.bounds.Contact && float64(got) > allowed {
		r.addFindingf(Limit, a.ID, "%s, whose limit is %v per second, got %d requests in %v, %.1f are allowed", a.Server, l.limit, got, window, allowed)
	}
}

// checkConfig checks that the service belongs to a version that may still be used.
func (r *Checker) checkConfig(q *request, a Arrival) {
	_, newest := r.versionsServing(q, a)
	oldest := ident.Version(0)
	for i := range r.versions {
		if v := &r.versions[i]; q.SentAt.Sub(v.AckedAt) > r.bounds.Config {
			oldest = v.Number
		}
	}
	if newest < oldest {
		r.addFindingf(Config, a.ID, "%s used version %d, and %d is in force", q.VM, newest, oldest)
	}
}

// checkFallback checks that a process does not return to an older version later than
// bounds.Rollback after it used a newer one.
func (r *Checker) checkFallback(q *request, a Arrival) {
	by := process{q.VM, q.Boot}
	oldest, newest := r.versionsServing(q, a)
	if last := r.newestSeen[by]; newest < last.version && q.SentAt.Sub(last.at) > r.bounds.Rollback {
		r.addFindingf(Config, a.ID, "%s went back to version %d from %d", q.VM, newest, last.version)
	}
	if oldest > r.newestSeen[by].version {
		r.newestSeen[by] = observation{version: oldest, at: a.At}
	}
}

// versionsServing returns the oldest and the newest version that route a request to
// the service at which it arrived, or zeros if none does.
func (r *Checker) versionsServing(q *request, a Arrival) (oldest, newest ident.Version) {
	for i := range r.versions {
		v := &r.versions[i]
		if !v.serves(q.Route.Name, a.Service) {
			continue
		}
		if oldest == 0 {
			oldest = v.Number
		}
		newest = v.Number
	}
	return oldest, newest
}

// eventsBetween returns the events in (from, to], the last first. On a busy machine
// events are recorded out of order, by less than a second.
func eventsBetween[T any](events []T, at func(T) time.Time, from, to time.Time) []T {
	var found []T
	for _, event := range slices.Backward(events) {
		t := at(event)
		if t.After(from) && !t.After(to) {
			found = append(found, event)
		}
		if from.Sub(t) > time.Second {
			break
		}
	}
	return found
}
