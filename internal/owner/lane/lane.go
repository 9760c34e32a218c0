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
	errBusy = errors.New("lane: no turn to connect")
	// errNoConn means that the client asked for a connection that has not been
	// opened beforehand.
	errNoConn = errors.New("lane: no connection")
)

// Lane is one connection to a backend server, opened again when needed. It is
// not safe for concurrent use, but for Close.
type Lane struct {
	dialer *Dialer
	client *fasthttp.HostClient
	conn   *conn
	req    *fasthttp.Request
	resp   *fasthttp.Response
	uri    string
	reader answerReader
}

// New returns a lane that opens its connections with the dialer. It is not
// connected yet. maxBody is the largest answer in bytes, 0 for DefaultMaxBody.
func New(dialer *Dialer, maxBody int) *Lane {
	if maxBody <= 0 {
		maxBody = DefaultMaxBody
	}
	l := &Lane{
		dialer: dialer, req: &fasthttp.Request{}, resp: &fasthttp.Response{},
		uri: "http://" + dialer.address,
	}
	l.client = &fasthttp.HostClient{
		Addr:                      dialer.address,
		Dial:                      l.take,
		MaxConns:                  1,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		MaxResponseBodySize:       maxBody,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
	return l
}

// Connected reports whether the lane has a connection.
func (l *Lane) Connected() bool {
	return l.conn != nil && !l.conn.closed.Load()
}

// Connect makes sure that the lane has a working connection, and opens one if
// needed, by the deadline. fresh reports that a new connection said hello.
func (l *Lane) Connect(deadline time.Time) (hello Hello, fresh bool, err error) {
	if l.Connected() {
		if ok, _ := l.conn.quiet(); ok {
			return Hello{}, false, nil
		}
		l.drop()
	}
	c, hello, err := l.dialer.connect(deadline)
	if err != nil {
		return Hello{}, false, err
	}
	l.conn = c
	return hello, true, nil
}

// Do sends a request over the connection that Connect provided and waits for
// the answer, at most until the request's deadline and silence bound. The
// guard is asked right before the first byte is written.
func (l *Lane) Do(r *Request, guard func() bool) Result {
	if !l.Connected() {
		return Result{Outcome: OutcomeUnsent, Status: msgs.StatusNotRun, Err: errNoConn}
	}
	l.conn.begin(guard)
	l.fill(r)
	start := time.Now()
	err := l.client.DoDeadline(l.req, l.resp, waitUntil(r, start))
	if err != nil {
		return l.failure(err, time.Since(start))
	}
	result := l.reader.read(r, l.resp)
	if result.Outcome == OutcomeBroken {
		l.drop()
	}
	result.Service = time.Since(start)
	return result
}

// Close closes the connection at once.
func (l *Lane) Close() {
	if l.conn != nil {
		l.conn.abort()
	}
	l.client.CloseIdleConnections()
}

// take hands the connection that Connect opened to the client.
func (l *Lane) take(string) (net.Conn, error) {
	if !l.Connected() || l.conn.taken {
		return nil, errNoConn
	}
	l.conn.taken = true
	return l.conn, nil
}

// drop closes the connection, also where the client keeps it as idle.
func (l *Lane) drop() {
	l.conn.abort()
	l.client.CloseIdleConnections()
}

// failure describes a request that ended without an answer.
func (l *Lane) failure(err error, took time.Duration) Result {
	wrote := l.conn.wrote
	l.drop()
	result := Result{Err: err, Service: took}
	switch {
	case !wrote:
		result.Outcome, result.Status = OutcomeUnsent, msgs.StatusNotRun
	case isTimeout(err):
		result.Outcome, result.Status = OutcomeSilent, msgs.StatusLate
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
func IsBusy(err error) bool {
	return errors.Is(err, errBusy)
}

// waitUntil returns the time until which the answer to r is awaited.
func waitUntil(r *Request, now time.Time) time.Time {
	until := r.Deadline.Add(answerGrace)
	if r.Silence > 0 {
		if silent := now.Add(r.Silence); silent.Before(until) {
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
