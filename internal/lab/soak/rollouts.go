package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// States in which a roll-out ends.
const (
	Completed  = "completed"
	RolledBack = "rolled_back"
)

// VersionKind says whether a version is good, or which of its responses are bad.
type VersionKind string

// Kinds of versions.
const (
	Good       VersionKind = "good"
	Fails      VersionKind = "fails"
	FailsLater VersionKind = "fails-later"
	FailsRoute VersionKind = "fails-route"
	Slow       VersionKind = "slow"
	SlowLater  VersionKind = "slow-later"
)

// versionKinds are the kinds that are drawn, good ones twice as often as each other kind.
var versionKinds = []VersionKind{Good, Fails, Good, FailsLater, Slow, FailsRoute, SlowLater}

// Pauses between the orders of roll-outs.
const minOrderPause, maxOrderPause = time.Second, 6 * time.Second

// PlanRollouts draws roll-outs from a seed: the same arguments give the same roll-outs. They have a
// random source of their own, so that the other faults of a seed are the same without them.
func PlanRollouts(seed uint64, length time.Duration, targets int) []Step {
	source := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	for at := draw(source, 0, maxPause); at < length; at += draw(source, minOrderPause, maxOrderPause) {
		steps = append(steps, Step{At: at, Fault: Rollout, Target: source.IntN(targets), Version: versionKinds[source.IntN(len(versionKinds))]})
	}
	return steps
}

const (
	// provingResponses is the number of bad responses from which a bad version must not be
	// completed, if those of the other versions are fewer than faultyShare of their responses:
	// otherwise faults of the servers hide which version is bad.
	provingResponses = 20
	faultyShare      = 0.1
)

// rollout is what servers have seen of one roll-out.
type rollout struct {
	version    string
	isBad      bool
	at         time.Time
	deadline   time.Time
	endedAt    time.Time
	state      string
	next, rest versionTraffic
	// arrivals counts the requests until the deadline, exposed those of them to the new version,
	// and exposedInContact those of these from VMs in contact.
	arrivals, exposed, exposedInContact int
	// provedAt is when the new version had sent bounds.ExposureSlack bad responses, or zero.
	provedAt time.Time
}

// versionTraffic counts the responses of servers of a version.
type versionTraffic struct {
	responses, bad int
}

// RolloutOrdered records that operators order a roll-out of a version, which is bad if any of its
// responses are.
func (r *Checker) RolloutOrdered(service ident.ServiceID, version string, isBad bool, at time.Time, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rollouts[service] = &rollout{version: version, isBad: isBad, at: at, deadline: at.Add(duration)}
}

// StoreRestored records that the store is about to come back from an older copy. It may hold an earlier
// order of a service whose roll-out has ended, until operators write again.
func (r *Checker) StoreRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.rollouts, func(_ ident.ServiceID, o *rollout) bool { return !o.endedAt.IsZero() })
}

// Accepted records that a request is in flight at a server until the returned function is called.
func (r *Checker) Accepted(a Arrival) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight.Add(&a)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inFlight.Remove(&a)
	}
}

// RolloutEnded checks a roll-out whose state has been written, or that has none (an empty state),
// and describes it in one line.
func (r *Checker) RolloutEnded(service ident.ServiceID, state string, at time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.rollouts[service]
	o.state, o.endedAt = state, at
	for _, a := range coll.Sorted(coll.NewSet(r.losingInFlight(service, o)...)) {
		r.addFindingf(BadRollout, string(service), "in flight when the roll-out of %s is %s: %s", o.version, state, a)
	}
	line := fmt.Sprintf("roll-out of %s to %s (bad: %t): %q after %v, due after %v; %d of %d requests exposed, %d by VMs in contact; %d of %d bad, others %d of %d",
		service, o.version, o.isBad, state, at.Sub(o.at).Round(time.Millisecond), o.deadline.Sub(o.at), o.exposed, o.arrivals, o.exposedInContact, o.next.bad, o.next.responses, o.rest.bad, o.rest.responses)
	if !o.isBad || !o.isProvable() {
		return line
	}
	if float64(o.exposed) > r.bounds.ExposureShare*float64(o.arrivals)+float64(r.bounds.ExposureSlack) {
		r.addFindingf(BadRollout, string(service), "a bad version got too many requests: %s", line)
	}
	if state == Completed && o.next.bad >= provingResponses {
		r.addFindingf(BadRollout, string(service), "a bad version is completed: %s", line)
	}
	return line
}

