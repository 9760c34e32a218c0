// Package gate serves callers whose requests are forwarded unchanged. It also
// tells callers which VMs to use, and the platform whether this VM is ready.
package gate

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/plat/heads"
	"github.com/samphirestair/samphirestair/internal/query/relay"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

const (
	// headerRoom is the largest size of the headers of a request in bytes.
	headerRoom = 20 << 10
	// bodyRoom is the largest body of a request in bytes; the limits in force
	// may be lower.
	bodyRoom = 16 << 20
	// idleTimeout closes connections that callers left open. It is above every
	// idle time that a configuration grants in practice.
	idleTimeout = time.Minute
	// readTimeout bounds the reading of one request.
	readTimeout = 10 * time.Second
	// writeTimeout bounds the writing of one answer.
	writeTimeout = 10 * time.Second
	// doubtAfter is the age of beliefs from which the absence of a route is no
	// proof that it was removed.
	doubtAfter = 4 * time.Second
	// unreadyRetry is the time after which a caller may return to a VM that
	// knows no configuration yet.
	unreadyRetry = 200 * time.Millisecond
)

// Runner runs requests.
type Runner interface {
	Run(request runner.Request) runner.Answer
}

// Beliefs is what this VM believes about the fleet.
type Beliefs interface {
	View() *roster.View
	// Age is the time since the beliefs were known to be up to date.
	Age(now time.Time) (age time.Duration, known bool)
}

// Peers tells how the other VMs are heard.
type Peers interface {
	// Silent reports whether a VM seems to be dead or cut off.
	Silent(vm ident.VMID) bool
	// CutOff reports whether this VM itself seems to be cut off.
	CutOff() bool
}

// Deps are what a Gate needs.
type Deps struct {
	Runner  Runner
	Beliefs Beliefs
	Self    roster.Member
	// Serving reports whether this VM is to be named to callers.
	Serving func() bool
	// Usable reports whether the beliefs of this VM may serve a caller.
	Usable func(now time.Time) bool
	// Peers tells which VMs are silent.
	Peers  Peers
	Names  heads.Names
	Events *events.Recorder
}

// Gate answers callers. It is safe for concurrent use.
type Gate struct {
	deps     Deps
	watcher  *watcher
	server   *fasthttp.Server
	draining atomic.Bool
}

// New returns a gate that does not listen yet.
func New(deps Deps) *Gate {
	g := &Gate{deps: deps, watcher: newWatcher()}
	g.server = NewServer(g.forward)
	return g
}

// NewServer returns an HTTP server that adds nothing of its own to answers.
func NewServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                       handler,
		ReadBufferSize:                headerRoom,
		MaxRequestBodySize:            bodyRoom,
		ReadTimeout:                   readTimeout,
		WriteTimeout:                  writeTimeout,
		IdleTimeout:                   idleTimeout,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		NoDefaultDate:                 true,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,
		Logger:                        events.Silent{},
	}
}

// Serve answers requests from l until Shutdown.
func (g *Gate) Serve(l net.Listener) error {
	return errors.Wrap(g.server.Serve(l), "gate: serve")
}

// Drain asks callers to move to other VMs. Requests are still served.
func (g *Gate) Drain() {
	g.draining.Store(true)
}

// Draining reports whether callers were asked to move to other VMs.
func (g *Gate) Draining() bool {
	return g.draining.Load()
}

// OpenConnections returns the number of connections of callers.
func (g *Gate) OpenConnections() int {
	return int(g.server.GetOpenConnectionsCount())
}

// Shutdown closes the listener and idle connections, and waits until the
// requests under way are answered.
func (g *Gate) Shutdown() error {
	return errors.Wrap(g.server.Shutdown(), "gate: shutdown")
}

// Ready reports whether callers may use this VM.
func (g *Gate) Ready() bool {
	return !g.draining.Load() && g.deps.Beliefs.View().Table != nil && g.deps.Serving() && !g.deps.Peers.CutOff()
}

