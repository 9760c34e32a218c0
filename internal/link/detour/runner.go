package detour

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/beats"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/plat/header"
	"github.com/samphirestair/samphirestair/internal/query/relay"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

const (
	// maxPeers is the number of VMs that are tried for one request.
	maxPeers = 3
	// avoidTime is the time for which a VM that declined or did not answer is avoided.
	avoidTime = 500 * time.Millisecond
	// minAdvantage is how many times as many backend servers as another VM this VM must not
	// reach for a request to be sent there. If servers are down, all VMs reach as few.
	minAdvantage = 2
	// silenceCheckInterval is the time between two checks whether the VM that runs a request
	// is still heard.
	silenceCheckInterval = 100 * time.Millisecond
	// dialTimeout bounds connecting to another VM; its round trip is a few milliseconds.
	dialTimeout = 150 * time.Millisecond
	// connectionsPerVM bounds the requests that one other VM runs at a time for this one.
	connectionsPerVM = 256
	// maxAnswerBytes bounds an answer. It exceeds what backend servers may answer.
	maxAnswerBytes = 16 << 20
	// minTimeLeft is the time left below which a request is not sent to another VM.
	minTimeLeft = 10 * time.Millisecond
	// refusalDelay is the least time after which a caller may retry that was refused because
	// the configuration of this VM is out of date.
	refusalDelay = 200 * time.Millisecond
)

// Inner runs requests on this VM.
type Inner interface {
	Run(request runner.Request) runner.Answer
}

// Peers reports which other VMs can be heard.
type Peers interface {
	// Silent reports whether a VM seems to be dead or cut off.
	Silent(vm ident.VMID) bool
	// CutOff reports whether this VM seems to be cut off from the others.
	CutOff() bool
	// Reach returns what a VM reports of its links to backend servers.
	Reach(now time.Time, vm ident.VMID) beats.Reach
}

// Deps holds the dependencies of a Runner.
type Deps struct {
	Self     ident.VMID
	Inner    Inner
	Coverage *Coverage
	Views    ViewSource
	Peers    Peers
	// RequestID is the name of the header that holds the id of a request.
	RequestID string
	Events    *events.Recorder
	Metrics   *metrics.Set
	// Budget bounds the memory of long answers. It may be nil.
	Budget *budget.Budget
}

// Runner runs requests on this VM, or on another one while this VM can't reach the backend
// servers. It is safe for concurrent use.
type Runner struct {
	deps Deps
	// pool holds the connections to the other VMs.
	pool *pool.Pool

	mu sync.Mutex
	// avoidUntil holds the time until which each VM is avoided.
	avoidUntil map[avoidance]time.Time
	// newest is the newest configuration with which a request of this VM ran elsewhere. This
	// VM must not go back to an older one.
	newest ident.Version
}

// avoidance is a VM that is avoided by the requests that need something, or by all.
type avoidance struct {
	vm   ident.VMID
	need need
}

// need is what requests need of a VM: links to the backend servers of a search route, or of a
// service. anything stands for all needs.
type need struct {
	route   string
	service ident.ServiceID
}

var anything = need{}

func needOf(request *runner.Request) need {
	if request.Route.IsSearch() {
		return need{route: request.Route.Name}
	}
	return need{service: request.Service}
}

// New returns a runner without connections.
func New(deps Deps) *Runner {
	names := header.Default()
	names.RequestID = deps.RequestID
	names.NotRun = declinedHeader
	// Answers may carry headers of backend servers, which say nothing about the VM.
	names.Signature, names.Load, names.Leaving, names.Limit = "", "", "", ""
	return &Runner{
		deps:       deps,
		pool:       pool.New(metrics.NewSet(), pool.Options{DialTimeout: dialTimeout, MaxBody: maxAnswerBytes, Names: names, AllowAnonymous: true, Budget: deps.Budget}),
		avoidUntil: map[avoidance]time.Time{},
	}
}