// isProvable reports whether the other versions have few enough bad responses to show that the new
// one is bad.
func (o *rollout) isProvable() bool {
	return float64(o.rest.bad) <= faultyShare*float64(o.rest.responses)
}

// loses reports whether a roll-out has ended and the version of a request lost.
func (o *rollout) loses(version string) bool {
	return o.state == Completed && version != o.version || o.state == RolledBack && version == o.version
}

// losingInFlight lists the requests in flight at the servers of the losing version.
func (r *Checker) losingInFlight(service ident.ServiceID, o *rollout) []string {
	var found []string
	for a := range r.inFlight {
		if a.Service == service && o.loses(a.Version) && !r.wasHeldUp(*a) {
			found = append(found, fmt.Sprintf("%s at %s (%s) from %s since %v", a.ID, a.Server, a.Version, a.Sender, time.Since(a.At).Round(time.Millisecond)))
		}
	}
	return found
}

// wasHeldUp reports whether a link may have held up a request or its end.
func (r *Checker) wasHeldUp(a Arrival) bool {
	from := time.Now().Add(-r.bounds.Contact)
	return !r.faults.NoneBetween(Links(a.Server), from, time.Now()) || !r.faults.NoneBetween(Partition(a.Sender), from, time.Now())
}

// checkRollout counts a request to a service with a roll-out, and checks that it is not sent to a
// version that has lost or is known to be bad.
func (r *Checker) checkRollout(q *request, a Arrival) {
	o := r.rollouts[a.Service]
	if o == nil {
		return
	}
	sender := cmp.Or(a.Sender, q.VM)
	inContact := r.boundsApply(string(sender), a.At)
	o.count(a, inContact)
	switch {
	case r.wasHeldUp(a):
	case o.loses(a.Version) && a.At.After(o.endedAt):
		r.addFindingf(BadRollout, a.ID, "%s reaches %s (%s) of %s %v after the roll-out of %s was %s", sender, a.Server, a.Version, a.Service, a.At.Sub(o.endedAt), o.version, o.state)
	case inContact && a.Version == o.version && o.isProved() && a.At.Sub(o.provedAt) > r.bounds.RolloutBack:
		r.addFindingf(BadRollout, a.ID, "%s reaches %s (%s) of %s %v after bad response %d", sender, a.Server, a.Version, a.Service, a.At.Sub(o.provedAt), r.bounds.ExposureSlack)
	}
}

// count counts a request that arrives until the deadline.
func (o *rollout) count(a Arrival, inContact bool) {
	if a.At.After(o.deadline) {
		return
	}
	o.arrivals++
	if a.Version != o.version {
		return
	}
	o.exposed++
	if inContact {
		o.exposedInContact++
	}
}

// isProved reports whether the bad responses of the version have proved that it is bad.
func (o *rollout) isProved() bool {
	return o.isBad && o.isProvable() && !o.provedAt.IsZero()
}

// countResponse counts a response of a service with a roll-out.
func (r *Checker) countResponse(reply Reply) {
	o := r.rollouts[reply.Service]
	if o == nil || !o.endedAt.IsZero() {
		return
	}
	of := &o.rest
	if reply.Version == o.version {
		of = &o.next
	}
	of.responses++
	if !reply.Bad {
		return
	}
	if of.bad++; of == &o.next && of.bad == r.bounds.ExposureSlack {
		o.provedAt = time.Now()
	}
}

// isExposed reports whether a server runs the new version of a roll-out that has not ended. If a
// request ends such a server, that is evidence against the version and not against the request.
func (r *Checker) isExposed(q *request, server ident.ServerID) bool {
	for _, a := range q.arrivals {
		if o := r.rollouts[a.Service]; a.Server == server && o != nil && o.endedAt.IsZero() && a.Version == o.version {
			return true
		}
	}
	return false
}
