package detour

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/reply"
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
// sent the order. version is that of the configuration with which the request ran, and unsent
// is set if it was refused and no backend server received any part of it.
func Wrap(ctx *fasthttp.RequestCtx, version ident.Version, unsent bool) {
	answer := Answer{Status: uint16(ctx.Response.StatusCode()), Version: uint64(version), Unsent: unsent, Body: ctx.Response.Body()}
	for name, value := range ctx.Response.Header.All() {
		answer.Headers = append(answer.Headers, Header{Name: bytes.Clone(name), Value: bytes.Clone(value)})
	}
	encoded, err := answer.MarshalMsg(nil)
	ctx.Response.Reset()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.SetBodyRaw(encoded)
}

// unwrap replaces the answer of another VM by that for the caller, and returns the version of
// the configuration with which the request ran, and Answer.Unsent. It checks what the other VM got
// from a backend server again, since that VM may run an earlier version.
func unwrap(response *fasthttp.Response) (version ident.Version, unsent bool, err error) {
	var answer Answer
	if _, err := answer.UnmarshalMsg(response.Body()); err != nil {
		return 0, false, errors.Wrap(err, "detour: decode answer")
	}
	if !reply.IsValidStatus(int(answer.Status)) {
		return 0, false, errors.Newf("detour: answer with status %d", answer.Status)
	}
	for _, h := range answer.Headers {
		if !reply.IsName(h.Name) || !reply.IsValue(h.Value) {
			return 0, false, errors.Newf("detour: answer with an invalid header %q: %q", h.Name, h.Value)
		}
	}
	response.Reset()
	response.Header.DisableNormalizing()
	response.SetStatusCode(int(answer.Status))
	for _, h := range answer.Headers {
		response.Header.AddBytesKV(h.Name, h.Value)
	}
	response.SetBodyRaw(answer.Body)
	return ident.Version(answer.Version), answer.Unsent, nil
}
