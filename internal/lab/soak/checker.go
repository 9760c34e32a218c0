package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Names of promises in findings.
const (
	Mixed   = "mixed"   // an answer belongs to another request or is incomplete
	Unasked = "unasked" // a server got a request or body that no caller sent
	Twice   = "twice"   // a non-idempotent request ran more than once
	Denied  = "denied"  // a valid request was rejected permanently
	Refused = "refused" // a request ran although its answer said that it had not
	Budget  = "budget"  // too many attempts, or more time passed on than was left
	Gone    = "gone"    // work continued after the caller had left
	Lost    = "lost"    // a request that a VM had read got no answer
	Late    = "late"    // no answer within the route's timeout
	Drain   = "drain"   // requests reached a server that was draining or gone
	Evac    = "evac"    // requests reached a zone that was out
	Config  = "config"  // an outdated configuration was used
	Ended   = "ended"   // a process exited by itself, or did not stop in time
	Recover = "recover" // the fleet did not recover after the faults
	Quiet   = "quiet"   // requests reached a server that had asked for none
	Limit   = "limit"   // a server got more requests than the limit that it had named
	Key     = "key"     // a request ran with a key that is not in force
	// OverQuota: more requests of a tenant ran than its quota allows.
	OverQuota = "quota"
	// BadRollout: a bad version got too much or won, or servers ended with requests in flight.
	BadRollout = "rollout"
	Deadly     = "deadly" // a request that ends servers was sent to servers again and again
)

// Tolerances of promises that the users' rules let be missed a few times.
const (
	goneTolerance = 3
	// goneShare is the tolerated share of work that continues after its caller left,
	// of the work that would have continued if nothing was cancelled.
	goneShare     = 0.25
	lostTolerance = 3
	lateTolerance = 8
	// lateShare is the tolerated share of unanswered requests, of those that outlasted
	// their timeout.
	lateShare = 0.25
	// deadlineTolerance is the number of requests that may be passed on with too much
	// time left, and deadlineSlack the excess that does not count.
	deadlineTolerance = 20
	deadlineSlack     = 500 * time.Millisecond
	// quietTolerance is the number of requests that may arrive in a quiet period, and
	// quietDelay the time after the notice from which they count.
	quietTolerance = 2
	quietDelay     = 500 * time.Millisecond
	// limitDelay is the time after an answer that names a limit from which the arrivals
	// on its connection count.
	limitDelay = 500 * time.Millisecond
)

// Checker finds broken promises from the events that callers and backend servers
// report. It is safe for concurrent use.
type Checker struct {
	bounds Bounds
	faults *FaultLog

	mu       sync.Mutex
	versions []Version
	requests map[string]*request
	// vms holds the VMs that got requests.
	vms      coll.Set[ident.VMID]
	replies  map[string]Reply
	services map[ident.ServiceID]*traffic
	// leavingSince holds the time since which a server drains or is gone, outSince the
	// time since which a zone is out.
	leavingSince map[ident.ServerID]time.Time
	zones        map[ident.ServerID]ident.Zone
	outSince     map[ident.Zone]time.Time
	// notices holds the notices of servers by connection, because only the connection
	// identifies the VM that received them.
	notices map[string]*noticeState
	limits  map[ident.ServerID]*limitState
	// newestSeen is the newest version that a process is known to have used, and when.
	newestSeen map[process]observation
	// deadly holds the requests that end backend servers, by name.
	deadly  map[string]*deadlyState
	tenants map[ident.TenantID]*tenant
	// rollouts holds the last roll-out of each service, and inFlight the requests at servers.
	rollouts   map[ident.ServiceID]*rollout
	inFlight   coll.Set[*Arrival]
	findings   []Finding
	exceptions map[string]int
	// overdue counts the requests that outlasted their timeout, unanswered those of
	// them that had no answer within bounds.Late after it.
	overdue, unanswered int
	// outlasting counts the runs that would have continued beyond bounds.Gone after
	// their caller left if not cancelled, outlasted those that did.
	outlasting, outlasted int
}

type process struct {
	vm   ident.VMID
	boot int
}

// noticeState is the content of the notices that a VM received on a connection.
type noticeState struct {
	leavingAt time.Time
	// quietFrom and quietUntil bound the period in which requests are counted.
	quietFrom, quietUntil time.Time
	requests              int
	// limitedFrom is the time from which arrivals count against the server's limit.
	limitedFrom time.Time
}

// limitState is the limit that a server names at present, in requests per second.
type limitState struct {
	limit    float64
	since    time.Time
	arrivals []time.Time
}

type observation struct {
	version ident.Version
	at      time.Time
}

// request is the recorded state of one attempt of a caller.
type request struct {
	Attempt
	arrivals []Arrival
	// ran counts the runs by service.
	ran      map[ident.ServiceID]int
	answer   *Answer
	leftAt   time.Time
	hadExtra coll.Set[ident.ServiceID]
}

// traffic is the traffic of a service: the times of the requests that may be routed
// to it, and the arrivals beyond the first of each.
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

