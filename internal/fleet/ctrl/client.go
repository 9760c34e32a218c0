package ctrl

import (
	"cmp"
	"context"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	defaultTimeout = time.Second
	idleTimeout    = time.Minute
)

// ClientOptions configures a client. The zero value is useful.
type ClientOptions struct {
	Metrics *metrics.Set
	// Timeout bounds each call. 0 means 1 s.
	Timeout time.Duration
	// Self is this process's control address, told to peers while a filter is
	// in use.
	Self string
	// Filter cuts links to peers; nil cuts none.
	Filter Filter
}

// Client calls other VMs over one connection each.
type Client struct {
	options ClientOptions
	traffic *traffic
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the connection to one address. dialing is a lock that can be
// waited for with a context.
type peer struct {
	dialing chan struct{}

	mu   sync.Mutex
	link *link
	used time.Time
}

// link is one connection.
type link struct {
	socket *meteredConn
	rpc    *jsonrpc2.Conn
}

// NewClient returns a client without connections.
func NewClient(options ClientOptions) *Client {
	options.Timeout = cmp.Or(options.Timeout, defaultTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		options: options,
		traffic: newTraffic(options.Metrics),
		ctx:     ctx,
		cancel:  cancel,
		peers:   map[string]*peer{},
	}
}

// Close closes all connections. Calls under way fail.
func (c *Client) Close() {
	c.cancel()
}

// Call calls a method of the process at addr. It fails with ErrUnreachable or
// ErrRemote. A connection that stays silent during a call is replaced at the
// next one.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	if c.options.Filter != nil && !c.options.Filter.Allowed(addr) {
		<-ctx.Done()
		return errors.Wrapf(ErrUnreachable, "%s at %s: cut", method, addr)
	}
	p := c.peer(addr)
	l, err := c.connect(ctx, p, addr)
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "%s at %s: %v", method, addr, err)
	}
	return c.exchange(ctx, p, l, addr, method, params, result)
}

// Probe is Call on a new connection, which replaces the present one.
func (c *Client) Probe(ctx context.Context, addr, method string, params, result any) error {
	p := c.peer(addr)
	p.mu.Lock()
	old := p.link
	p.mu.Unlock()
	if old != nil {
		p.drop(old)
	}
	return c.Call(ctx, addr, method, params, result)
}

func (c *Client) exchange(ctx context.Context, p *peer, l *link, addr, method string, params, result any) error {
	c.traffic.callsOut.Inc()
	started := time.Now()
	err := l.rpc.Call(ctx, method, params, result, c.meta()...)
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return errors.Wrapf(ErrRemote, "%s at %s: %s", method, addr, remote.Message)
	}
	if !errors.Is(ctx.Err(), context.Canceled) && l.socket.silentSince(started) || ctx.Err() == nil {
		p.drop(l)
	}
	return errors.Wrapf(ErrUnreachable, "%s at %s: %v", method, addr, err)
}

func (c *Client) meta() []jsonrpc2.CallOption {
	if c.options.Filter == nil {
		return nil
	}
	return []jsonrpc2.CallOption{jsonrpc2.Meta(sender{From: c.options.Self})}
}

func (c *Client) peer(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok {
		c.sweepLocked()
		p = &peer{dialing: make(chan struct{}, 1)}
		c.peers[addr] = p
	}
	p.touch()
	return p
}

// sweepLocked closes connections that have not been used for a while.
func (c *Client) sweepLocked() {
	maps.DeleteFunc(c.peers, func(_ string, p *peer) bool { return p.closeIfIdle() })
}

// connect returns the present connection or opens one.
func (c *Client) connect(ctx context.Context, p *peer, addr string) (*link, error) {
	if l := p.current(); l != nil {
		return l, nil
	}
	select {
	case p.dialing <- struct{}{}:
		defer func() { <-p.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if l := p.current(); l != nil {
		return l, nil
	}
	c.traffic.dials.Inc()
	socket, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	metered := &meteredConn{Conn: socket, traffic: c.traffic}
	l := &link{socket: metered, rpc: newConn(c.ctx, metered, ignore{})}
	p.mu.Lock()
	p.link = l
	p.mu.Unlock()
	return l, nil
}

// current returns the connection unless it has been closed.
func (p *peer) current() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		return nil
	}
	select {
	case <-p.link.rpc.DisconnectNotify():
		p.link = nil
	default:
	}
	return p.link
}

// drop closes a connection and forgets it if it is the present one.
func (p *peer) drop(l *link) {
	p.mu.Lock()
	if p.link == l {
		p.link = nil
	}
	p.mu.Unlock()
	_ = l.rpc.Close()
}

func (p *peer) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = time.Now()
}

func (p *peer) closeIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.used) < idleTimeout {
		return false
	}
	if p.link != nil {
		_ = p.link.rpc.Close()
	}
	return true
}

// ignore drops requests that arrive on a client's connection.
type ignore struct{}

// Handle does nothing.
func (ignore) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
