package soak

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"github.com/samphirestair/samphirestair/internal/base/coll"
)

const (
	// dialTimeout bounds the connection of a proxy to its target on the same machine.
	dialTimeout = time.Second
	// bufferSize is the size in bytes of a forwarding buffer.
	bufferSize = 16 << 10
	// heldPoll is the interval at which a held direction checks whether to continue.
	heldPoll = 20 * time.Millisecond
	// fullQueueTime is the time after which opening a connection in vain shows that the
	// listener's queue is full, and maxQueueFillers bounds the connections that fill it.
	fullQueueTime   = 30 * time.Millisecond
	maxQueueFillers = 8
	// portWait is how long a proxy waits for its port. A process that is being started holds
	// copies of all descriptors for a moment.
	portWait = time.Second
)

// Impairment is a fault of a link. The zero value is a healthy link.
type Impairment struct {
	// Delay is added to each block of data, in each direction, and to the time until a
	// connection is reset whose target can't be reached.
	Delay time.Duration
	// CutUp and CutDown hold back the data to the target and from it, on all
	// connections, until the impairment ends.
	CutUp, CutDown bool
	// Refuse closes the listener, so that connections are refused.
	Refuse bool
	// Hang holds back the data on all connections, and leaves new ones without an answer.
	// At its end the connections that were open are reset.
	Hang bool
}

// Proxy forwards TCP connections on loopback and impairs them on request. It is
// safe for concurrent use.
type Proxy struct {
	address string
	// dialer opens the connections to the target.
	dialer net.Dialer

	mu     sync.Mutex
	target string
	// impairments are those in effect, and combined is their combination.
	impairments coll.Set[*Impairment]
	combined    Impairment
	listener    net.Listener
	links       coll.Set[*link]
	// fillers are the connections that fill the listener's queue while the proxy hangs.
	fillers []net.Conn
	closed  bool
	running conc.WaitGroup
}

// link is one connection through a proxy.
type link struct {
	near, far net.Conn
	// silent is set by Silence: nothing is forwarded any more.
	silent bool
}

// NewProxy returns a proxy that listens on address and forwards to target.
func NewProxy(address, target string) (*Proxy, error) {
	return NewProxyFrom(nil, address, target)
}

// NewProxyFrom is like NewProxy. The target sees connections from the IP address source.
func NewProxyFrom(source net.IP, address, target string) (*Proxy, error) {
	p := &Proxy{
		address: address, target: target, links: coll.NewSet[*link](), impairments: coll.NewSet[*Impairment](),
		dialer: net.Dialer{Timeout: dialTimeout},
	}
	if source != nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	if err := p.listen(); err != nil {
		return nil, err
	}
	return p, nil
}

// Address returns the "ip:port" address on which the proxy listens.
func (p *Proxy) Address() string {
	return p.address
}

// SetTarget forwards new connections to another target and resets the open ones.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	p.Reset()
}

// Impair adds an impairment and returns a function that removes it. Impairments may
// overlap.
func (p *Proxy) Impair(impairment Impairment) (end func() error, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := &impairment
	p.impairments.Add(one)
	return func() error {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.impairments.Remove(one)
		return p.applyLocked()
	}, p.applyLocked()
}

// applyLocked combines the impairments and applies them to the listener.
func (p *Proxy) applyLocked() error {
	before := p.combined
	p.combined = Impairment{}
	for one := range p.impairments {
		p.combined = p.combined.merge(one)
	}
	if before.Hang && !p.combined.Hang {
		if err := p.endHangLocked(); err != nil {
			return err
		}
	}
	if err := p.updateListenerLocked(); err != nil {
		return err
	}
	if p.combined.Hang && p.listener != nil && len(p.fillers) == 0 {
		return p.fillQueueLocked()
	}
	return nil
}

// updateListenerLocked opens or closes the listener.
func (p *Proxy) updateListenerLocked() error {
	switch {
	case p.combined.Refuse && p.listener != nil:
		return p.closeListenerLocked()
	case !p.combined.Refuse && p.listener == nil && !p.closed:
		return p.listenLocked()
	default:
		return nil
	}
}

func (t Impairment) merge(other *Impairment) Impairment {
	return Impairment{
		Delay:   max(t.Delay, other.Delay),
		CutUp:   t.CutUp || other.CutUp,
		CutDown: t.CutDown || other.CutDown,
		Refuse:  t.Refuse || other.Refuse,
		Hang:    t.Hang || other.Hang,
	}
}

// fillQueueLocked fills the listener's queue of new connections, so that the kernel drops
// further ones without an answer.
func (p *Proxy) fillQueueLocked() error {
	if err := p.setBacklogLocked(0); err != nil {
		return err
	}
	wasFull := false
	for range maxQueueFillers {
		c, err := net.DialTimeout("tcp", p.address, fullQueueTime)
		if err != nil && wasFull {
			return nil
		}
		// The accept loop may have taken one connection out of a full queue.
		wasFull = err != nil
		if err == nil {
			p.fillers = append(p.fillers, c)
		}
	}
	return errors.New("soak: the queue of new connections does not fill")
}

