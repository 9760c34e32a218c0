// Package guard bounds what callers can make an HTTP server hold in memory: it reads the
// bodies of requests within a limit and a budget, before the handler runs, and accounts for
// the responses that are being written.
package guard

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/accept"
	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/core/events"
)

const (
	// RetryDelay is the time after which a caller may retry that was refused for lack of
	// memory.
	RetryDelay = 500 * time.Millisecond
	// maxStreamBytes is the limit of the HTTP library, which is never reached: guard applies
	// its own.
	maxStreamBytes = 1 << 40
	// tooLargeMethod replaces the method of a request with a body that is announced over the
	// limit. The HTTP library would read 8 kB of it before the handler runs. No request that
	// arrives has this method.
	tooLargeMethod = "\x00TOO-LARGE"
)

// Cause is why a connection is closed.
type Cause string

// Causes.
const (
	// TooLarge is a body over the limit.
	TooLarge Cause = "body_too_large"
	// TooSlow is a request that doesn't arrive in time.
	TooSlow Cause = "request_timeout"
	// Malformed is a request that can't be parsed or is cut short.
	Malformed Cause = "malformed_request"
	// NoMemory is a request for whose body there is no memory.
	NoMemory Cause = "no_memory"
	// HoldsMost is a connection that is closed because it has held most memory for longest.
	HoldsMost Cause = "holds_most_memory"
)

// Reporter counts and logs connections that are closed. It may be nil.
type Reporter struct {
	listener string
	events   *events.Recorder
	counters map[Cause]*metrics.Counter
}

// NewReporter returns a reporter for a listener.
func NewReporter(listener string, recorder *events.Recorder, set *metrics.Set) *Reporter {
	r := &Reporter{listener: listener, events: recorder, counters: map[Cause]*metrics.Counter{}}
	for _, cause := range []Cause{TooLarge, TooSlow, Malformed, NoMemory, HoldsMost} {
		r.counters[cause] = set.NewCounter(fmt.Sprintf("samphirestair_connections_closed_total{listener=%q,cause=%q}", listener, cause))
	}
	return r
}

// Closed records that a connection is closed.
func (r *Reporter) Closed(cause Cause) {
	if r == nil {
		return
	}
	r.counters[cause].Inc()
	r.events.Sample("connection_closed", r.listener, string(cause))
}

// Options holds what the protection of a server depends on.
type Options struct {
	// MaxBody returns the maximum size of the body of a request in bytes.
	MaxBody  func() int
	Reporter *Reporter
	// Explain writes the body of a refusal, whose status is set. It may be nil.
	Explain func(ctx *fasthttp.RequestCtx)
}

// Protect changes a server that does not run yet: it reads bodies within the limit, and tells
// the listener which connections are idle and what they hold.
func Protect(server *fasthttp.Server, options Options) *fasthttp.Server {
	handler := server.Handler
	server.StreamRequestBody = true
	server.MaxRequestBodySize = maxStreamBytes
	server.DisablePreParseMultipartForm = true
	server.ConnState = trackConnection
	server.ErrorHandler = func(ctx *fasthttp.RequestCtx, err error) { handleError(ctx, err, options) }
	server.HeaderReceived = func(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
		if header.ContentLength() > options.MaxBody() {
			header.Del(fasthttp.HeaderExpect)
			header.SetContentLength(0)
			header.SetMethod(tooLargeMethod)
		}
		return fasthttp.RequestConfig{}
	}
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Method()) == tooLargeMethod {
			options.refuse(ctx, TooLarge)
			return
		}
		holder := accept.Holder(ctx.Conn())
		if ctx.RequestBodyStream() != nil {
			body, cause := readBody(ctx, holder, options.MaxBody())
			if cause != "" {
				options.refuse(ctx, cause)
				return
			}
			ctx.Request.SetBodyRaw(body)
			holder.Pin()
		}
		handler(ctx)
		if !ctx.Response.IsBodyStream() {
			holder.Set(budget.Response, len(ctx.Response.Body()))
		}
	}
	return server
}

// trackConnection marks a connection as idle or in use.
func trackConnection(conn net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateActive:
		accept.SetActive(conn)
	case fasthttp.StateIdle:
		accept.SetIdle(conn, time.Now())
	default:
	}
}

// handleError answers a request whose head can't be read.
func handleError(ctx *fasthttp.RequestCtx, err error, options Options) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
		options.Reporter.Closed(Malformed)
	case isTimeout(err):
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
		options.Reporter.Closed(TooSlow)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		options.Reporter.Closed(Malformed)
	}
	options.explain(ctx)
}

func (o Options) explain(ctx *fasthttp.RequestCtx) {
	if o.Explain != nil {
		o.Explain(ctx)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// refuse answers a request whose body was not read to its end, so that it has not run, and
// closes the connection.
func (o Options) refuse(ctx *fasthttp.RequestCtx, cause Cause) {
	o.Reporter.Closed(cause)
	ctx.SetConnectionClose()
	switch cause {
	case TooLarge:
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	case TooSlow:
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	case NoMemory:
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(RetryDelay.Seconds(), 'f', 3, 64))
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
	o.explain(ctx)
}

// readBody reads the body of a request within the memory that its holder may have. cause is empty
// if the body is complete.
func readBody(ctx *fasthttp.RequestCtx, holder *budget.Holder, limit int) (body []byte, cause Cause) {
	announced := ctx.Request.Header.ContentLength()
	if announced > limit {
		return nil, TooLarge
	}
	most := limit + 1
	if announced >= 0 {
		most = announced
	}
	body, err := budget.ReadUpTo(ctx.RequestBodyStream(), most, func(size int) bool {
		return holder.Reserve(budget.Request, size, time.Now().Add(budget.MaxWait))
	})
	switch {
	case errors.Is(err, budget.ErrNoMemory):
		return nil, NoMemory
	case isTimeout(err):
		return nil, TooSlow
	case err != nil || len(body) < announced:
		return nil, Malformed
	case len(body) > limit:
		return nil, TooLarge
	}
	return body, ""
}
