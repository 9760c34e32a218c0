package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Promises, as findings name them.
const (
	Mixed   = "mixed"   // an answer is not that of its request, or not whole
	Unasked = "unasked" // a server got what no caller sent
	Twice   = "twice"   // a request that may run once ran twice
	Denied  = "denied"  // a proper request was rejected for good
	Refused = "refused" // a request ran that was said not to have run
	Budget  = "budget"  // too many attempts, or too much time handed on
	Gone    = "gone"    // work for a caller that left
	Lost    = "lost"    // a request that was read has no answer
	Late    = "late"    // no answer by the time of the route
	Drain   = "drain"   // work for a server that leaves
	Evac    = "evac"    // work for a zone that is out
	Config  = "config"  // an old configuration was used
	Ended   = "ended"   // a process ended by itself, or did not stop in time
	Recover = "recover" // the fleet does not serve again
	Quiet   = "quiet"   // work for a server that asked for quiet
)

// Tolerances of promises that a few exceptions do not break, as the users' rules
// state them.
const (
	goneTolerance = 3
	// goneShare is the share of the work that would have gone on for callers that
	// left, from which it counts.
	goneShare     = 0.25
	lostTolerance = 3
	lateTolerance = 8
	// lateShare is the share of the requests beyond their time from which they
	// count.
	lateShare = 0.25
	// deadlineTolerance is the number of requests that may be handed on with too
	// much time, and deadlineSlack the excess that does not count.
	deadlineTolerance = 20
	deadlineSlack     = 500 * time.Millisecond
	// quietTolerance is the number of requests that may come in a quiet time, and
	// quietDelay the time after which it binds.
	quietTolerance = 2
	quietDelay     = 500 * time.Millisecond
)

// Referee decides from what callers and backend servers report which promises
// were broken. It is safe for concurrent use.
type Checker struct {
	bounds Bounds
	faults *FaultLog

	mu       sync.Mutex
	versions []Version
	requests map[string]*request
	replies  map[string]Reply
	services map[ident.ServiceID]*traffic
	// leaving holds the time since which a server drains or is gone, out that
	// since which a zone is out.
	leavingSince map[ident.ServerID]time.Time
	zones        map[ident.ServerID]ident.Zone
	outSince     map[ident.Zone]time.Time
	// noticed holds what servers said of themselves, by connection: that of a VM which is
	// known by nothing else.
	notices map[string]*noticeState
	// seen is the highest version whose effect was seen of a process, and when.
	newestSeen map[process]observation
	findings   []Finding
	exceptions map[string]int
	// overdue counts the requests that outlasted their route, unanswered those
	// that had no answer soon after.
	overdue, unanswered int
	// outlasting counts the work that would have gone on long after its caller
	// left, outlasted that which did.
	outlasting, outlasted int
}

type process struct {
	vm   ident.VMID
	boot int
}

// noticed is what the VM at the other end of a connection was told.
type noticeState struct {
	leavingAt time.Time
	// quietFrom and quietUntil bound the time in which requests count.
	quietFrom, quietUntil time.Time
	requests              int
}

type observation struct {
	version ident.Version
	at      time.Time
}

// request is what is known of one attempt of a caller.
type request struct {
	Attempt
	arrivals []Arrival
	// ran counts the runs by service.
	ran      map[ident.ServiceID]int
	answer   *Answer
	leftAt   time.Time
	hadExtra coll.Set[ident.ServiceID]
}

// traffic is what a service got: the times of the requests for it and the
// arrivals beyond the first of each.
type traffic struct {
	requests []time.Time
	extras   []extra
}

// extra is an arrival beyond the first of its request.
type extra struct {
	at time.Time
	by process
}

// String returns the name of the process in findings.
func (p process) String() string {
	return fmt.Sprintf("%s/%d", p.vm, p.boot)
}

// NewReferee returns a referee that takes troubles from calm.
func NewChecker(bounds Bounds, faults *FaultLog) *Checker {
	return &Checker{
		bounds:       bounds,
		faults:       faults,
		requests:     map[string]*request{},
		replies:      map[string]Reply{},
		services:     map[ident.ServiceID]*traffic{},
		leavingSince: map[ident.ServerID]time.Time{},
		zones:        map[ident.ServerID]ident.Zone{},
		outSince:     map[ident.Zone]time.Time{},
		newestSeen:   map[process]observation{},
		notices:      map[string]*noticeState{},
		exceptions:   map[string]int{},
	}
}

// Findings returns the promises that were broken so far.
func (r *Checker) Findings() []Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.findings)
}

// Find adds a finding that another part made.
func (r *Checker) AddFinding(promise, subject, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addFindingf(promise, subject, "%s", text)
}

// Accepted notes a configuration that the store accepted.
func (r *Checker) VersionAccepted(v Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, v)
}

// Placed notes the zone of a backend server.
func (r *Checker) SetZone(server ident.ServerID, zone ident.Zone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zones[server] = zone
}

// Leaving notes that the store accepted that a server drains or is gone, or with
// a zero time that it is back.
func (r *Checker) SetLeaving(server ident.ServerID, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavingSince[server] = at
}

// Told notes what a backend server says of itself, before it does.
func (r *Checker) NoticeSent(n Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.notices[n.Conn]
	if known == nil {
		known = &noticeState{}
		r.notices[n.Conn] = known
	}
	if n.Leaving && known.leavingAt.IsZero() {
		known.leavingAt = n.At
	}
	if n.Quiet > 0 {
		known.quietFrom, known.quietUntil, known.requests = n.At.Add(quietDelay), n.At.Add(n.Quiet), 0
	}
}

