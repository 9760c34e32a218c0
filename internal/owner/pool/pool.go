package pool

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/plat/heads"
)

// Defaults of Options.
const (
	// defaultDialTimeout is the time that callers of the platform allow a new
	// connection as well.
	defaultDialTimeout = time.Second
	// defaultIdle is used while the backend server does not tell how long it
	// keeps an idle connection.
	defaultIdle = 8 * time.Second
	// defaultMaxBody bounds the body of an answer.
	defaultMaxBody = 8 << 20
	// maxWaiting bounds the attempts that wait for a connection to one server, and
	// maxWait the time for which they do.
	maxWaiting = 8
	maxWait    = time.Second
	// silenceTimeout is the time after which the kernel gives up a connection
	// whose peer acknowledges nothing.
	silenceTimeout = 3 * time.Second
)

// Options tunes a Pool. The zero value gives the defaults.
type Options struct {
	DialTimeout time.Duration
	// Idle is the time for which an idle connection is kept if the backend
	// server tells none.
	Idle time.Duration
	// MaxBody is the largest body of an answer in bytes.
	MaxBody int
	// Names are the names of the headers.
	Names heads.Names
	// Tracker tracks what backend servers announce in their answers. nil means a
	// tracker of the pool's own.
	Tracker *notice.Tracker
}

// Pool holds the connections to all backend servers. It is safe for concurrent
// use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu      sync.Mutex
	servers map[ident.ServerID]*server

	dials, reuses, broken *metrics.Counter
}

// New returns a pool without connections that registers its counters in set.
func New(set *metrics.Set, options Options) *Pool {
	options.DialTimeout = coll.Positive(options.DialTimeout, defaultDialTimeout)
	options.Idle = coll.Positive(options.Idle, defaultIdle)
	options.MaxBody = coll.Positive(options.MaxBody, defaultMaxBody)
	if options.Tracker == nil {
		options.Tracker = notice.NewTracker(notice.Options{})
	}
	return &Pool{
		options: options,
		dialer:  net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1, Control: boundSilence},
		servers: map[ident.ServerID]*server{},
		dials:   set.GetOrCreateCounter(`samphirestair_server_connections_total{kind="new"}`),
		reuses:  set.GetOrCreateCounter(`samphirestair_server_connections_total{kind="kept"}`),
		broken:  set.GetOrCreateCounter(`samphirestair_server_connections_total{kind="broken"}`),
	}
}

// boundSilence lets the kernel give up connections to machines that no longer
// answer.
func boundSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Send starts one attempt, which has to end by deadline. If all connections are
// in use, it waits a short time for one if wait is set, and is not sent otherwise. done is
// called once, on another goroutine or before Send returns, and must not block.
func (p *Pool) Send(target Target, message *Message, deadline time.Time, wait bool, done func(Result)) *Call {
	call := &Call{message: message, deadline: deadline, done: done}
	if p.hold(&target, call) {
		return call
	}
	srv := p.server(target)
	for {
		c, mayDial := srv.take(time.Now())
		switch {
		case c != nil:
			if !c.start(call) {
				continue
			}
			p.reuses.Inc()
		case mayDial:
			p.dials.Inc()
			go p.dial(srv, call)
		case !wait || !srv.queue(call):
			call.finish(Result{Fate: Unsent, Reason: "all connections in use"})
		default:
			// A connection may have become idle just before the call waited.
			p.serveWaiting(srv)
		}
		return call
	}
}

// hold ends an attempt whose time is over, as after the VM stood still, or whose backend
// server leaves or asked for quiet. It reports whether it did.
func (p *Pool) hold(target *Target, call *Call) bool {
	if !time.Now().Before(call.deadline) {
		call.finish(Result{Fate: Unsent, Reason: "too late to be sent"})
		return true
	}
	switch said := p.options.Tracker.Get(time.Now(), target.process()); {
	case said.Leaving:
		call.finish(Result{Fate: Unsent, Leaving: true, Reason: "the server leaves"})
		return true
	case said.Backoff > 0:
		call.finish(Result{Fate: Unsent, RetryAfter: said.Backoff, Reason: "the server asked for quiet"})
		return true
	default:
		return false
	}
}