// endHangLocked resets the connections that were open, and those in the queue of new ones by
// closing the listener.
func (p *Proxy) endHangLocked() error {
	for l := range p.links {
		l.reset()
	}
	return p.closeListenerLocked()
}

// closeListenerLocked closes the listener, if there is one, and the connections that fill its
// queue.
func (p *Proxy) closeListenerLocked() error {
	for _, c := range p.fillers {
		_ = c.Close()
	}
	p.fillers = nil
	if p.listener == nil {
		return nil
	}
	err := p.listener.Close()
	p.listener = nil
	return errors.Wrap(err, "soak: close the listener")
}

// setBacklogLocked sets the length of the listener's queue of new connections.
func (p *Proxy) setBacklogLocked(length int) error {
	listener, ok := p.listener.(*net.TCPListener)
	if !ok {
		return errors.New("soak: not a TCP listener")
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "soak: backlog")
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), length) }); err != nil {
		return errors.Wrap(err, "soak: backlog")
	}
	return errors.Wrap(failed, "soak: backlog")
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.reset()
	}
}

// Silence stops forwarding on all open connections for good, without closing
// them. New connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent = true
	}
}

// Close stops the proxy, resets all connections and waits for its goroutines.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	p.combined = Impairment{}
	var err error
	if p.listener != nil {
		err = p.listener.Close()
		p.listener = nil
	}
	for l := range p.links {
		l.reset()
	}
	p.mu.Unlock()
	p.running.Wait()
	return errors.Wrap(err, "soak: close proxy")
}

func (p *Proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listenLocked()
}

func (p *Proxy) listenLocked() error {
	began := time.Now()
	l, err := net.Listen("tcp", p.address)
	for errors.Is(err, syscall.EADDRINUSE) && time.Since(began) < portWait {
		time.Sleep(heldPoll)
		l, err = net.Listen("tcp", p.address)
	}
	if err != nil {
		return errors.Wrap(err, "soak: proxy")
	}
	p.listener, p.address = l, l.Addr().String()
	p.running.Go(func() { p.accept(l) })
	return nil
}

// accept forwards connections until the listener is closed.
func (p *Proxy) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		if p.hangs() {
			for p.hangs() {
				time.Sleep(heldPoll)
			}
			(&link{near: near}).reset()
			continue
		}
		p.running.Go(func() { p.forward(near) })
	}
}

// hangs reports whether new connections are to remain without an answer.
func (p *Proxy) hangs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.combined.Hang && !p.closed
}

func (p *Proxy) forward(near net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	far, err := p.dialer.Dial("tcp", target)
	l := &link{near: near, far: far}
	if err != nil {
		delay, _ := p.state(l, func(Impairment) bool { return false })
		time.Sleep(delay)
		l.reset()
		return
	}
	p.mu.Lock()
	closed := p.closed
	p.links.Add(l)
	p.mu.Unlock()
	if closed {
		l.reset()
	}
	var both conc.WaitGroup
	both.Go(func() { p.pump(l, near, far, func(t Impairment) bool { return t.CutUp }) })
	both.Go(func() { p.pump(l, far, near, func(t Impairment) bool { return t.CutDown }) })
	both.Wait()
	p.mu.Lock()
	p.links.Remove(l)
	p.mu.Unlock()
}

// pump forwards one direction until it ends, and then closes both connections.
func (p *Proxy) pump(l *link, from, to net.Conn, isCut func(Impairment) bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		delay, held := p.state(l, isCut)
		for held {
			// While held, only the pump of the other direction or the end of the
			// impairment reveals that the connection has ended.
			time.Sleep(heldPoll)
			if p.isClosed() {
				return
			}
			delay, held = p.state(l, isCut)
		}
		time.Sleep(delay)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			l.close()
			return
		default:
			l.reset()
			return
		}
	}
}

// state returns the delay of a link in one direction, and whether its data is held
// back now.
func (p *Proxy) state(l *link, isCut func(Impairment) bool) (delay time.Duration, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.combined.Delay, l.silent || p.combined.Hang || isCut(p.combined)
}

func (p *Proxy) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// close closes both connections. An error means that one is closed already.
func (l *link) close() {
	for _, c := range []net.Conn{l.near, l.far} {
		_ = c.Close()
	}
}

// reset closes both connections with a TCP reset.
func (l *link) reset() {
	for _, c := range []net.Conn{l.near, l.far} {
		if tcp, ok := c.(*net.TCPConn); ok && tcp != nil {
			// An error means that the connection is closed already.
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}
