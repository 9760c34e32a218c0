package grant

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/plat/httpc"
	"github.com/samphirestair/samphirestair/internal/query/quota"
)

const (
	// Path is the path of orders on the port for other VMs.
	Path = "/v1/quota"
	// dialTimeout bounds connecting to another VM; its round trip is a few milliseconds.
	dialTimeout = 150 * time.Millisecond
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 20 * time.Second
	// connectionsPerVM bounds the orders in flight to one VM: one, and a few that timed out.
	connectionsPerVM = 8
	// maxReplyBytes bounds a reply.
	maxReplyBytes = 1 << 20
)

// Client sends orders over HTTP. It is safe for concurrent use.
type Client struct {
	hosts *httpc.HostPool
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{hosts: httpc.NewHostPool(newHost)}
}

// Exchange implements Transport.
func (c *Client) Exchange(address string, order *quota.Order, timeout time.Duration) (*quota.Reply, error) {
	if address == "" {
		return nil, errors.New("grant: the VM has no known address")
	}
	body, err := order.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "grant: encode order")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(Path)
	req.Header.SetHost(address)
	req.SetBodyRaw(body)
	if err := c.hosts.Host(address).DoTimeout(req, resp, timeout); err != nil {
		return nil, errors.Wrap(err, "grant: send order")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Newf("grant: status %d", resp.StatusCode())
	}
	reply := &quota.Reply{}
	if _, err := reply.UnmarshalMsg(resp.Body()); err != nil {
		return nil, errors.Wrap(err, "grant: decode reply")
	}
	return reply, nil
}

// newHost returns the client of one VM.
func newHost(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                     address,
		MaxConns:                 connectionsPerVM,
		MaxIdleConnDuration:      idleTimeout,
		MaxResponseBodySize:      maxReplyBytes,
		RetryIfErr:               httpc.NeverRetry,
		NoDefaultUserAgentHeader: true,
		Dial:                     func(address string) (net.Conn, error) { return httpc.Dial(address, dialTimeout) },
	}
}

// Retain implements Transport.
func (c *Client) Retain(keep func(address string) bool) {
	c.hosts.Retain(keep)
}

// Handler answers orders, and passes other requests to next.
func (s *Service) Handler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != Path {
			next(ctx)
			return
		}
		var order quota.Order
		if _, err := order.UnmarshalMsg(ctx.PostBody()); err != nil {
			s.deps.Events.Sample("quota_order_unreadable", ctx.RemoteAddr().String(), err.Error())
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		encoded, err := s.Handle(&order).MarshalMsg(nil)
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetBody(encoded)
	}
}
