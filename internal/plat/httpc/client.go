// Package httpc is the HTTP client of the platform's services. It adds to
// fasthttp what their callers need: a call ends with its context, and a
// failure tells whether the request may have reached the service.
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
	// ErrNoAnswer means that the request may have reached the service.
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
	// Timeout bounds each call that sets no time of its own.
	Timeout time.Duration
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// Connections is the largest number of open connections.
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

// Answer is the answer to a call. Its fields belong to the receiver.
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
		return nil, errors.Wrap(err, "httpc: base URL")
	}
	if base.Scheme != "http" || base.Host == "" {
		return nil, errors.Newf("httpc: base URL %q is not http://host:port", baseURL)
	}
	options = options.withDefaults()
	return &Client{base: base, options: options, http: newHostClient(base.Host, options)}, nil
}

func newHostClient(address string, options Options) *fasthttp.HostClient {
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	return &fasthttp.HostClient{
		Addr:     address,
		MaxConns: options.Connections,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := dialer.Dial("tcp", addr)
			if err != nil {
				return nil, errors.Wrapf(ErrNotSent, "%v", err)
			}
			return conn, nil
		},
		MaxConnWaitTimeout:        options.DialTimeout,
		MaxIdemponentCallAttempts: 2,
		RetryIfErr:                retryRead,
	}
}

// retryRead allows one more attempt for reads, because the service may have
// closed an idle connection.
func retryRead(req *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
	return false, req.Header.IsGet() && !errors.Is(err, fasthttp.ErrTimeout)
}

// NeverRetry is for clients whose calls must not be repeated by the library.
func NeverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// Do performs the call and returns its answer, whatever the status. It fails
// with ErrNotSent or ErrNoAnswer, at the latest when ctx ends.
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
		answer, err := c.perform(call, deadline)
		done <- result{answer, err}
	})
	select {
	case r := <-done:
		return r.answer, r.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrNoAnswer, "%v", ctx.Err())
	}
}

// Close waits for the calls under way, each of which ends by its timeout, and
// closes the connections. No call may be made afterwards.
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

func (c *Client) perform(call Call, deadline time.Time) (*Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, call)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, c.classify(err)
	}
	answer := &Answer{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	resp.Header.CopyTo(&answer.header)
	return answer, nil
}

func (c *Client) fill(req *fasthttp.Request, call Call) {
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

// classify turns err into what is known about the request. After a timeout the
// idle connections are closed, because they may be silent as well.
func (c *Client) classify(err error) error {
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
