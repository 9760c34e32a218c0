// Package client sends requests to a backend server, one at a time per connection. A new
// connection starts with a hello exchange that identifies the server's process. A
// connection on which an answer may still be pending is never reused.
package client

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/reply"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

const (
	// DefaultMaxBody is the default maximum size of an answer's body in bytes.
	DefaultMaxBody = 4 << 20
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = time.Minute
	// answerGrace is how long after the deadline an answer is still awaited. The server
	// answers that the deadline has passed, and the connection can be reused.
	answerGrace = 10 * time.Millisecond
)

var (
	// errDialLimited means that the limits of the dialer, and not the server, kept a
	// connection from being opened in time.
	errDialLimited = errors.New("client: too many new connections")
	// errNotConnected means that a request was sent without a connection opened by
	// Connect.
	errNotConnected = errors.New("client: not connected")
)

// Options adjusts a client. The zero value selects the defaults.
type Options struct {
	// MaxBody is the maximum size of an answer's body in bytes, 0 for DefaultMaxBody.
	MaxBody int
	// Budget bounds the memory of answers. nil has no limit.
	Budget *budget.Budget
}

// Client sends requests to a backend server over a single connection, which Connect opens
// again when needed. Only Close is safe for concurrent use.
type Client struct {
	dialer     *Dialer
	httpClient *fasthttp.HostClient
	conn       *conn
	req        *fasthttp.Request
	resp       *fasthttp.Response
	uri        string
	reader     answerReader
	options    Options
}

// New returns a client that opens its connections with the dialer. It is not connected
// yet.
func New(dialer *Dialer, options Options) *Client {
	options.MaxBody = coll.Positive(options.MaxBody, DefaultMaxBody)
	c := &Client{
		dialer: dialer, req: &fasthttp.Request{}, resp: &fasthttp.Response{},
		uri: "http://" + dialer.address, options: options,
	}
	c.httpClient = &fasthttp.HostClient{
		Addr:                      dialer.address,
		Dial:                      c.handOver,
		MaxConns:                  1,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
	return c
}

// Connected reports whether the client has a connection. The server may have closed it.
func (c *Client) Connected() bool {
	return c.conn != nil && !c.conn.closed.Load()
}

// Connect checks the connection and opens a new one by the deadline if there is none or it
// is unusable. fresh reports that a new connection was opened, whose hello is returned.
func (c *Client) Connect(deadline time.Time) (hello Hello, fresh bool, err error) {
	if c.Connected() {
		if ok, _ := c.conn.checkIdle(); ok {
			return Hello{}, false, nil
		}
		c.closeConn()
	}
	opened, hello, err := c.dialer.connect(deadline)
	if err != nil {
		return Hello{}, false, err
	}
	c.conn = opened
	return hello, true, nil
}

// Do sends a request over the connection that Connect opened and waits for the answer, at
// most until the request's deadline or answer timeout. The guard is called right before
// the first byte is written; the request is not sent if it returns false.
func (c *Client) Do(r *Request, guard func() bool) Result {
	if !c.Connected() {
		return Result{Outcome: OutcomeUnsent, Status: msgs.StatusNotRun, Err: errNotConnected}
	}
	c.conn.begin(guard)
	c.encodeRequest(r)
	start := time.Now()
	deadline := answerDeadline(r, start)
	a, err := c.exchange(deadline)
	took := time.Since(start) - a.waited
	if err == nil && r.Kind == msgs.KindSearch {
		err = a.reserveDecoding(deadline)
	}
	if err != nil {
		a.held.Release()
		return c.failedResult(err, took, a.heldUp())
	}
	result := c.reader.read(r, c.resp, a.body)
	if result.Outcome == OutcomeBroken {
		c.closeConn()
	}
	result.ServiceTime = took
	result.hold(a.held)
	return result
}

// Close closes the connection without waiting for an answer.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.abort()
	}
	c.httpClient.CloseIdleConnections()
}

// handOver is the dial function of the HTTP client. It returns the connection that Connect
// opened, once.
func (c *Client) handOver(string) (net.Conn, error) {
	if !c.Connected() || c.conn.handedOver {
		return nil, errNotConnected
	}
	c.conn.handedOver = true
	return reply.NewConn(c.conn), nil
}

// closeConn closes the connection and removes it from the HTTP client's idle connections.
func (c *Client) closeConn() {
	c.conn.abort()
	c.httpClient.CloseIdleConnections()
}

// failedResult closes the connection and returns the result of a request that ended
// without an answer. heldUp is set if the answer had to wait for memory of this process, so that
// the server was not silent.
func (c *Client) failedResult(err error, took time.Duration, heldUp bool) Result {
	wrote := c.conn.wrote
	c.closeConn()
	result := Result{Err: err, ServiceTime: took}
	switch {
	case !wrote:
		result.Outcome, result.Status = OutcomeUnsent, msgs.StatusNotRun
	case errors.Is(err, budget.ErrNoMemory) || heldUp && isTimeout(err):
		result.Outcome, result.Status, result.Err = OutcomeBroken, msgs.StatusLate, budget.ErrNoMemory
	case isTimeout(err):
		result.Outcome, result.Status = OutcomeTimedOut, msgs.StatusLate
	default:
		result.Outcome, result.Status = OutcomeBroken, msgs.StatusFailed
		result.Reset = IsReset(err)
	}
	return result
}

// IsReset reports whether an error means that the server reset, closed or refused a
// connection.
func IsReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, fasthttp.ErrConnectionClosed)
}

// IsDialLimited reports whether Connect failed because of the limits of the dialer, so that
// the error says nothing about the server.
func IsDialLimited(err error) bool {
	return errors.Is(err, errDialLimited)
}

// answerDeadline returns the time until which the answer to r is awaited.
func answerDeadline(r *Request, now time.Time) time.Time {
	until := r.Deadline.Add(answerGrace)
	if r.AnswerTimeout > 0 {
		if timeout := now.Add(r.AnswerTimeout); timeout.Before(until) {
			return timeout
		}
	}
	return until
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout())
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}
