// Package gate is the HTTP server for callers whose requests are forwarded
// unchanged to backend servers. It also provides the address list for callers and
// the readiness of this VM.
package gate

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/accept"
	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/core/guard"
	"github.com/samphirestair/samphirestair/internal/fleet/beats"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/link/grant"
	"github.com/samphirestair/samphirestair/internal/plat/header"
	"github.com/samphirestair/samphirestair/internal/query/relay"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

const (
	// maxHeaderBytes is the largest size of a request's headers.
	maxHeaderBytes = 20 << 10
	// maxBodyBytes is the largest body of a request. The configuration may set a
	// lower limit.
	maxBodyBytes = 16 << 20
	// idleTimeout is the time after which idle connections of callers are closed.
	// It is above every keep-alive time that a configuration grants in practice.
	idleTimeout = time.Minute
	// readTimeout bounds the time in which a request has to arrive.
	readTimeout = 10 * time.Second
	// writeTimeout bounds the time to write an answer.
	writeTimeout = 10 * time.Second
	// staleConfigAge is the age of the view above which a missing route may be a
	// new one that this VM does not know yet.
	staleConfigAge = 4 * time.Second
	// retryDelay is the time after which a caller may retry at a VM that has no
	// usable view or configuration yet, and the default for other refusals.
	retryDelay = 200 * time.Millisecond
	// closeRetryDelay is the time after which a caller may retry on another connection that
	// was refused because this VM stops or has closed the connection.
	closeRetryDelay = 20 * time.Millisecond
)

// Runner runs requests. Run returns when the answer is complete.
type Runner interface {
	Run(request runner.Request) runner.Answer
}

// ViewSource provides this VM's current view of the fleet.
type ViewSource interface {
	View() *roster.View
	// Age returns the time since the view was last known to be up to date. known is
	// false if it never was.
	Age(now time.Time) (age time.Duration, known bool)
}

// Peers is the failure detector of VMs.
type Peers interface {
	// Silent reports whether a VM is suspected to be dead or isolated, because no
	// heartbeats arrive from it.
	Silent(vm ident.VMID) bool
	// CutOff reports whether this VM itself is suspected to be isolated.
	CutOff() bool
	// Reach returns what a VM reports of its links to backend servers.
	Reach(now time.Time, vm ident.VMID) beats.Reach
}

// Quota bounds the requests of tenants over all VMs. tenant may be nil.
type Quota interface {
	// Take decides whether a request may run, after a short wait at most.
	Take(tenant *routes.Tenant) grant.Decision
	// GiveBack undoes Take for a request that was refused with nothing sent.
	GiveBack(tenant *routes.Tenant)
}

// Deps holds what a Gate depends on.
type Deps struct {
	// Runner runs the requests of callers, and Local those that another VM can't run.
	Runner, Local Runner
	Coverage      Coverage
	Views         ViewSource
	Self          roster.Member
	// Serving reports whether this VM is registered as serving callers.
	Serving func() bool
	// Usable reports whether the view is recent enough to run requests.
	Usable func(now time.Time) bool
	// Accepting reports whether callers can open connections.
	Accepting func() bool
	// Peers reports which VMs are suspected.
	Peers Peers
	// Quota bounds the requests of tenants. nil lets all requests run.
	Quota  Quota
	Names  header.Names
	Events *events.Recorder
	// Reporter records the connections that are closed. It may be nil.
	Reporter *guard.Reporter
}

// Gate is the HTTP server for callers. It is safe for concurrent use.
type Gate struct {
	deps    Deps
	headers headerRules
	watcher *callerWatcher
	server  *fasthttp.Server
	// stopping is set during a planned stop.
	stopping atomic.Pointer[plannedStop]
	// lastRequest is when the last request arrived, in Unix nanoseconds.
	lastRequest atomic.Int64
}

// New returns a gate that does not listen yet.
func New(deps Deps) *Gate {
	g := &Gate{deps: deps, headers: newHeaderRules(&deps.Names), watcher: newWatcher()}
	g.server = NewServer(g.Handle, guard.Options{MaxBody: g.maxBody, Reporter: deps.Reporter})
	return g
}

// NewServer returns an HTTP server that adds no headers of its own to answers, and tells the
// listener which connections are idle and what they hold.
func NewServer(handler fasthttp.RequestHandler, options guard.Options) *fasthttp.Server {
	return guard.Protect(&fasthttp.Server{
		Handler:                       handler,
		ReadBufferSize:                maxHeaderBytes,
		ReadTimeout:                   readTimeout,
		WriteTimeout:                  writeTimeout,
		IdleTimeout:                   idleTimeout,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		NoDefaultDate:                 true,
		DisableHeaderNamesNormalizing: true,
		Logger:                        events.DiscardLogger{},
	}, options)
}