// Addresses returns the addresses that callers may use: the VMs that serve and
// are heard, or all that are known while none says that it serves. A VM that is
// cut off names the others.
func (g *Gate) Addresses() []string {
	view := g.deps.Beliefs.View()
	addresses := make([]string, 0, len(view.Members)+1)
	for _, m := range view.Members {
		if m.VM != g.deps.Self.VM && (m.Serving || view.ServingCount == 0) && !g.deps.Peers.Silent(m.VM) {
			addresses = append(addresses, m.CallerAddress)
		}
	}
	if g.Ready() || len(addresses) == 0 {
		addresses = append(addresses, g.deps.Self.CallerAddress)
	}
	return addresses
}

// forward answers one request of a caller.
func (g *Gate) forward(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
	view := g.deps.Beliefs.View()
	id := string(find(&ctx.Request.Header, g.deps.Names.RequestID))
	usable := g.deps.Usable(arrived)
	if view.Table == nil {
		g.refuse(ctx, id, "no configuration known yet", unreadyRetry)
		return
	}
	if !usable {
		ctx.SetConnectionClose()
		g.refuse(ctx, id, "the beliefs are old: the VM stands by, or stood still", unreadyRetry)
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
	if limit := view.Table.Config().Limits.BodyBytes; limit > 0 && len(ctx.Request.Body()) > limit {
		g.reject(ctx, id, fasthttp.StatusRequestEntityTooLarge, "body above the limit")
		return
	}
	request := runner.Request{
		Message:  message(ctx, id, &g.deps.Names),
		Route:    route,
		Arrived:  arrived,
		Overhead: overhead(ctx.Conn(), ctx.ConnRequestNum() == 1),
		Wait:     wait(find(&ctx.Request.Header, g.deps.Names.Deadline)),
	}
	if !route.IsSearch() {
		request.Service = route.Pick(rand.Float64())
	}
	gone, done := g.watcher.watch(ctx.Conn(), arrived)
	request.Gone = gone
	answer := g.deps.Runner.Run(request)
	done()
	g.write(ctx, answer)
}

// unknownRoute answers a request that no route matches. While it is in doubt
// whether the configuration is up to date, the caller may try again.
func (g *Gate) unknownRoute(ctx *fasthttp.RequestCtx, id string, now time.Time) {
	if age, known := g.deps.Beliefs.Age(now); !known || age > doubtAfter {
		g.refuse(ctx, id, "no route known, and the configuration was last confirmed "+age.String()+" ago", unreadyRetry)
		return
	}
	g.reject(ctx, id, fasthttp.StatusNotFound, "no route matches")
}

// refuse answers that a request has not run, and when to come back. The time is
// spread, so that callers do not return together.
func (g *Gate) refuse(ctx *fasthttp.RequestCtx, id, reason string, after time.Duration) {
	g.deps.Events.Trace("request_refused", id, reason)
	setRetryAfter(ctx, after+rand.N(after))
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func (g *Gate) reject(ctx *fasthttp.RequestCtx, id string, status int, reason string) {
	g.deps.Events.Trace("request_rejected", id, reason)
	ctx.SetStatusCode(status)
}

func setRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// write writes the answer to a caller.
func (g *Gate) write(ctx *fasthttp.RequestCtx, answer runner.Answer) {
	if answer.Gone {
		ctx.SetConnectionClose()
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		return
	}
	switch answer.Verdict {
	case relay.Success:
		if answer.Result.Response != nil {
			copyResponse(ctx, answer.Result.Response)
			answer.Result.Release()
			return
		}
		for value := range lists(answer.Signatures) {
			ctx.Response.Header.Add(g.deps.Names.PartSignatures, value)
		}
		ctx.Response.Header.Set(g.deps.Names.MissingParts, strconv.Itoa(answer.Missing))
		ctx.SetBody(answer.Records)
	case relay.Refused:
		setRetryAfter(ctx, coll.Positive(answer.RetryAfter, unreadyRetry))
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case relay.TimedOut:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	}
}