// Run runs one request and returns its answer. It blocks until there is an answer or the
// caller has left.
func (r *Runner) Run(request runner.Request) runner.Answer {
	outdated := r.isOutdated()
	missing := r.deps.Coverage.Missing(request.Route, request.Service)
	if outdated || missing > 0 {
		if answer, ok := r.detour(request, missing, outdated); ok {
			return answer
		}
	}
	if outdated {
		return runner.Answer{Unsent: true, Outcome: relay.Outcome{
			Verdict: relay.Refused, Reason: "the configuration of this VM is out of date", RetryAfter: refusalDelay + rand.N(refusalDelay),
		}}
	}
	answer := r.deps.Inner.Run(request)
	if answer.Gone || answer.Verdict != relay.Refused || !answer.NothingSent || missing > 0 {
		return answer
	}
	// The attempts may have shown that this VM can't reach the backend servers.
	missing = r.deps.Coverage.Missing(request.Route, request.Service)
	if missing == 0 {
		return answer
	}
	request.Counted = true
	if other, ok := r.detour(request, missing, false); ok {
		return other
	}
	return answer
}

// isOutdated reports whether a request of this VM ran elsewhere with a configuration that
// is newer than that of this VM.
func (r *Runner) isOutdated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest > r.version()
}

// version returns the version of the configuration in force on this VM.
func (r *Runner) version() ident.Version {
	if table := r.deps.Views.View().Table; table != nil {
		return table.Config().Version
	}
	return 0
}

// detour runs a request on another VM. ok is false if it certainly has not run and will not
// run on any. missing is the number of services that this VM can't reach. mandatory is set
// if this VM must not run the request.
func (r *Runner) detour(request runner.Request, missing int, mandatory bool) (answer runner.Answer, ok bool) {
	deadline := request.Deadline()
	tried := coll.NewSet[ident.VMID]()
	for range maxPeers {
		now := time.Now()
		peer, found := r.choose(now, needOf(&request), tried, mandatory)
		if !found || deadline.Sub(now) < minTimeLeft {
			return runner.Answer{}, false
		}
		tried.Add(peer.VM)
		result, gone := r.send(request, peer, missing, deadline)
		r.deps.Metrics.GetOrCreateCounter("samphirestair_detours_total{fate=" + strconv.Quote(result.Outcome.String()) + "}").Inc()
		if gone {
			result.Release()
			return runner.Answer{Gone: true}, true
		}
		if result.Outcome == pool.Answered {
			return r.accept(request, peer, result), true
		}
		r.reject(request, peer, &result)
		if result.Outcome == pool.Broken {
			// It may have run, and the retry budget allows for no second run of its attempts.
			return runner.Answer{Outcome: unanswered(deadline)}, true
		}
	}
	return runner.Answer{}, false
}

// unanswered returns the outcome of a request that another VM may have run.
func unanswered(deadline time.Time) relay.Outcome {
	if time.Until(deadline) <= 0 {
		return relay.Outcome{Verdict: relay.TimedOut, Reason: "deadline reached while it ran on another VM"}
	}
	return relay.Outcome{Verdict: relay.Failed, Reason: "another VM gave no answer"}
}

// choose returns a random VM that serves and reaches more backend servers than this VM,
// unless mandatory is set, except for VMs that were tried, are silent or are avoided. There
// is none while this VM is cut off from the others.
func (r *Runner) choose(now time.Time, needed need, tried coll.Set[ident.VMID], mandatory bool) (chosen roster.Member, found bool) {
	if r.deps.Peers.CutOff() {
		return roster.Member{}, false
	}
	unreached, partitioned := r.deps.Coverage.Unreached(), r.deps.Coverage.MayBePartitioned()
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, m := range r.deps.Views.View().Members {
		if !m.Serving || m.VM == r.deps.Self || tried.Has(m.VM) || r.avoids(now, m.VM, needed) || r.deps.Peers.Silent(m.VM) {
			continue
		}
		reach := r.deps.Peers.Reach(now, m.VM)
		if !mandatory && (m.Partitioned || reach.Partitioned || !partitioned && minAdvantage*reach.Unreached > unreached) {
			continue
		}
		count++
		if rand.IntN(count) == 0 {
			chosen = m
		}
	}
	return chosen, count > 0
}

// avoids reports whether a VM is avoided. r.mu must be held.
func (r *Runner) avoids(now time.Time, vm ident.VMID, needed need) bool {
	return now.Before(r.avoidUntil[avoidance{vm, anything}]) || now.Before(r.avoidUntil[avoidance{vm, needed}])
}

