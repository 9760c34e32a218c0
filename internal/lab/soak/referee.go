package soak

import (
	"fmt"
	"slices"
	"strings"
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
)

// Referee decides from what callers and backend servers report which promises
// were broken. It is safe for concurrent use.
type Referee struct {
	bounds Bounds
	calm   *Calm

	mu       sync.Mutex
	versions []Version
	requests map[string]*request
	replies  map[string]Reply
	services map[ident.ServiceID]*traffic
	// leaving holds the time since which a server drains or is gone, out that
	// since which a zone is out.
	leaving map[ident.ServerID]time.Time
	zones   map[ident.ServerID]ident.Zone
	out     map[ident.Zone]time.Time
	// seen is the highest version whose effect was seen of a process, and when.
	seen     map[process]sighting
	findings []Finding
	counts   map[string]int
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

type sighting struct {
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

// traffic is what a service got: the times of the requests for it and of the
// arrivals beyond the first of each.
type traffic struct {
	requests, extras []time.Time
}

// NewReferee returns a referee that takes troubles from calm.
func NewReferee(bounds Bounds, calm *Calm) *Referee {
	return &Referee{
		bounds:   bounds,
		calm:     calm,
		requests: map[string]*request{},
		replies:  map[string]Reply{},
		services: map[ident.ServiceID]*traffic{},
		leaving:  map[ident.ServerID]time.Time{},
		zones:    map[ident.ServerID]ident.Zone{},
		out:      map[ident.Zone]time.Time{},
		seen:     map[process]sighting{},
		counts:   map[string]int{},
	}
}

// Findings returns the promises that were broken so far.
func (r *Referee) Findings() []Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.findings)
}

// Find adds a finding that another part made.
func (r *Referee) Find(promise, subject, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findf(promise, subject, "%s", text)
}

// Accepted notes a configuration that the store accepted.
func (r *Referee) Accepted(v Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, v)
}

// Placed notes the zone of a backend server.
func (r *Referee) Placed(server ident.ServerID, zone ident.Zone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zones[server] = zone
}

// Leaving notes that the store accepted that a server drains or is gone, or with
// a zero time that it is back.
func (r *Referee) Leaving(server ident.ServerID, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving[server] = at
}

// ZoneOut notes that the store accepted that a zone is out, or with a zero time
// that it is back.
func (r *Referee) ZoneOut(zone ident.Zone, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out[zone] = at
}

// Sent notes that a caller sends a request.
func (r *Referee) Sent(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[a.ID] = &request{Attempt: a, ran: map[ident.ServiceID]int{}, hadExtra: coll.NewSet[ident.ServiceID]()}
	for _, service := range r.mayServe(a.Route.Name) {
		t := r.trafficOf(service)
		t.requests = append(t.requests, a.SentAt)
	}
}

// Left notes that the caller of a request closed its connection.
func (r *Referee) Left(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		q.leftAt = at
	}
}

// Replied notes what a backend server answers, before it does.
func (r *Referee) Replied(reply Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies[reply.Signature] = reply
}

