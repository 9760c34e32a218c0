// Package httpc is the HTTP client of the platform's services. It adds to
// fasthttp that a call returns when its context ends, and that an error shows
// whether the request may have reached the service.
package httpc

import (
	"context"
	"net"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/coll"
)

var (
	// ErrNotSent means that the request certainly did not reach the service.
	ErrNotSent = errors.New("httpc: not sent")
	// ErrNoAnswer means that there was no answer, but the request may have reached
	// the service.
	ErrNoAnswer = errors.New("httpc: no answer")
)

// Defaults of Options.
const (
	defaultTimeout     = 2 * time.Second
	defaultDialTimeout = time.Second
	defaultConnections = 16
)

// Options adjusts a Client. The zero value gives the defaults.
type Options struct {
	// Timeout bounds each call without a timeout of its own.
	Timeout time.Duration
	// DialTimeout bounds opening a connection, and waiting for a free one.
	DialTimeout time.Duration
	// Connections is the maximum number of open connections.
	Connections int
}

func (o Options) withDefaults() Options {
	o.Timeout = coll.Positive(o.Timeout, defaultTimeout)
	o.DialTimeout = coll.Positive(o.DialTimeout, defaultDialTimeout)
	o.Connections = coll.Positive(o.Connections, defaultConnections)
	return o
}

// Client calls one service. It is safe for concurrent use.
type Client struct {
	base    *url.URL
	options Options
	http    *fasthttp.HostClient
	calls   conc.WaitGroup
}

// Call is one request. An empty Method means GET.
type Call struct {
	Method string
	Path   string
	Query  url.Values
	Header map[string]string
	Body   []byte
	// Timeout replaces Options.Timeout if it is positive.
	Timeout time.Duration
}

// Answer is the answer to a call. The caller of Do may modify its fields.
type Answer struct {
	Status int
	Body   []byte
	header fasthttp.ResponseHeader
}

// Header returns the value of the named header, or "".
func (a *Answer) Header(name string) string {
	return string(a.header.Peek(name))
}

// New returns a client for the service at baseURL, "http://host:port".
func New(baseURL string, options Options) (*Client, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return nil, errors.Wrap(err, "httpc: parse base URL")
	}
	if base.Scheme != "http" || base.Host == "" {
		return nil, errors.Newf("httpc: base URL %q is not http://host:port", baseURL)
	}
	options = options.withDefaults()
	return &Client{base: base, options: options, http: newHostClient(base.Host, options)}, nil
}

func newHostClient(address string, options Options) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:     address,
		MaxConns: options.Connections,
		Dial: func(address string) (net.Conn, error) {
			return Dial(address, options.DialTimeout)
		},
		MaxConnWaitTimeout:        options.DialTimeout,
		MaxIdemponentCallAttempts: 2,
		RetryIfErr:                retryGet,
	}
}

// retryGet makes fasthttp repeat a failed GET, unless it timed out: the service
// may have closed an idle connection.
func retryGet(req *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
	return false, req.Header.IsGet() && !errors.Is(err, fasthttp.ErrTimeout)
}

// NeverRetry is a value of RetryIfErr for fasthttp clients that must not repeat
// calls.
func NeverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// Do performs the call and returns its answer, whatever the status. It fails
// with ErrNotSent or ErrNoAnswer. It returns at the latest when ctx ends.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	type result struct {
		answer *Answer
		err    error
	}
	done := make(chan result, 1)
	deadline := c.deadline(ctx, call)
	c.calls.Go(func() {
		answer, err := c.exchange(call, deadline)
		done <- result{answer, err}
	})
	select {
	case r := <-done:
		return r.answer, r.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrNoAnswer, "%v", ctx.Err())
	}
}

// Close waits for the calls in progress, each of which is bounded by its timeout,
// and closes the connections. No call may be made afterwards.
func (c *Client) Close() {
	c.calls.Wait()
	c.http.CloseIdleConnections()
}

func (c *Client) deadline(ctx context.Context, call Call) time.Time {
	timeout := c.options.Timeout
	if call.Timeout > 0 {
		timeout = call.Timeout
	}
	deadline := time.Now().Add(timeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		return end
	}
	return deadline
}

func (c *Client) exchange(call Call, deadline time.Time) (*Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, call)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, c.classifyError(err)
	}
	answer := &Answer{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	resp.Header.CopyTo(&answer.header)
	return answer, nil
}

func (c *Client) fillRequest(req *fasthttp.Request, call Call) {
	target := *c.base
	target.Path = call.Path
	target.RawQuery = call.Query.Encode()
	req.SetRequestURI(target.String())
	if call.Method != "" {
		req.Header.SetMethod(call.Method)
	}
	for name, value := range call.Header {
		req.Header.Set(name, value)
	}
	req.SetBody(call.Body)
}

// classifyError converts err to ErrNotSent or ErrNoAnswer. After a timeout it closes the
// idle connections, because their peer may be unresponsive as well.
func (c *Client) classifyError(err error) error {
	if errors.Is(err, ErrNotSent) {
		return err
	}
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return errors.Wrapf(ErrNotSent, "%v", err)
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		c.http.CloseIdleConnections()
	}
	return errors.Wrapf(ErrNoAnswer, "%v", err)
}
