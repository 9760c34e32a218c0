package ctrl

import (
	"cmp"
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/samphirestair/samphirestair/internal/base/budget"
)

const (
	defaultCallTimeout = time.Second
	idleTimeout        = time.Minute
)

// ClientOptions configures a client. Zero values select the defaults.
type ClientOptions struct {
	Metrics *metrics.Set
	// Timeout bounds each call. 0 means 1 s.
	Timeout time.Duration
	// Self is this process's control address. It is sent to peers if Filter is
	// set.
	Self string
	// Filter blocks calls to peers; nil blocks none.
	Filter Filter
	// Dial opens a connection to an address; nil opens a TCP connection.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Budget bounds the memory of replies while they are read. It may be nil.
	Budget *budget.Budget
}

// Client calls methods of other VMs over one connection per address.
type Client struct {
	options ClientOptions
	traffic *trafficMetrics
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the connection to one address.
type peer struct {
	// dialing is a lock, held while dialing, that can be awaited with a context.
	dialing chan struct{}

	mu       sync.Mutex
	conn     *connection
	lastUsed time.Time
}

// connection is a TCP connection with the JSON-RPC connection on it.
type connection struct {
	socket *meteredConn
	rpc    *jsonrpc2.Conn
}

// NewClient returns a client. Connections are opened by the first calls.
func NewClient(options ClientOptions) *Client {
	options.Timeout = cmp.Or(options.Timeout, defaultCallTimeout)
	if options.Dial == nil {
		options.Dial = dial
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		options: options,
		traffic: newTrafficMetrics(options.Metrics),
		ctx:     ctx,
		cancel:  cancel,
		peers:   map[string]*peer{},
	}
}

// Close closes all connections. Calls in flight fail.
func (c *Client) Close() {
	c.cancel()
}

// Call calls a method of the process at addr and decodes the answer into result.
// Its errors wrap ErrUnreachable or ErrRemote. If nothing is read from the
// connection during a call that times out, the connection is closed and the next
// call opens a new one.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	if c.options.Filter != nil && !c.options.Filter.Allowed(addr) {
		<-ctx.Done()
		return errors.Wrapf(ErrUnreachable, "%s at %s: blocked by the filter", method, addr)
	}
	p := c.peer(addr)
	conn, err := c.connect(ctx, p, addr)
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "%s at %s: %v", method, addr, err)
	}
	return c.callOn(ctx, p, conn, addr, method, params, result)
}

// Probe is like Call but closes the current connection and opens a new one.
func (c *Client) Probe(ctx context.Context, addr, method string, params, result any) error {
	p := c.peer(addr)
	p.mu.Lock()
	old := p.conn
	p.mu.Unlock()
	if old != nil {
		p.closeConnection(old)
	}
	return c.Call(ctx, addr, method, params, result)
}

// callOn calls a method over conn. It closes the connection after a failure that
// suggests that the connection is broken.
func (c *Client) callOn(ctx context.Context, p *peer, conn *connection, addr, method string, params, result any) error {
	c.traffic.callsOut.Inc()
	started := time.Now()
	err := conn.rpc.Call(ctx, method, params, result, c.meta()...)
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return errors.Wrapf(ErrRemote, "%s at %s: %s", method, addr, remote.Message)
	}
	if !errors.Is(ctx.Err(), context.Canceled) && conn.socket.silentSince(started) || ctx.Err() == nil {
		p.closeConnection(conn)
	}
	return errors.Wrapf(ErrUnreachable, "%s at %s: %v", method, addr, err)
}

// meta returns the option that names this process as the caller, if a filter is set.
func (c *Client) meta() []jsonrpc2.CallOption {
	if c.options.Filter == nil {
		return nil
	}
	return []jsonrpc2.CallOption{jsonrpc2.Meta(callMeta{From: c.options.Self})}
}

// peer returns the peer of an address, creating it if necessary.
func (c *Client) peer(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok {
		c.closeIdleLocked()
		p = &peer{dialing: make(chan struct{}, 1)}
		c.peers[addr] = p
	}
	p.markUsed()
	return p
}

// closeIdleLocked closes and removes connections that have not been used for
// idleTimeout. The caller holds c.mu.
func (c *Client) closeIdleLocked() {
	maps.DeleteFunc(c.peers, func(_ string, p *peer) bool { return p.closeIfIdle() })
}

// connect returns the open connection or opens one. Concurrent callers share it.
func (c *Client) connect(ctx context.Context, p *peer, addr string) (*connection, error) {
	if conn := p.current(); conn != nil {
		return conn, nil
	}
	select {
	case p.dialing <- struct{}{}:
		defer func() { <-p.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn := p.current(); conn != nil {
		return conn, nil
	}
	c.traffic.dials.Inc()
	socket, err := c.options.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	metered := &meteredConn{Conn: socket, traffic: c.traffic}
	conn := &connection{socket: metered, rpc: newConn(c.ctx, newStream(metered, c.options.Budget.NewHolder(nil), nil), discardRequests{})}
	p.mu.Lock()
	p.conn = conn
	p.mu.Unlock()
	return conn, nil
}

// current returns the open connection, or nil if there is none.
func (p *peer) current() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return nil
	}
	select {
	case <-p.conn.rpc.DisconnectNotify():
		p.conn = nil
	default:
	}
	return p.conn
}

// closeConnection closes a connection. If it is the current one, the next call opens
// a new one.
func (p *peer) closeConnection(conn *connection) {
	p.mu.Lock()
	if p.conn == conn {
		p.conn = nil
	}
	p.mu.Unlock()
	_ = conn.rpc.Close()
}

func (p *peer) markUsed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = time.Now()
}

// closeIfIdle closes the connection if it has not been used for idleTimeout, and
// reports whether it was idle that long.
func (p *peer) closeIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.lastUsed) < idleTimeout {
		return false
	}
	if p.conn != nil {
		_ = p.conn.rpc.Close()
	}
	return true
}

// discardRequests ignores requests that arrive on a client's connection.
type discardRequests struct{}

// Handle implements jsonrpc2.Handler.
func (discardRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