// maxBody returns the maximum size of the body of a request.
func (g *Gate) maxBody() int {
	if table := g.deps.Views.View().Table; table != nil {
		return coll.Positive(table.Config().Limits.BodyBytes, maxBodyBytes)
	}
	return maxBodyBytes
}

// Serve answers requests from l. It blocks until Shutdown.
func (g *Gate) Serve(l net.Listener) error {
	return errors.Wrap(g.server.Serve(l), "gate: serve")
}

// SinceLastRequest returns the time since the last request of a caller arrived.
func (g *Gate) SinceLastRequest(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, g.lastRequest.Load()))
}

// OpenConnections returns the number of open connections from callers.
func (g *Gate) OpenConnections() int {
	return int(g.server.GetOpenConnectionsCount())
}

// Shutdown closes the listener and idle connections, and waits until the requests in
// flight are answered.
func (g *Gate) Shutdown() error {
	return errors.Wrap(g.server.Shutdown(), "gate: shutdown")
}

// Ready reports whether callers may use this VM: it serves, has a configuration, does
// not drain, accepts connections and is not isolated.
func (g *Gate) Ready() bool {
	return !g.Draining() && g.deps.Accepting() && g.deps.Views.View().Table != nil && g.deps.Serving() && !g.deps.Peers.CutOff()
}

// Addresses returns the addresses that callers may use: those of the serving VMs that
// are neither suspected nor partitioned from the backend servers. While no VM is registered
// as serving, all known ones count as serving. This VM's own address is included only if it
// is ready or the list would be empty, so that an isolated VM names the others. If all VMs
// are partitioned, the servers are down, and all are named.
func (g *Gate) Addresses() []string {
	view, now := g.deps.Views.View(), time.Now()
	addresses, partitioned := make([]string, 0, len(view.Members)+1), []string{}
	add := func(address string, isPartitioned bool) {
		if isPartitioned {
			partitioned = append(partitioned, address)
			return
		}
		addresses = append(addresses, address)
	}
	for _, m := range view.Members {
		if m.VM != g.deps.Self.VM && (m.Serving || view.ServingCount == 0) && !g.deps.Peers.Silent(m.VM) {
			add(m.CallerAddress, m.Partitioned || g.deps.Peers.Reach(now, m.VM).Partitioned)
		}
	}
	if g.Ready() || len(addresses)+len(partitioned) == 0 {
		add(g.deps.Self.CallerAddress, g.deps.Coverage.MayBePartitioned())
	}
	if len(addresses) == 0 {
		return partitioned
	}
	return addresses
}

// Handle handles one request of a caller.
func (g *Gate) Handle(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	g.lastRequest.Store(arrived.UnixNano())
	if g.Draining() {
		ctx.SetConnectionClose()
	}
	view := g.deps.Views.View()
	id := string(findHeader(&ctx.Request.Header, g.deps.Names.RequestID))
	if accept.IsEvicted(ctx.Conn()) {
		// The request has crossed the close of its connection, which may not be over yet.
		ctx.SetConnectionClose()
		g.refuse(ctx, id, "the connection was closed because it was idle", closeRetryDelay)
		return
	}
	usable := g.deps.Usable(arrived)
	if view.Table == nil {
		g.refuse(ctx, id, "no configuration known yet", retryDelay)
		return
	}
	if !usable {
		ctx.SetConnectionClose()
		g.refuse(ctx, id, "the view of the fleet is stale: the VM is on standby or was paused", retryDelay)
		return
	}
	target, err := parseTarget(ctx)
	if err != nil {
		ctx.SetConnectionClose()
		g.reject(ctx, id, fasthttp.StatusBadRequest, err.Error())
		return
	}
	route := view.Table.Match(target.host, target.path)
	if route == nil {
		g.unknownRoute(ctx, id, arrived)
		return
	}
	tenant, key, ok := authenticate(view.Table, route, &ctx.Request.Header)
	if !ok {
		g.unknownKey(ctx, id, arrived)
		return
	}
	if limit := view.Table.Config().Limits.BodyBytes; limit > 0 && len(ctx.Request.Body()) > limit {
		g.reject(ctx, id, fasthttp.StatusRequestEntityTooLarge, "the body exceeds the limit")
		return
	}
	request := runner.Request{
		Message:  g.headers.newMessage(ctx, id, view.Table, tenant),
		Route:    route,
		Tenant:   tenant,
		Key:      key,
		Arrived:  arrived,
		Overhead: networkOverhead(ctx.Conn(), ctx.ConnRequestNum() == 1),
		Wait:     parseWait(findHeader(&ctx.Request.Header, g.deps.Names.Deadline)),
		Host:     target.host,
		Path:     target.path,
	}
	request.Service = pickService(route)
	if !g.limitToStop(&request, arrived) {
		g.refuse(ctx, id, "the VM stops before the request can be answered", closeRetryDelay)
		return
	}
	g.runCharged(ctx, request)
}

