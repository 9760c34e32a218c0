package deleg

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/reply"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
)

const (
	// dialTimeout bounds connecting to a delegate; its round trip is a few milliseconds.
	dialTimeout = 150 * time.Millisecond
	// silenceTimeout is the time without data from a delegate after which its order
	// fails. It tolerates several missed heartbeats.
	silenceTimeout = 400 * time.Millisecond
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 20 * time.Second
	// maxConnectionsPerVM bounds the orders in flight to one delegate.
	maxConnectionsPerVM = 256
)

// Client sends orders to delegates. It is safe for concurrent use.
type Client struct {
	hosts *httpc.HostPool
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{hosts: httpc.NewHostPool(newHost)}
}

// PendingOrder is an order in flight. It is safe for concurrent use.
type PendingOrder struct {
	cancelled atomic.Bool
}

// Cancel cancels the order without blocking. The delegate detects it and cancels the
// remaining attempts within two heartbeat intervals.
func (o *PendingOrder) Cancel() {
	o.cancelled.Store(true)
}

// Retain closes idle connections to addresses for which keep returns false, and removes
// their clients.
func (c *Client) Retain(keep func(address string) bool) {
	c.hosts.Retain(keep)
}

// newHost returns the client of one delegate.
func newHost(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                     address,
		MaxConns:                 maxConnectionsPerVM,
		MaxIdleConnDuration:      idleTimeout,
		WriteTimeout:             silenceTimeout,
		StreamResponseBody:       true,
		RetryIfErr:               httpc.NeverRetry,
		NoDefaultUserAgentHeader: true,
		Dial:                     dial,
	}
}

func dial(address string) (net.Conn, error) {
	conn, err := httpc.Dial(address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &readTimeoutConn{conn}, nil
}

// readTimeoutConn is a connection whose reads fail if no data arrives within
// silenceTimeout.
type readTimeoutConn struct {
	net.Conn
}

// Read implements net.Conn with a new deadline for each call.
func (c *readTimeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Send sends an order to the delegate at address and returns at once. onReport is called
// for each report. onEnd is called once after the last report. If some attempts have no
// outcome, err says why, and fate applies to them: pool.Unsent if the order was certainly
// not executed, else pool.Broken. Both callbacks run on another goroutine and must not
// block.
func (c *Client) Send(address string, order *Order, onReport func(*Report), onEnd func(fate pool.Outcome, err error)) *PendingOrder {
	pending := &PendingOrder{}
	go func() {
		onEnd(c.exchange(address, order, pending, onReport))
	}()
	return pending
}

func (c *Client) exchange(address string, order *Order, pending *PendingOrder, onReport func(*Report)) (pool.Outcome, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, err := order.MarshalMsg(nil)
	if err != nil {
		return pool.Unsent, errors.Wrap(err, "deleg: encode order")
	}
	req.SetBodyRaw(body)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(orderPath)
	req.Header.SetHost(address)
	if err := c.hosts.Host(address).Do(req, resp); err != nil {
		return fateOfError(err), errors.Wrap(err, "deleg: send order")
	}
	switch status := resp.StatusCode(); {
	case reply.IsRefusal(status):
		return pool.Unsent, errors.Newf("deleg: delegate refused the order with status %d", status)
	case status != fasthttp.StatusOK:
		return pool.Broken, errors.CombineErrors(errors.Newf("deleg: status %d", status), resp.CloseBodyStream())
	}
	return pool.Broken, readReports(resp, len(order.Sends), pending, onReport)
}

// readReports reads reports until all attempts have an outcome or the order is
// cancelled.
func readReports(resp *fasthttp.Response, attempts int, pending *PendingOrder, onReport func(*Report)) error {
	in := msgp.NewReader(resp.BodyStream())
	for remaining := attempts; remaining > 0; {
		report := &Report{}
		if err := report.DecodeMsg(in); err != nil {
			return errors.CombineErrors(errors.Wrap(err, "deleg: read report"), resp.CloseBodyStream())
		}
		rejectInvalidAnswers(report)
		remaining -= len(report.Outcomes)
		onReport(report)
		if pending.cancelled.Load() && remaining > 0 {
			return errors.CombineErrors(errors.New("deleg: order cancelled"), resp.CloseBodyStream())
		}
	}
	// The connection is reused only if the response body was read to its end.
	if _, err := in.NextType(); !errors.Is(err, io.EOF) {
		return errors.CombineErrors(errors.New("deleg: unexpected data after the last report"), resp.CloseBodyStream())
	}
	return errors.Wrap(resp.CloseBodyStream(), "deleg: close report stream")
}

// rejectInvalidAnswers marks outcomes that are reported as answered without a valid status and
// signature as broken. A delegate of an earlier version may have accepted such an answer. If its
// records are merged with others, the outcomes of these are marked, too.
func rejectInvalidAnswers(report *Report) {
	spoilt := false
	for i := range report.Outcomes {
		o := &report.Outcomes[i]
		if pool.Outcome(o.Fate) != pool.Answered || reply.IsValidStatus(int(o.Status)) && reply.IsValue(o.Signature) {
			continue
		}
		spoilt = spoilt || o.isMerged()
		o.reject("answer without a valid status or signature")
	}
	if !spoilt {
		return
	}
	report.Records = nil
	for i := range report.Outcomes {
		if o := &report.Outcomes[i]; o.isMerged() {
			o.reject("merged with an invalid answer")
		}
	}
}

// isMerged reports whether the records of an answer are among Report.Records.
func (o *Outcome) isMerged() bool {
	result := pool.Result{Outcome: pool.Outcome(o.Fate), Status: int(o.Status), Signature: o.Signature}
	return result.IsSignedSuccess() && !o.Alone
}

// reject marks an outcome as broken.
func (o *Outcome) reject(reason string) {
	o.Fate, o.Records, o.Reason = uint8(pool.Broken), nil, reason
}

// fateOfError returns pool.Unsent if the failed order certainly did not reach the
// delegate, and pool.Broken if it may have.
func fateOfError(err error) pool.Outcome {
	if errors.Is(err, httpc.ErrNotSent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return pool.Unsent
	}
	return pool.Broken
}