// ZoneOut notes that the store accepted that a zone is out, or with a zero time
// that it is back.
func (r *Checker) SetZoneOut(zone ident.Zone, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outSince[zone] = at
}

// Sent notes that a caller sends a request.
func (r *Checker) Sent(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[a.ID] = &request{Attempt: a, ran: map[ident.ServiceID]int{}, hadExtra: coll.NewSet[ident.ServiceID]()}
	for _, service := range r.everServed(a.Route.Name) {
		t := r.trafficOf(service)
		t.requests = append(t.requests, a.SentAt)
	}
}

// Left notes that the caller of a request closed its connection.
func (r *Checker) CallerLeft(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		q.leftAt = at
	}
}

// Replied notes what a backend server answers, before it does.
func (r *Checker) Replied(reply Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies[reply.Signature] = reply
}

// Arrived notes a request at a backend server.
func (r *Checker) Arrived(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[a.ID]
	if q == nil {
		r.addFindingf(Unasked, a.ID, "server %s got a request that nobody sent", a.Server)
		return
	}
	if a.Body != q.Body {
		r.addFindingf(Unasked, a.ID, "server %s got another body", a.Server)
	}
	q.arrivals = append(q.arrivals, a)
	if a.Ran {
		q.ran[a.Service]++
	}
	r.checkExtra(q, a)
	if a.Misdirected {
		return
	}
	r.checkRuns(q, a)
	r.checkFallback(q, a)
	r.checkNotices(q, a)
	if r.boundsApply(string(q.VM), a.At) && r.faults.NoUnplannedBetween(string(a.Server), a.At.Add(-r.bounds.Contact), a.At) {
		r.checkTimeLeft(q, a)
		r.checkAvailability(q, a)
		r.checkConfig(q, a)
	}
}

// Worked notes that a server ended its work on a request at ended; it would have
// taken until planned.
func (r *Checker) Worked(id string, planned, ended time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	if q == nil || q.leftAt.IsZero() || !q.Route.Idempotent || !r.faults.NoneBetween(string(q.VM), q.SentAt.Add(-r.bounds.Contact), ended) {
		return
	}
	limit := q.leftAt.Add(r.bounds.Gone)
	if planned.Before(limit) {
		return
	}
	r.outlasting++
	if ended.Before(limit) {
		return
	}
	r.outlasted++
	if r.outlasted > goneTolerance && float64(r.outlasted) > goneShare*float64(r.outlasting) {
		r.addFindingf(Gone, id, "%d of %d pieces of work go on %v after their callers left", r.outlasted, r.outlasting, r.bounds.Gone)
	}
}

// Answered notes what the caller of a request got.
func (r *Checker) Answered(id string, answer Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	if q == nil {
		return
	}
	q.answer = &answer
	r.checkLate(q)
	switch {
	case answer.Cut:
		r.checkLost(q)
	case answer.Status/100 == 2:
		r.checkSuccess(q)
	default:
		r.checkFailure(q)
	}
}

// Served returns how many requests were sent in [from, to], and how many of them
// were answered with success.
func (r *Checker) Served(from, to time.Time) (sent, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.requests {
		if q.SentAt.Before(from) || q.SentAt.After(to) || !q.leftAt.IsZero() {
			continue
		}
		sent++
		if q.answer != nil && q.answer.Status/100 == 2 {
			served++
		}
	}
	return sent, served
}

// Summary tells how much was checked.
func (r *Checker) Summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	arrivals, statuses := 0, map[int]int{}
	for _, q := range r.requests {
		arrivals += len(q.arrivals)
		if q.answer != nil {
			statuses[q.answer.Status]++
		}
	}
	return fmt.Sprintf("%d requests, %d arrivals, answers by status %v, near misses %v", len(r.requests), arrivals, statuses, r.exceptions)
}

// serves reports whether a version sends a route to a service.
func (v *Version) serves(route string, service ident.ServiceID) bool {
	return v.Single[route] == service || slices.Contains(v.Shards[route], service)
}

// mayServe returns the services to which any version sends a route.
func (r *Checker) everServed(route string) []ident.ServiceID {
	services := coll.NewSet[ident.ServiceID]()
	for i := range r.versions {
		v := &r.versions[i]
		if s, ok := v.Single[route]; ok {
			services.Add(s)
		}
		for _, s := range v.Shards[route] {
			services.Add(s)
		}
	}
	var list []ident.ServiceID
	for s := range services {
		list = append(list, s)
	}
	return list
}

func (r *Checker) trafficOf(service ident.ServiceID) *traffic {
	t := r.services[service]
	if t == nil {
		t = &traffic{}
		r.services[service] = t
	}
	return t
}

// inTouch reports whether a VM has to keep all bounds at a moment.
func (r *Checker) boundsApply(vm string, at time.Time) bool {
	from := at.Add(-r.bounds.Contact)
	return r.faults.NoneBetween(vm, from, at) && r.faults.NoneBetween(Store, from, at)
}

func (r *Checker) addFindingf(promise, subject, format string, args ...any) {
	r.findings = append(r.findings, Finding{Promise: promise, Subject: subject, Text: fmt.Sprintf(format, args...), At: time.Now()})
}

// findBeyondf counts an exception and makes it a finding beyond the tolerance.
func (r *Checker) countExceptionf(promise string, tolerance int, subject, format string, args ...any) {
	r.exceptions[promise]++
	if r.exceptions[promise] > tolerance {
		r.addFindingf(promise, subject, format, args...)
	}
}
