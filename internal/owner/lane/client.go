// Package lane carries requests to one backend server, one at a time per
// connection. A connection says hello before it carries work, and is never
// used again while an answer on it is due.
package lane

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

const (
	// DefaultMaxBody is the size in bytes above which an answer is refused.
	DefaultMaxBody = 4 << 20
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = time.Minute
	// answerGrace is the time after the deadline in which the server's own
	// answer to it is still awaited, so that the connection can be kept.
	answerGrace = 10 * time.Millisecond
)

var (
	// errBusy means that no connection could be opened in time for a reason on
	// this side.
	errDialLimited = errors.New("lane: no turn to connect")
	// errNoConn means that the client asked for a connection that has not been
	// opened beforehand.
	errNotConnected = errors.New("lane: no connection")
)

// Lane is one connection to a backend server, opened again when needed. It is
// not safe for concurrent use, but for Close.
type Client struct {
	dialer     *Dialer
	httpClient *fasthttp.HostClient
	conn       *conn
	req        *fasthttp.Request
	resp       *fasthttp.Response
	uri        string
	reader     answerReader
}

// New returns a lane that opens its connections with the dialer. It is not
// connected yet. maxBody is the largest answer in bytes, 0 for DefaultMaxBody.
func New(dialer *Dialer, maxBody int) *Client {
	if maxBody <= 0 {
		maxBody = DefaultMaxBody
	}
	c := &Client{
		dialer: dialer, req: &fasthttp.Request{}, resp: &fasthttp.Response{},
		uri: "http://" + dialer.address,
	}
	c.httpClient = &fasthttp.HostClient{
		Addr:                      dialer.address,
		Dial:                      c.handOver,
		MaxConns:                  1,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		MaxResponseBodySize:       maxBody,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
	return c
}

// Connected reports whether the lane has a connection.
func (c *Client) Connected() bool {
	return c.conn != nil && !c.conn.closed.Load()
}

// Connect makes sure that the lane has a working connection, and opens one if
// needed, by the deadline. fresh reports that a new connection said hello.
func (c *Client) Connect(deadline time.Time) (hello Hello, fresh bool, err error) {
	if c.Connected() {
		if ok, _ := c.conn.checkIdle(); ok {
			return Hello{}, false, nil
		}
		c.closeConn()
	}
	conn, hello, err := c.dialer.connect(deadline)
	if err != nil {
		return Hello{}, false, err
	}
	c.conn = conn
	return hello, true, nil
}

// Do sends a request over the connection that Connect provided and waits for
// the answer, at most until the request's deadline and silence bound. The
// guard is asked right before the first byte is written.
func (c *Client) Do(r *Request, guard func() bool) Result {
	if !c.Connected() {
		return Result{Outcome: OutcomeUnsent, Status: msgs.StatusNotRun, Err: errNotConnected}
	}
	c.conn.begin(guard)
	c.encodeRequest(r)
	start := time.Now()
	err := c.httpClient.DoDeadline(c.req, c.resp, answerDeadline(r, start))
	if err != nil {
		return c.failedResult(err, time.Since(start))
	}
	result := c.reader.read(r, c.resp)
	if result.Outcome == OutcomeBroken {
		c.closeConn()
	}
	result.ServiceTime = time.Since(start)
	return result
}

// Close closes the connection at once.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.abort()
	}
	c.httpClient.CloseIdleConnections()
}

// take hands the connection that Connect opened to the client.
func (c *Client) handOver(string) (net.Conn, error) {
	if !c.Connected() || c.conn.handedOver {
		return nil, errNotConnected
	}
	c.conn.handedOver = true
	return c.conn, nil
}

// drop closes the connection, also where the client keeps it as idle.
func (c *Client) closeConn() {
	c.conn.abort()
	c.httpClient.CloseIdleConnections()
}

// failure describes a request that ended without an answer.
func (c *Client) failedResult(err error, took time.Duration) Result {
	wrote := c.conn.wrote
	c.closeConn()
	result := Result{Err: err, ServiceTime: took}
	switch {
	case !wrote:
		result.Outcome, result.Status = OutcomeUnsent, msgs.StatusNotRun
	case isTimeout(err):
		result.Outcome, result.Status = OutcomeTimedOut, msgs.StatusLate
	default:
		result.Outcome, result.Status = OutcomeBroken, msgs.StatusFailed
		result.Reset = IsReset(err)
	}
	return result
}

// IsReset reports whether an error says that the server reset or refused a
// connection.
func IsReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, fasthttp.ErrConnectionClosed)
}

// IsBusy reports whether an error of Connect has a reason on this side.
func IsDialLimited(err error) bool {
	return errors.Is(err, errDialLimited)
}

// waitUntil returns the time until which the answer to r is awaited.
func answerDeadline(r *Request, now time.Time) time.Time {
	until := r.Deadline.Add(answerGrace)
	if r.AnswerTimeout > 0 {
		if silent := now.Add(r.AnswerTimeout); silent.Before(until) {
			return silent
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
