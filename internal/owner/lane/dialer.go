package lane

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

const (
	// helloTimeoutMin and helloTimeoutMax bound the time for the opening of a
	// connection and its hello. Between them it is the time left for the work.
	minHelloTimeout = 100 * time.Millisecond
	maxHelloTimeout = 500 * time.Millisecond
	// connectShare is the share of a server's time, as a divisor, that new
	// connections may cost it.
	connectCostDivisor = 4
)

// DialFunc opens a connection to a backend server.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Hello is what a server states on a new connection.
type Hello struct {
	Boot ident.BootID
	// Maps is the text of bknd.HeaderMaps.
	Maps string
	// Seq orders the hellos of one dialer.
	Seq uint64
}

// Dialer opens connections to one backend server, one at a time and paced. It
// is safe for concurrent use.
type Dialer struct {
	address     string
	dial        DialFunc
	connectCost time.Duration
	dialSlot    chan struct{}
	lastDial    time.Time
	lastSeq     uint64
	openConns   atomic.Int64
}

// NewDialer returns a dialer for the server at the address. cost is the
// server's own time per connection. A nil dial opens TCP connections.
func NewDialer(address string, cost time.Duration, dial DialFunc) *Dialer {
	if dial == nil {
		dial = dialTCP
	}
	return &Dialer{
		address: address, dial: dial, connectCost: cost,
		dialSlot: make(chan struct{}, 1),
	}
}

// Open returns the number of open connections.
func (d *Dialer) OpenConns() int {
	return int(d.openConns.Load())
}

// connect opens a connection and asks the server for its boot identity.
func (d *Dialer) connect(deadline time.Time) (*conn, Hello, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	select {
	case d.dialSlot <- struct{}{}:
		defer func() { <-d.dialSlot }()
	case <-ctx.Done():
		return nil, Hello{}, errors.Wrap(errDialLimited, "another connection is being opened")
	}
	if err := d.pace(ctx); err != nil {
		return nil, Hello{}, err
	}
	limit := min(max(time.Until(deadline), minHelloTimeout), maxHelloTimeout)
	ctx, cancelHello := context.WithTimeout(context.Background(), limit)
	defer cancelHello()
	return d.dialAndHello(ctx)
}

func (d *Dialer) dialAndHello(ctx context.Context) (*conn, Hello, error) {
	raw, err := d.dial(ctx, d.address)
	if err != nil {
		return nil, Hello{}, errors.Wrapf(err, "lane: connect to %s", d.address)
	}
	c := newConn(raw, &d.openConns)
	hello, err := d.hello(ctx, c)
	if err != nil {
		c.abort()
		return nil, Hello{}, errors.Wrapf(err, "lane: hello to %s", d.address)
	}
	d.lastSeq++
	hello.Seq = d.lastSeq
	return c, hello, nil
}

// pace waits until the server can afford one more connection.
func (d *Dialer) pace(ctx context.Context) error {
	wait := time.Until(d.lastDial.Add(connectCostDivisor * d.connectCost))
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return errors.Wrap(errDialLimited, "connections are paced")
		}
	}
	d.lastDial = time.Now()
	return nil
}

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
	r := bufio.NewReader(c)
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
		return Hello{}, errors.New("no boot identity")
	case extra > 0:
		return Hello{}, errors.New("bytes after the answer")
	case resp.ConnectionClose():
		return Hello{}, errors.New("server closes the connection")
	}
	return Hello{Boot: ident.BootID(boot), Maps: string(resp.Header.Peek(bknd.HeaderMaps))}, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
