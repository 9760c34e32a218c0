package detour

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// ReadOrder decodes the order of another VM.
func ReadOrder(ctx *fasthttp.RequestCtx) (*Order, error) {
	var order Order
	rest, err := order.UnmarshalMsg(ctx.PostBody())
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "detour: decode order")
	case len(rest) > 0:
		return nil, errors.Newf("detour: %d bytes after the order", len(rest))
	default:
		return &order, nil
	}
}

// Decline answers that this VM has not run the request and will not run it.
func Decline(ctx *fasthttp.RequestCtx, reason string) {
	ctx.Response.Reset()
	ctx.Response.Header.Set(declinedHeader, reason)
	ctx.SetStatusCode(fasthttp.StatusConflict)
}

// Wrap turns the answer for the caller, which is in ctx, into the answer for the VM that
// sent the order. version is that of the configuration with which the request ran.
func Wrap(ctx *fasthttp.RequestCtx, version ident.Version) {
	ctx.Response.Header.Set(statusHeader, strconv.Itoa(ctx.Response.StatusCode()))
	ctx.Response.Header.Set(versionHeader, strconv.FormatUint(uint64(version), 10))
	ctx.SetStatusCode(fasthttp.StatusOK)
}
