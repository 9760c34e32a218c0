package ferry

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
)

const (
	// dialTimeout bounds a connection to another VM, which is a few milliseconds away.
	dialTimeout = 150 * time.Millisecond
	// silenceTimeout is the time without a sign of life after which another VM is given
	// up. It bears several late signs.
	silenceTimeout = 400 * time.Millisecond
	// idleTimeout closes connections that are of no use any more.
	idleTimeout = 20 * time.Second
	// maxConnections bounds the orders under way at one VM.
	maxConnections = 256
)

// Client sends orders to other VMs. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{hosts: map[string]*fasthttp.HostClient{}}
}

// Ordered is an order under way. It is safe for concurrent use.
type Ordered struct {
	cancelled atomic.Bool
}

// Cancel gives the order up. The VM notices it, and gives up its attempts, within two
// signs of life.
func (o *Ordered) Cancel() {
	o.cancelled.Store(true)
}

// Retain closes the connections to VMs for which keep is false.
func (c *Client) Retain(keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, host := range c.hosts {
		if !keep(address) {
			host.CloseIdleConnections()
			delete(c.hosts, address)
		}
	}
}

func (c *Client) host(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	host := c.hosts[address]
	if host == nil {
		host = &fasthttp.HostClient{
			Addr:                     address,
			MaxConns:                 maxConnections,
			MaxIdleConnDuration:      idleTimeout,
			WriteTimeout:             silenceTimeout,
			StreamResponseBody:       true,
			RetryIfErr:               httpc.NeverRetry,
			NoDefaultUserAgentHeader: true,
			Dial:                     dial,
		}
		c.hosts[address] = host
	}
	return host
}

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Wrapf(httpc.ErrNotSent, "%v", err)
	}
	return &livelyConn{conn}, nil
}

// livelyConn is a connection that fails when the peer is silent.
type livelyConn struct {
	net.Conn
}

// Read implements net.Conn.
func (c *livelyConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Send sends an order to the VM at address. take is called for each report, and end
// once after the last one: with nil, or with the reason for which attempts are left
// without an outcome, whose fate is then pool.Unsent or pool.Broken. Both are called on
// another goroutine and must not block.
func (c *Client) Send(address string, order *Order, take func(*Report), end func(fate pool.Outcome, err error)) *Ordered {
	ordered := &Ordered{}
	go func() {
		end(c.perform(address, order, ordered, take))
	}()
	return ordered
}

func (c *Client) perform(address string, order *Order, ordered *Ordered, take func(*Report)) (pool.Outcome, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, err := order.MarshalMsg(nil)
	if err != nil {
		return pool.Unsent, errors.Wrap(err, "ferry: encode")
	}
	req.SetBodyRaw(body)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(orderPath)
	req.Header.SetHost(address)
	if err := c.host(address).Do(req, resp); err != nil {
		return fateOf(err), errors.Wrap(err, "ferry: no report")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return pool.Unsent, errors.Newf("ferry: refused with status %d", resp.StatusCode())
	}
	return pool.Broken, read(resp, len(order.Sends), ordered, take)
}

// read reads reports until all attempts have an outcome.
func read(resp *fasthttp.Response, attempts int, ordered *Ordered, take func(*Report)) error {
	in := msgp.NewReader(resp.BodyStream())
	for left := attempts; left > 0; {
		report := &Report{}
		if err := report.DecodeMsg(in); err != nil {
			return errors.CombineErrors(errors.Wrap(err, "ferry: reports end"), resp.CloseBodyStream())
		}
		left -= len(report.Outcomes)
		take(report)
		if ordered.cancelled.Load() && left > 0 {
			return errors.CombineErrors(errors.New("ferry: given up"), resp.CloseBodyStream())
		}
	}
	// The connection is kept only if its body was read to the end.
	if _, err := in.NextType(); !errors.Is(err, io.EOF) {
		return errors.CombineErrors(errors.New("ferry: reports do not end"), resp.CloseBodyStream())
	}
	return errors.Wrap(resp.CloseBodyStream(), "ferry: end of reports")
}

// fateOf tells whether an order that failed may have reached the VM.
func fateOf(err error) pool.Outcome {
	if errors.Is(err, httpc.ErrNotSent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return pool.Unsent
	}
	return pool.Broken
}