// Arrived notes a request at a backend server.
func (r *Referee) Arrived(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[a.ID]
	if q == nil {
		r.findf(Unasked, a.ID, "server %s got a request that nobody sent", a.Server)
		return
	}
	if a.Body != q.Body {
		r.findf(Unasked, a.ID, "server %s got another body", a.Server)
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
	if r.inTouch(string(q.VM), a.At) && r.calm.Unharmed(string(a.Server), a.At.Add(-r.bounds.Contact), a.At) {
		r.checkTime(q, a)
		r.checkPlace(q, a)
		r.checkConfig(q, a)
	}
}

// Worked notes that a server ended its work on a request at ended; it would have
// taken until planned.
func (r *Referee) Worked(id string, planned, ended time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	if q == nil || q.leftAt.IsZero() || !q.Route.Idempotent || !r.calm.Between(string(q.VM), q.SentAt.Add(-r.bounds.Contact), ended) {
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
		r.findf(Gone, id, "%d of %d pieces of work go on %v after their callers left", r.outlasted, r.outlasting, r.bounds.Gone)
	}
}

// Answered notes what the caller of a request got.
func (r *Referee) Answered(id string, answer Answer) {
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
func (r *Referee) Served(from, to time.Time) (sent, served int) {
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
func (r *Referee) Summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	arrivals, statuses := 0, map[int]int{}
	for _, q := range r.requests {
		arrivals += len(q.arrivals)
		if q.answer != nil {
			statuses[q.answer.Status]++
		}
	}
	return fmt.Sprintf("%d requests, %d arrivals, answers by status %v, near misses %v", len(r.requests), arrivals, statuses, r.counts)
}

// checkRuns checks how often a request ran, and whether it might.
func (r *Referee) checkRuns(q *request, a Arrival) {
	if !a.Ran {
		return
	}
	if runs := q.runs(); !q.Route.Idempotent && runs > 1 {
		r.findf(Twice, a.ID, "%d runs, the last at %s", runs, a.Server)
	}
	if q.ran[a.Service] > q.Route.Attempts {
		r.findf(Budget, a.ID, "%d runs of one shard, %d are allowed", q.ran[a.Service], q.Route.Attempts)
	}
	if q.answer != nil && q.answer.Refused {
		r.findf(Refused, a.ID, "runs at %s after it was refused", a.Server)
	}
	// The store may have accepted a version of which the harness is told later.
	if len(r.versions) > 0 && !slices.Contains(r.mayServe(q.Route.Name), a.Service) {
		r.findf(Config, a.ID, "service %s never served route %s", a.Service, q.Route.Name)
	}
	if !q.leftAt.IsZero() && a.At.Sub(q.leftAt) > r.bounds.Gone && r.calm.Between(string(q.VM), a.At.Add(-r.bounds.Contact), a.At) {
		r.findBeyondf(Gone, goneTolerance, a.ID, "reaches %s %v after its caller left", a.Server, a.At.Sub(q.leftAt))
	}
}

// checkExtra bounds what a service gets beyond the first arrival of each
// request.
func (r *Referee) checkExtra(q *request, a Arrival) {
	if !q.hadExtra.Has(a.Service) {
		q.hadExtra.Add(a.Service)
		return
	}
	t := r.trafficOf(a.Service)
	t.extras = append(t.extras, a.At)
	window := r.bounds.ExtraWindow
	asked := 0
	for _, back := range []time.Duration{0, window / 2, window} {
		asked = max(asked, count(t.requests, a.At.Add(-back-window), a.At.Add(-back)))
	}
	extras := count(t.extras, a.At.Add(-window), a.At)
	if bound := r.bounds.ExtraShare*float64(asked) + r.bounds.ExtraSlack; float64(extras) > bound {
		r.findf(Budget, a.ID, "service %s got %d extra arrivals in %v for %d requests", a.Service, extras, window, asked)
	}
}

// checkTime checks the time that is handed on.
func (r *Referee) checkTime(q *request, a Arrival) {
	allowed := q.Wait - a.At.Sub(q.SentAt) + deadlineSlack
	if !a.Told || a.Left > q.Wait+deadlineSlack || len(q.arrivals) > 1 && a.Left > allowed {
		r.findBeyondf(Budget, deadlineTolerance, a.ID, "server %s may take %v (told: %t), %v are left", a.Server, a.Left, a.Told, allowed)
	}
}

// checkPlace checks that the server may get work at all.
func (r *Referee) checkPlace(q *request, a Arrival) {
	if since := r.leaving[a.Server]; !since.IsZero() && a.At.Sub(since) > r.bounds.Drain && q.SentAt.After(since) {
		r.findf(Drain, a.ID, "from %s reaches %s %v after it left", q.VM, a.Server, a.At.Sub(since))
	}
	if since := r.out[r.zones[a.Server]]; !since.IsZero() && a.At.Sub(since) > r.bounds.Evacuate {
		r.findf(Evac, a.ID, "from %s reaches %s %v after its zone was taken out", q.VM, a.Server, a.At.Sub(since))
	}
}

// checkConfig checks that the service is that of a version in force.
func (r *Referee) checkConfig(q *request, a Arrival) {
	_, newest := r.usedBy(q, a)
	oldest := ident.Version(0)
	for i := range r.versions {
		if v := &r.versions[i]; q.SentAt.Sub(v.AckedAt) > r.bounds.Config {
			oldest = v.Number
		}
	}
	if newest < oldest {
		r.findf(Config, a.ID, "%s used version %d, and %d is in force", q.VM, newest, oldest)
	}
}

// checkFallback checks that a process never returns to an older version.
func (r *Referee) checkFallback(q *request, a Arrival) {
	by := process{q.VM, q.Boot}
	oldest, newest := r.usedBy(q, a)
	if last := r.seen[by]; newest < last.version && q.SentAt.Sub(last.at) > r.bounds.Rollback {
		r.findf(Config, a.ID, "%s went back to version %d from %d", q.VM, newest, last.version)
	}
	if oldest > r.seen[by].version {
		r.seen[by] = sighting{version: oldest, at: a.At}
	}
}

// usedBy returns the oldest and the newest version that send a request to the
// service at which it arrived.
func (r *Referee) usedBy(q *request, a Arrival) (oldest, newest ident.Version) {
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

// checkLate counts the requests without an answer soon after the time of their
// route.
func (r *Referee) checkLate(q *request) {
	limit := min(q.Route.Timeout, q.Wait)
	took := q.answer.At.Sub(q.SentAt)
	if took < limit || !q.leftAt.IsZero() || !r.inTouch(string(q.VM), q.answer.At) {
		return
	}
	r.overdue++
	if took < limit+r.bounds.Late {
		return
	}
	r.unanswered++
	if r.unanswered >= lateTolerance && float64(r.unanswered) > lateShare*float64(r.overdue) {
		r.findf(Late, q.ID, "%d of %d requests have no answer %v after their time", r.unanswered, r.overdue, r.bounds.Late)
	}
}

// checkLost looks into a connection that ended without an answer.
func (r *Referee) checkLost(q *request) {
	at, vm := q.answer.At, string(q.VM)
	from := q.SentAt.Add(-r.bounds.Contact)
	if !q.leftAt.IsZero() || !r.calm.Unharmed(vm, from, at) || !r.calm.Unharmed(Store, from, at) {
		return
	}
	took := at.Sub(q.SentAt)
	wasSent := len(q.arrivals) > 0
	switch {
	case r.calm.Stopping(vm, q.SentAt, at) && (wasSent || took > r.bounds.Loss):
		r.findf(Lost, q.ID, "%s stops and cuts it off after %v, sent on: %t", q.VM, took, wasSent)
	case wasSent && q.Kept:
		r.findBeyondf(Lost, lostTolerance, q.ID, "%s cuts it off after %v", q.VM, took)
	}
}

// checkFailure checks an answer that is no success.
func (r *Referee) checkFailure(q *request) {
	answer := q.answer
	if answer.Refused && q.runs() > 0 {
		r.findf(Refused, q.ID, "answered %d, and it ran", answer.Status)
	}
	for _, signature := range answer.Signatures {
		if reply, known := r.replies[signature]; !known || reply.Status != answer.Status || reply.ID != q.ID {
			r.findf(Mixed, q.ID, "status %d with signature %q", answer.Status, signature)
		}
	}
	if !answer.Refused && len(answer.Signatures) == 0 && answer.Status/100 != 5 {
		r.findf(Denied, q.ID, "answered %d by %s", answer.Status, q.VM)
	}
}

// runs returns how often a request ran.
func (q *request) runs() int {
	total := 0
	for _, n := range q.ran {
		total += n
	}
	return total
}

// checkSuccess checks that an answer is made of whole answers to its request.
func (r *Referee) checkSuccess(q *request) {
	answer := q.answer
	if len(answer.Signatures) == 0 {
		r.findf(Mixed, q.ID, "success without a signature")
		return
	}
	services := coll.NewSet[ident.ServiceID]()
	var parts []string
	for _, signature := range answer.Signatures {
		reply, known := r.replies[signature]
		if !known || reply.ID != q.ID || reply.Status/100 != 2 || !reply.Whole {
			r.findf(Mixed, q.ID, "part %q is no whole answer to it: %+v", signature, reply)
			return
		}
		if services.Has(reply.Service) {
			r.findf(Mixed, q.ID, "two parts of %s", reply.Service)
		}
		services.Add(reply.Service)
		parts = append(parts, reply.Body)
	}
	if q.Route.Limit == 0 {
		if answer.Body != parts[0] {
			r.findf(Mixed, q.ID, "another body than that of %q", answer.Signatures[0])
		}
		return
	}
	r.checkSearch(q, services, strings.Join(parts, ""))
}

// checkSearch checks coverage and merge of a search.
func (r *Referee) checkSearch(q *request, services coll.Set[ident.ServiceID], records string) {
	answer := q.answer
	fits := slices.ContainsFunc(r.versions, func(v Version) bool {
		set := v.Shards[q.Route.Name]
		return len(set) == len(services)+answer.Missing && covers(set, services)
	})
	if !fits {
		r.findf(Mixed, q.ID, "%d parts and %d missing are no set of any version", len(services), answer.Missing)
	}
	total := len(services) + answer.Missing
	if float64(len(services)) < q.Route.Coverage*float64(total) {
		r.findf(Mixed, q.ID, "%d of %d shards are no success", len(services), total)
	}
	if want := greatest(records, q.Route.Limit); answer.Body != want {
		r.findf(Mixed, q.ID, "the body is not the merge of its parts")
	}
}

func covers(set []ident.ServiceID, services coll.Set[ident.ServiceID]) bool {
	for service := range services {
		if !slices.Contains(set, service) {
			return false
		}
	}
	return true
}

// RecordSize is the size in bytes of one record of a search.
const RecordSize = 16

// greatest returns the greatest limit records, greatest first.
func greatest(records string, limit int) string {
	var all []string
	for ; len(records) >= RecordSize; records = records[RecordSize:] {
		all = append(all, records[:RecordSize])
	}
	slices.SortFunc(all, func(x, y string) int { return strings.Compare(y, x) })
	return strings.Join(all[:min(limit, len(all))], "")
}

// serves reports whether a version sends a route to a service.
func (v *Version) serves(route string, service ident.ServiceID) bool {
	return v.Single[route] == service || slices.Contains(v.Shards[route], service)
}

// mayServe returns the services to which any version sends a route.
func (r *Referee) mayServe(route string) []ident.ServiceID {
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

func (r *Referee) trafficOf(service ident.ServiceID) *traffic {
	t := r.services[service]
	if t == nil {
		t = &traffic{}
		r.services[service] = t
	}
	return t
}

// inTouch reports whether a VM has to keep all bounds at a moment.
func (r *Referee) inTouch(vm string, at time.Time) bool {
	from := at.Add(-r.bounds.Contact)
	return r.calm.Between(vm, from, at) && r.calm.Between(Store, from, at)
}

// count returns how many of the times lie in (from, to]. They may be out of
// order by what a busy machine delays.
func count(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range slices.Backward(times) {
		if t.After(from) && !t.After(to) {
			n++
		}
		if from.Sub(t) > time.Second {
			break
		}
	}
	return n
}

func (r *Referee) findf(promise, subject, format string, args ...any) {
	r.findings = append(r.findings, Finding{Promise: promise, Subject: subject, Text: fmt.Sprintf(format, args...), At: time.Now()})
}

// findBeyondf counts an exception and makes it a finding beyond the tolerance.
func (r *Referee) findBeyondf(promise string, tolerance int, subject, format string, args ...any) {
	r.counts[promise]++
	if r.counts[promise] > tolerance {
		r.findf(promise, subject, format, args...)
	}
}