// NewChecker returns a checker that excuses exceptions during the faults in the log.
func NewChecker(bounds Bounds, faults *FaultLog) *Checker {
	return &Checker{
		bounds:       bounds,
		faults:       faults,
		requests:     map[string]*request{},
		vms:          coll.NewSet[ident.VMID](),
		replies:      map[string]Reply{},
		services:     map[ident.ServiceID]*traffic{},
		leavingSince: map[ident.ServerID]time.Time{},
		zones:        map[ident.ServerID]ident.Zone{},
		outSince:     map[ident.Zone]time.Time{},
		newestSeen:   map[process]observation{},
		notices:      map[string]*noticeState{},
		limits:       map[ident.ServerID]*limitState{},
		deadly:       map[string]*deadlyState{},
		tenants:      map[ident.TenantID]*tenant{},
		rollouts:     map[ident.ServiceID]*rollout{},
		inFlight:     coll.NewSet[*Arrival](),
		exceptions:   map[string]int{},
	}
}

// Findings returns the findings so far.
func (r *Checker) Findings() []Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.findings)
}

// AddFinding adds a finding made outside the checker.
func (r *Checker) AddFinding(promise, subject, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addFindingf(promise, subject, "%s", text)
}

// VersionAccepted records a configuration that the store accepted.
func (r *Checker) VersionAccepted(v Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, v)
}

// SetZone records the zone of a backend server.
func (r *Checker) SetZone(server ident.ServerID, zone ident.Zone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zones[server] = zone
}

// SetLeaving records the time at which the store accepted that a server drains or is
// gone. A zero time records that it is back.
func (r *Checker) SetLeaving(server ident.ServerID, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavingSince[server] = at
}

// NoticeSent records a notice. It is called before the server sends it.
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
	if n.Limited && known.limitedFrom.IsZero() {
		known.limitedFrom = n.At.Add(limitDelay)
	}
	if n.Quiet > 0 {
		known.quietFrom, known.quietUntil, known.requests = n.At.Add(quietDelay), n.At.Add(n.Quiet), 0
	}
}

// SetLimit records that a server names a limit in all its answers from now on. A limit
// below 0 records that it names none.
func (r *Checker) SetLimit(server ident.ServerID, limit float64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.limits, server)
	if limit >= 0 {
		r.limits[server] = &limitState{limit: limit, since: at}
	}
}

// SetZoneOut records the time at which the store accepted that a zone is out. A zero
// time records that it is back.
func (r *Checker) SetZoneOut(zone ident.Zone, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outSince[zone] = at
}

// Sent records a request of a caller. It is called before the caller sends it.
func (r *Checker) Sent(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms.Add(a.VM)
	r.requests[a.ID] = &request{Attempt: a, ran: map[ident.ServiceID]int{}, hadExtra: coll.NewSet[ident.ServiceID]()}
	for _, service := range r.everServed(a.Route.Name) {
		t := r.trafficOf(service)
		t.requests = append(t.requests, a.SentAt)
	}
}

// CallerLeft records that the caller of a request closed its connection.
func (r *Checker) CallerLeft(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		q.leftAt = at
	}
}

// Replied records a reply. It is called before the backend server sends it.
func (r *Checker) Replied(reply Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies[reply.Signature] = reply
	r.countResponse(reply)
}

// Arrived records and checks the arrival of a request at a backend server.
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
	r.checkTenant(q, a)
	r.checkFallback(q, a)
	r.checkNotices(q, a)
	r.checkLimit(q, a)
	r.checkDeadly(q, a)
	r.checkRollout(q, a)
	if r.boundsApply(string(q.VM), a.At) && (a.Sender == "" || r.boundsApply(string(a.Sender), a.At)) && r.faults.NoUnplannedBetween(string(a.Server), a.At.Add(-r.bounds.Contact), a.At) {
		r.checkTimeLeft(q, a)
		r.checkAvailability(q, a)
		r.checkConfig(q, a)
	}
}

// Worked records that a server ended its work on a request at ended, and checks that
// work for callers that left is cancelled. Without cancellation the work would have
// lasted until planned.
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

// Answered records and checks the answer that a caller got.
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
// succeeded. Requests whose callers left, deadly ones, those with an unknown key and those that a
// quota refuses don't count.
func (r *Checker) Served(from, to time.Time) (sent, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.requests {
		if q.SentAt.Before(from) || q.SentAt.After(to) || !q.leftAt.IsZero() || q.Deadly != "" || q.KeyUnknown || r.isOverQuota(q) {
			continue
		}
		sent++
		if q.answer != nil && q.answer.Status/100 == 2 {
			served++
		}
	}
	return sent, served
}

// Summary describes in one line how much was checked.
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

// serves reports whether a version routes requests of a route to a service.
func (v *Version) serves(route string, service ident.ServiceID) bool {
	return v.Single[route] == service || slices.Contains(v.Shards[route], service)
}

// everServed returns the services to which any version so far routes a route.
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

// boundsApply reports whether a VM has to keep all bounds at a moment: neither it nor
// the store had a fault during bounds.Contact before.
func (r *Checker) boundsApply(vm string, at time.Time) bool {
	from := at.Add(-r.bounds.Contact)
	return r.faults.NoneBetween(vm, from, at) && r.faults.NoneBetween(Store, from, at)
}

func (r *Checker) addFindingf(promise, subject, format string, args ...any) {
	r.findings = append(r.findings, Finding{Promise: promise, Subject: subject, Text: fmt.Sprintf(format, args...), At: time.Now()})
}

// countExceptionf counts an exception and adds a finding if the count exceeds the
// tolerance.
func (r *Checker) countExceptionf(promise string, tolerance int, subject, format string, args ...any) {
	r.exceptions[promise]++
	if r.exceptions[promise] > tolerance {
		r.addFindingf(promise, subject, format, args...)
	}
}