// pickService returns the service to which the next request on a route goes, or "" if it is
// a search.
func pickService(route *routes.Route) ident.ServiceID {
	if route.IsSearch() {
		return ""
	}
	return route.PickService(rand.Float64())
}

// runCharged runs a request if its tenant's quota allows it.
func (g *Gate) runCharged(ctx *fasthttp.RequestCtx, request runner.Request) {
	if g.deps.Quota == nil {
		g.run(ctx, g.deps.Runner, request)
		return
	}
	if decision := g.deps.Quota.Take(request.Tenant); !decision.Granted {
		g.deps.Events.Trace("request_over_quota", request.Message.ID, decision.Reason,
			slog.String("tenant", string(request.Tenant.Name)), slog.Duration("retry_after", decision.RetryAfter))
		setRetryAfter(ctx, decision.RetryAfter)
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	if unsent := g.run(ctx, g.deps.Runner, request); unsent {
		g.deps.Quota.GiveBack(request.Tenant)
	}
}

// run runs a request and writes the answer. The request is cancelled when the sender closes the
// connection, or is abandoned at the end of a planned stop. unsent is set if it was refused and
// no backend server received any part of it.
func (g *Gate) run(ctx *fasthttp.RequestCtx, r Runner, request runner.Request) (unsent bool) {
	gone, stopWatch := g.watcher.watch(ctx.Conn(), time.Now())
	request.Gone = gone
	answer := r.Run(request)
	stopWatch()
	g.write(ctx, answer)
	return answer.IsUnsent()
}

// unknownRoute answers a request that no route matches: with 404, or with 503 and a
// time to retry while the configuration may be out of date.
func (g *Gate) unknownRoute(ctx *fasthttp.RequestCtx, id string, now time.Time) {
	if age, known := g.deps.Views.Age(now); !known || age > staleConfigAge {
		g.refuse(ctx, id, "no route known, and the configuration was last confirmed "+age.String()+" ago", retryDelay)
		return
	}
	g.reject(ctx, id, fasthttp.StatusNotFound, "no route matches")
}

// refuse answers 503, which means that the request did not run, with the time to
// retry. Jitter keeps callers from retrying at the same time.
func (g *Gate) refuse(ctx *fasthttp.RequestCtx, id, reason string, after time.Duration) {
	g.deps.Events.Trace("request_refused", id, reason)
	setRetryAfter(ctx, after+rand.N(after))
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// reject answers a faulty request with the given status.
func (g *Gate) reject(ctx *fasthttp.RequestCtx, id string, status int, reason string) {
	g.deps.Events.Trace("request_rejected", id, reason)
	ctx.SetStatusCode(status)
}

func setRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// write writes the answer to a caller. Nobody reads it if the caller has disconnected.
func (g *Gate) write(ctx *fasthttp.RequestCtx, answer runner.Answer) {
	if answer.Gone {
		ctx.SetConnectionClose()
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		return
	}
	switch answer.Verdict {
	case relay.Success:
		if answer.Result.Response != nil {
			copyResponse(ctx, &answer.Result)
			// The memory is accounted for as that of the response before it no longer is as that
			// of the answer, so that no other answer takes its place meanwhile.
			accept.Holder(ctx.Conn()).Set(budget.Response, len(ctx.Response.Body()))
			answer.Result.Release()
			return
		}
		for value := range joinLists(answer.Signatures) {
			ctx.Response.Header.Add(g.deps.Names.PartSignatures, value)
		}
		ctx.Response.Header.Set(g.deps.Names.MissingParts, strconv.Itoa(answer.Missing))
		ctx.SetBody(answer.Records)
	case relay.Refused:
		setRetryAfter(ctx, coll.Positive(answer.RetryAfter, retryDelay))
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		if answer.Quarantined {
			// The fault is the request's, and other VMs are no better.
			ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
			ctx.SetBodyString(answer.Reason)
		}
	case relay.TimedOut:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	}
}
