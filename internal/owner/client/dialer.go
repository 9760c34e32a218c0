package client

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/reply"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

const (
	// minHelloTimeout and maxHelloTimeout bound the timeout for opening a connection and
	// its hello exchange. Between them, the timeout is the time left until the deadline.
	minHelloTimeout = 100 * time.Millisecond
	maxHelloTimeout = 500 * time.Millisecond
	// connectCostDivisor limits the load of new connections: they may use at most
	// 1/connectCostDivisor of the server's time.
	connectCostDivisor = 4
)

// DialFunc opens a connection to a backend server.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Hello is a server's answer to the first request on a new connection.
type Hello struct {
	Boot ident.BootID
	// Maps is the value of bknd.HeaderMaps, the server's index maps.
	Maps string
	// AskedAt is the time before the connection was opened.
	AskedAt time.Time
	// Seq numbers the hellos of one dialer in the order of their arrival, from 1.
	Seq uint64
}

// Dialer opens connections to one backend server, one at a time and rate-limited. It is
// safe for concurrent use.
type Dialer struct {
	address     string
	dial        DialFunc
	connectCost time.Duration
	dialSlot    chan struct{}
	lastDial    time.Time
	lastSeq     uint64
	openConns   atomic.Int64
}

// NewDialer returns a dialer for the server at the address. connectCost is the time that
// the server itself spends on a new connection. A nil dial opens TCP connections.
func NewDialer(address string, connectCost time.Duration, dial DialFunc) *Dialer {
	if dial == nil {
		dial = dialTCP
	}
	return &Dialer{
		address: address, dial: dial, connectCost: connectCost,
		dialSlot: make(chan struct{}, 1),
	}
}

// OpenConns returns the number of open connections.
func (d *Dialer) OpenConns() int {
	return int(d.openConns.Load())
}

// connect opens a connection and exchanges hellos. The deadline bounds the wait for the
// dial slot and for the rate limit, where it fails with errDialLimited.
func (d *Dialer) connect(deadline time.Time) (*conn, Hello, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	select {
	case d.dialSlot <- struct{}{}:
		defer func() { <-d.dialSlot }()
	case <-ctx.Done():
		return nil, Hello{}, errors.Wrap(errDialLimited, "another connection is still being opened")
	}
	if err := d.pace(ctx); err != nil {
		return nil, Hello{}, err
	}
	limit := min(max(time.Until(deadline), minHelloTimeout), maxHelloTimeout)
	ctx, cancelHello := context.WithTimeout(context.Background(), limit)
	defer cancelHello()
	return d.dialAndHello(ctx)
}

// dialAndHello opens a connection and exchanges hellos without waiting.
func (d *Dialer) dialAndHello(ctx context.Context) (*conn, Hello, error) {
	askedAt := time.Now()
	raw, err := d.dial(ctx, d.address)
	if err != nil {
		return nil, Hello{}, errors.Wrapf(err, "client: connect to %s", d.address)
	}
	c := newConn(raw, &d.openConns)
	hello, err := d.hello(ctx, c)
	if err != nil {
		c.abort()
		return nil, Hello{}, errors.Wrapf(err, "client: hello to %s", d.address)
	}
	d.lastSeq++
	hello.Seq, hello.AskedAt = d.lastSeq, askedAt
	return c, hello, nil
}

// pace waits until the rate limit allows a new connection.
func (d *Dialer) pace(ctx context.Context) error {
	wait := time.Until(d.lastDial.Add(connectCostDivisor * d.connectCost))
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return errors.Wrap(errDialLimited, "rate limit for new connections")
		}
	}
	d.lastDial = time.Now()
	return nil
}

// hello sends the hello request on a new connection and reads the server's answer.
func (d *Dialer) hello(ctx context.Context, c *conn) (Hello, error) {
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(deadline); err != nil {
			return Hello{}, err
		}
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + d.address + bknd.PathHello)
	w := bufio.NewWriter(c)
	if err := req.Write(w); err != nil {
		return Hello{}, err
	}
	if err := w.Flush(); err != nil {
		return Hello{}, err
	}
	r := bufio.NewReader(reply.NewConn(c))
	if err := resp.Read(r); err != nil {
		return Hello{}, err
	}
	return checkHello(resp, r.Buffered())
}

func checkHello(resp *fasthttp.Response, extra int) (Hello, error) {
	boot := resp.Header.Peek(bknd.HeaderBoot)
	switch {
	case resp.StatusCode() != fasthttp.StatusNoContent:
		return Hello{}, errors.Newf("status %d", resp.StatusCode())
	case len(boot) == 0:
		return Hello{}, errors.New("no boot id in the answer")
	case extra > 0:
		return Hello{}, errors.New("bytes after the answer")
	case resp.ConnectionClose():
		return Hello{}, errors.New("server closes the connection after the answer")
	}
	return Hello{Boot: ident.BootID(boot), Maps: string(resp.Header.Peek(bknd.HeaderMaps))}, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