// send sends a request to another VM and waits for the result. It gives up when the VM
// falls silent, the deadline passes or the caller leaves; gone is set in the last case.
func (r *Runner) send(request runner.Request, peer roster.Member, missing int, deadline time.Time) (result pool.Result, gone bool) {
	body, err := r.order(request, missing).MarshalMsg(nil)
	if err != nil {
		return pool.Result{Outcome: pool.Unsent, Reason: "encode the order: " + err.Error()}, false
	}
	head := make([]byte, 0, 128)
	head = append(append(append(head, "POST "+Path+" HTTP/1.1\r\nHost: "...), peer.PeerAddress...), "\r\nContent-Length: "...)
	head = append(strconv.AppendInt(head, int64(len(body)), 10), "\r\n"...)
	message := &pool.Message{ID: request.Message.ID, Head: head, Body: body}
	target := pool.Target{ID: ident.ServerID(peer.VM), Address: peer.PeerAddress, Born: int64(peer.BootID), Connections: connectionsPerVM}
	results := make(chan pool.Result, 1)
	call := r.pool.Send(target, message, deadline, true, func(result pool.Result) { results <- result })
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case result = <-results:
			return result, gone
		case <-ticker.C:
			if r.deps.Peers.Silent(peer.VM) {
				call.Cancel()
			}
		case <-timer.C:
			call.Cancel()
		case <-request.Gone:
			gone = true
			call.Cancel()
			return <-results, gone
		}
	}
}

// order returns the order for a request.
func (r *Runner) order(request runner.Request, missing int) *Order {
	r.mu.Lock()
	version := max(r.newest, r.version())
	r.mu.Unlock()
	message := request.Message
	tenant, key := ident.TenantID(""), []byte(nil)
	if request.Tenant != nil {
		tenant, key = request.Tenant.Name, request.Key[:]
	}
	return &Order{
		Request: message.ID, Host: request.Host, Path: request.Path, Head: message.Head, Body: message.Body, NoBody: message.NoBody,
		AgeMicros: time.Since(request.Arrived).Microseconds(), OverheadMicros: request.Overhead.Microseconds(), WaitMicros: request.Wait.Microseconds(),
		Version: uint64(version), Missing: uint32(max(missing, 0)), Counted: request.Counted,
		Tenant: string(tenant), Key: key,
	}
}

// accept converts the answer of another VM.
func (r *Runner) accept(request runner.Request, peer roster.Member, result pool.Result) runner.Answer {
	version, unsent, err := unwrap(result.Response)
	if err != nil {
		result.Release()
		return runner.Answer{Outcome: relay.Outcome{Verdict: relay.Failed, Reason: err.Error()}}
	}
	r.mu.Lock()
	r.newest = max(r.newest, version)
	r.mu.Unlock()
	r.deps.Events.Trace("request_detoured", request.Message.ID, "backend servers out of reach", slog.String("vm", string(peer.VM)),
		slog.Int("status", result.Response.StatusCode()), slog.Duration("took", time.Since(request.Arrived)), slog.String("route", request.Route.Name))
	return runner.Answer{Outcome: relay.Outcome{Verdict: relay.Success, Reason: "answered by " + string(peer.VM)}, Result: result, Unsent: unsent}
}

// reject logs that another VM gave no answer, and avoids it for a while. One that reaches no more
// backend servers is avoided by requests that need the same ones only.
func (r *Runner) reject(request runner.Request, peer roster.Member, result *pool.Result) {
	avoided := avoidance{peer.VM, anything}
	if result.Response != nil && string(result.Response.Header.Peek(declinedHeader)) == Unreachable {
		avoided.need = needOf(&request)
	}
	r.mu.Lock()
	r.avoidUntil[avoided] = time.Now().Add(avoidTime)
	r.mu.Unlock()
	r.deps.Events.Trace("detour_failed", request.Message.ID, result.Reason, slog.String("vm", string(peer.VM)), slog.String("fate", result.Outcome.String()))
	result.Release()
}

// Retain forgets the VMs for which keep is false, and closes the connections to them.
func (r *Runner) Retain(keep func(vm ident.VMID) bool) {
	r.pool.Retain(func(id ident.ServerID) bool { return keep(ident.VMID(id)) })
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.avoidUntil, func(_ avoidance, until time.Time) bool { return !now.Before(until) })
}

// Sweep closes the connections that have been idle for too long.
func (r *Runner) Sweep(now time.Time) {
	r.pool.Sweep(now)
}
