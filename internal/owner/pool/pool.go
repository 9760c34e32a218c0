package pool

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/owner/reach"
	"github.com/samphirestair/samphirestair/internal/plat/header"
)

// Defaults of Options.
const (
	// defaultDialTimeout is also the connect timeout of the platform's callers.
	defaultDialTimeout = time.Second
	// defaultIdleTimeout applies until the backend server states its own in a Keep-Alive
	// header.
	defaultIdleTimeout = 8 * time.Second
	// defaultMaxBodySize bounds the body of an answer, in bytes.
	defaultMaxBodySize = 8 << 20
	// maxWaiting bounds the number of attempts that wait for a connection to one server,
	// and maxWaitTime the time that each of them waits.
	maxWaiting  = 8
	maxWaitTime = time.Second
	// userTimeout is the TCP user timeout: the kernel closes a connection whose peer has
	// not acknowledged sent data for this long.
	userTimeout = 3 * time.Second
	// minDialWait is the time after which opening a connection in vain says that the server
	// can't be reached. An attempt with little time left gives up sooner.
	minDialWait = 300 * time.Millisecond
)

// Options tunes a Pool. The zero value gives the defaults.
type Options struct {
	DialTimeout time.Duration
	// IdleTimeout is the time for which an idle connection is kept if the backend server
	// states none.
	IdleTimeout time.Duration
	// MaxBody is the maximum size of an answer's body in bytes.
	MaxBody int
	// EndCheckGrace is how long an attempt whose connection was closed waits whether a new one
	// is closed as well. A proxy accepts connections to a process that has ended, and closes
	// them.
	EndCheckGrace time.Duration
	// Names holds the names of the platform's headers.
	Names header.Names
	// AllowAnonymous accepts answers without a request id. Otherwise a faulty backend server's
	// additional bytes might pass for the answer to the request that is under way.
	AllowAnonymous bool
	// Tracker stores the notices that backend servers send in their answers. If it is nil,
	// the pool creates one.
	Tracker *notice.Tracker
	// Reach is told which servers can be reached. If it is nil, the pool creates one.
	Reach *reach.Tracker
	// Budget bounds the memory of long answers. It may be nil.
	Budget *budget.Budget
}

// Pool holds the connections to all backend servers. It is safe for concurrent
// use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu      sync.Mutex
	servers map[ident.ServerID]*server

	dials, reuses, broken *metrics.Counter
	// unattributed counts the answers that belong to another request or name none.
	unattributed *metrics.Counter
}

// New returns a pool without connections and registers its counters in set.
func New(set *metrics.Set, options Options) *Pool {
	options.DialTimeout = coll.Positive(options.DialTimeout, defaultDialTimeout)
	options.IdleTimeout = coll.Positive(options.IdleTimeout, defaultIdleTimeout)
	options.MaxBody = coll.Positive(options.MaxBody, defaultMaxBodySize)
	options.EndCheckGrace = coll.Positive(options.EndCheckGrace, defaultEndCheckGrace)
	if options.Tracker == nil {
		options.Tracker = notice.NewTracker(notice.Options{})
	}
	if options.Reach == nil {
		options.Reach = reach.NewTracker()
	}
	return &Pool{
		options: options,
		dialer:  net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1, Control: setUserTimeout},
		servers: map[ident.ServerID]*server{},
		dials:   set.GetOrCreateCounter(`samphirestair_server_connections_total{kind="new"}`),
		reuses:  set.GetOrCreateCounter(`samphirestair_server_connections_total{kind="kept"}`),
		broken:  set.GetOrCreateCounter(`samphirestair_server_connections_total{kind="broken"}`),

		unattributed: set.GetOrCreateCounter("samphirestair_unattributed_answers_total"),
	}
}

// setUserTimeout makes the kernel close connections to machines that no longer respond.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Send starts one attempt. An attempt whose deadline has passed is not sent, and the
// backend server is sent the time left. If all connections are in use, the attempt waits
// at most maxWaitTime for one if wait is set, and ends as Unsent otherwise. done is called
// exactly once, on another goroutine or before Send returns, and must not block.
func (p *Pool) Send(target Target, message *Message, deadline time.Time, wait bool, done func(Result)) *Call {
	call := &Call{message: message, deadline: deadline, done: done}
	if p.rejectUnsendable(&target, call) {
		return call
	}
	srv := p.server(target)
	for {
		c, mayDial := srv.acquire(time.Now())
		switch {
		case c != nil:
			if !c.start(call) {
				continue
			}
			p.reuses.Inc()
		case mayDial:
			p.dials.Inc()
			go p.dial(srv, call)
		case !wait || !srv.enqueue(call):
			call.finish(Result{Outcome: Unsent, Reason: "all connections in use"})
		default:
			// A connection may have become idle just before the call was queued.
			p.dispatchWaiting(srv)
		}
		return call
	}
}

