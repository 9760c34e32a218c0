package gate

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/accept"
	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/socket"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/link/detour"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

// detourMargin lets the answer of this VM arrive before the VM that sent the order gives up.
const detourMargin = 5 * time.Millisecond

// Coverage reports which services this VM can't reach.
type Coverage interface {
	// Missing returns how many of the services that a request needs this VM can't reach.
	Missing(route *routes.Route, service ident.ServiceID) int
	// MayBePartitioned reports whether this VM may be partitioned from the backend servers.
	MayBePartitioned() bool
}

// RunDetour runs the request of a caller of another VM, which can't reach the backend
// servers, and answers that VM.
func (g *Gate) RunDetour(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	order, err := detour.ReadOrder(ctx)
	if err != nil {
		g.deps.Events.Sample("detour_declined", ctx.RemoteAddr().String(), err.Error())
		detour.Decline(ctx, err.Error())
		return
	}
	if socket.IsClosedByPeer(ctx.Conn()) {
		// This process may have been paused since the order arrived.
		g.deps.Events.Sample("detour_dropped", ctx.RemoteAddr().String(), "the sender has closed the connection")
		ctx.SetConnectionClose()
		return
	}
	table := g.deps.Views.View().Table
	if table == nil || !g.deps.Usable(now) || uint64(table.Config().Version) < order.Version {
		detour.Decline(ctx, detour.NotReady)
		return
	}
	route := table.Match(order.Host, order.Path)
	if route == nil {
		detour.Decline(ctx, detour.NotReady)
		return
	}
	tenant, key, ok := authenticateOrder(table, route, order)
	if !ok {
		// The other VM's configuration may be older, or the key was removed since.
		detour.Decline(ctx, detour.NotReady)
		return
	}
	request := runner.Request{
		Tenant:   tenant,
		Key:      key,
		Message:  &pool.Message{ID: order.Request, Head: order.Head, Body: order.Body, NoBody: order.NoBody},
		Route:    route,
		Arrived:  now.Add(-time.Duration(order.AgeMicros) * time.Microsecond),
		Overhead: time.Duration(order.OverheadMicros)*time.Microsecond + roundTrip(ctx.Conn()) + detourMargin,
		Wait:     time.Duration(order.WaitMicros) * time.Microsecond,
		Host:     order.Host,
		Path:     order.Path,
		Counted:  order.Counted,
	}
	request.Service = pickService(route)
	if g.deps.Coverage.Missing(route, request.Service) >= int(order.Missing) && order.Missing > 0 {
		detour.Decline(ctx, detour.Unreachable)
		return
	}
	if !g.limitToStop(&request, now) {
		detour.Decline(ctx, detour.NotReady)
		return
	}
	// The VM that read the request from the caller has charged the tenant's quota.
	unsent := g.run(ctx, g.deps.Local, request)
	// The answer and its encoded form are in memory at a time.
	accept.Holder(ctx.Conn()).Set(budget.Response, 2*len(ctx.Response.Body()))
	detour.Wrap(ctx, table.Config().Version, unsent)
}