// Probe opens a connection to target and keeps it for later requests. It
// reports whether that worked within timeout.
func (p *Pool) Probe(target Target, timeout time.Duration) bool {
	srv := p.server(target)
	if p.options.Tracker.Get(time.Now(), target.process()).BlocksRequests() || !srv.reserve() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	nc, err := p.dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		p.release(srv)
		return false
	}
	p.dials.Inc()
	c := newConn(p, srv, nc)
	go c.serveIdle()
	return true
}

// Retain closes the connections to backend servers for which keep is false.
// Attempts under way end normally.
func (p *Pool) Retain(keep func(id ident.ServerID) bool) {
	p.mu.Lock()
	var gone []*server
	for id, srv := range p.servers {
		if !keep(id) {
			gone = append(gone, srv)
			delete(p.servers, id)
		}
	}
	p.mu.Unlock()
	for _, srv := range gone {
		srv.retire()
	}
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	servers := make([]*server, 0, len(p.servers))
	for _, srv := range p.servers {
		servers = append(servers, srv)
	}
	p.mu.Unlock()
	for _, srv := range servers {
		srv.sweep(now)
	}
}

// Connected reports whether there is a connection to a backend server, or one is
// being opened.
func (p *Pool) Connected(id ident.ServerID) bool {
	p.mu.Lock()
	srv := p.servers[id]
	p.mu.Unlock()
	if srv == nil {
		return false
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.open > 0
}

// Stats returns the number of open connections by backend server.
func (p *Pool) Stats() map[ident.ServerID]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := make(map[ident.ServerID]int, len(p.servers))
	for id, srv := range p.servers {
		srv.mu.Lock()
		stats[id] = srv.open
		srv.mu.Unlock()
	}
	return stats
}

// server returns the connections to target. Those to an earlier process or
// address of the same ID are retired.
func (p *Pool) server(target Target) *server {
	p.mu.Lock()
	defer p.mu.Unlock()
	srv := p.servers[target.ID]
	if srv != nil && srv.target.Born == target.Born && srv.target.Address == target.Address {
		srv.mu.Lock()
		srv.target.Connections = target.Connections
		srv.mu.Unlock()
		return srv
	}
	if srv != nil {
		go srv.retire()
	}
	srv = &server{target: target}
	p.servers[target.ID] = srv
	return srv
}

func (p *Pool) dial(srv *server, call *Call) {
	ctx, cancel := context.WithTimeout(context.Background(), min(p.options.DialTimeout, time.Until(call.deadline)))
	defer cancel()
	if !call.setDial(cancel) {
		p.release(srv)
		call.finish(Result{Fate: Unsent, Reason: "given up before it was sent"})
		return
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", srv.target.Address)
	if err != nil {
		p.release(srv)
		fate := Unreachable
		if call.isCancelled() {
			fate = Unsent
		}
		call.finish(Result{Fate: fate, Reason: "connect: " + err.Error()})
		return
	}
	c := newConn(p, srv, nc)
	if p.hold(&srv.target, call) {
		c.serveIdle()
		return
	}
	c.start(call)
	c.readAnswers()
}

// release gives back the room of a closed connection. A call that waits may
// open another one in its place.
func (p *Pool) release(s *server) {
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
	p.serveWaiting(s)
}

// serveWaiting starts the calls for which there is a connection or room for one.
func (p *Pool) serveWaiting(s *server) {
	for {
		call := s.next()
		if call == nil {
			return
		}
		if p.hold(&s.target, call) {
			continue
		}
		c, mayDial := s.take(time.Now())
		switch {
		case c != nil && c.start(call):
			p.reuses.Inc()
		case c != nil:
			s.requeue(call)
		case mayDial:
			p.dials.Inc()
			go p.dial(s, call)
		default:
			s.requeue(call)
			return
		}
	}
}