// Reject ends an attempt that is not sent. done is called before it returns.
func Reject(reason string, done func(Result)) *Call {
	call := &Call{done: done}
	call.finish(Result{Outcome: Unsent, Reason: reason})
	return call
}

// rejectUnsendable ends an attempt whose deadline has passed, for example because the VM
// was suspended, or whose backend server leaves or asked for a backoff. It reports whether
// it ended the attempt.
func (p *Pool) rejectUnsendable(target *Target, call *Call) bool {
	if !time.Now().Before(call.deadline) {
		call.finish(Result{Outcome: Unsent, Reason: "deadline passed before the request was sent"})
		return true
	}
	switch current := p.options.Tracker.Get(time.Now(), target.process()); {
	case current.Leaving:
		call.finish(Result{Outcome: Unsent, Leaving: true, Reason: "server is leaving"})
		return true
	case current.Backoff > 0:
		call.finish(Result{Outcome: Unsent, RetryAfter: current.Backoff, Reason: "server asked for a backoff"})
		return true
	default:
		return false
	}
}

// Probe opens a connection to target, if necessary one more than the limit, and keeps it
// for later requests. It reports whether the connection was opened within timeout.
func (p *Pool) Probe(target Target, timeout time.Duration) bool {
	srv := p.server(target)
	if p.options.Tracker.Get(time.Now(), target.process()).BlocksRequests() || !srv.reserveExtra() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	nc, err := p.connect(ctx, srv)
	if err != nil {
		p.releaseSlot(srv)
		return false
	}
	p.dials.Inc()
	c := newConn(p, srv, nc)
	go c.serveIdle()
	return true
}

// Retain closes the idle connections to backend servers for which keep returns false.
// Attempts in flight end normally.
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

// Sweep closes the connections that have reached their idle timeout.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	servers := make([]*server, 0, len(p.servers))
	for _, srv := range p.servers {
		servers = append(servers, srv)
	}
	p.mu.Unlock()
	for _, srv := range servers {
		srv.closeExpired(now)
	}
}

// Connected reports whether a connection to a backend server is open or being opened.
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

// TrialLoad returns the number of requests of this VM that a backend server has not answered,
// and whether it would be certain that its process ended while it had a request that is sent
// to it now, if it ends.
func (p *Pool) TrialLoad(id ident.ServerID) (requests int, certain bool) {
	p.mu.Lock()
	srv := p.servers[id]
	p.mu.Unlock()
	if srv == nil {
		return 0, false
	}
	return srv.load()
}

// Stats returns the number of connections to each backend server, including those being
// opened.
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

// server returns the connections to target. It retires those to an earlier process or
// address of the same ID.
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

// dial opens a connection for call, sends the request and reads the answers.
func (p *Pool) dial(srv *server, call *Call) {
	ctx, cancel := context.WithTimeout(context.Background(), min(p.options.DialTimeout, time.Until(call.deadline)))
	defer cancel()
	if !call.setCancelDial(cancel) {
		p.releaseSlot(srv)
		call.finish(Result{Outcome: Unsent, Reason: "given up before it was sent"})
		return
	}
	nc, err := p.connect(ctx, srv)
	if err != nil {
		p.releaseSlot(srv)
		outcome := Unreachable
		if call.isCancelled() {
			outcome = Unsent
		}
		call.finish(Result{Outcome: outcome, Reason: "connect: " + err.Error()})
		return
	}
	c := newConn(p, srv, nc)
	if p.rejectUnsendable(&srv.target, call) {
		c.serveIdle()
		return
	}
	c.start(call)
	c.readAnswers()
}

// connect opens a connection to a server and records whether the server can be reached.
func (p *Pool) connect(ctx context.Context, srv *server) (net.Conn, error) {
	began := time.Now()
	nc, err := p.dialer.DialContext(ctx, "tcp", srv.target.Address)
	now := time.Now()
	switch {
	case err == nil:
		p.options.Reach.Reached(now, srv.target.ID)
	case ctx.Err() == nil || now.Sub(began) >= minDialWait:
		p.options.Reach.Unreached(began, now, srv.target.ID)
	}
	return nc, err
}

// releaseSlot frees the slot of a closed connection, so that a waiting call can open
// another one.
func (p *Pool) releaseSlot(s *server) {
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
	p.dispatchWaiting(s)
}

// dispatchWaiting starts queued calls while there is an idle connection or a free slot.
func (p *Pool) dispatchWaiting(s *server) {
	for {
		call := s.popWaiting()
		if call == nil {
			return
		}
		if p.rejectUnsendable(&s.target, call) {
			continue
		}
		c, mayDial := s.acquire(time.Now())
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
