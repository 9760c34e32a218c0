package agent_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/agent"
	"github.com/samphirestair/samphirestair/internal/fleet/ctrl"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/plat/store"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
)

const (
	eventuallyTimeout = 30 * time.Second
	// auditInterval is the time between two checks for groups with two holders.
	auditInterval = 2 * time.Millisecond
)

// memoryStore is a key-value service in memory.
type memoryStore struct {
	mu      sync.Mutex
	entries map[string]store.Entry
	changed chan struct{}
	down    bool
	// loseReplies makes every other write return ErrUnknown after it took effect.
	loseReplies bool
	writes      int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: map[string]store.Entry{}, changed: make(chan struct{})}
}

func (m *memoryStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	m.notifyLocked()
}

func (m *memoryStore) notifyLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) Get(_ context.Context, key string) (store.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return store.Entry{}, store.ErrUnavailable
	}
	return m.entries[key], nil
}

func (m *memoryStore) Swap(_ context.Context, key string, expect ident.Revision, value []byte) (ident.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, store.ErrUnavailable
	}
	if m.entries[key].Revision != expect {
		return 0, store.ErrConflict
	}
	m.writes++
	m.entries[key] = store.Entry{Value: value, Revision: expect + 1}
	m.notifyLocked()
	if m.loseReplies && m.writes%2 == 1 {
		return 0, store.ErrUnknown
	}
	return expect + 1, nil
}

func (m *memoryStore) Watch(ctx context.Context, key string, after ident.Revision) (store.Entry, error) {
	for {
		m.mu.Lock()
		entry, changed, down := m.entries[key], m.changed, m.down
		m.mu.Unlock()
		if down {
			return store.Entry{}, store.ErrUnavailable
		}
		if entry.Revision > after {
			return entry, nil
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
			return store.Entry{}, store.ErrUnchanged
		case <-ctx.Done():
			return store.Entry{}, store.ErrUnavailable
		}
	}
}

// storeAccess is one process's access to the key-value service, which can be cut off.
type storeAccess struct {
	*memoryStore
	cut atomic.Bool
}

func (s *storeAccess) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.cut.Load() {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.memoryStore.Get(ctx, key)
}

func (s *storeAccess) Swap(ctx context.Context, key string, expect ident.Revision, value []byte) (ident.Revision, error) {
	if s.cut.Load() {
		return 0, store.ErrUnavailable
	}
	return s.memoryStore.Swap(ctx, key, expect, value)
}

func (s *storeAccess) Watch(ctx context.Context, key string, after ident.Revision) (store.Entry, error) {
	entry, err := s.memoryStore.Watch(ctx, key, after)
	if s.cut.Load() {
		return store.Entry{}, store.ErrUnavailable
	}
	return entry, err
}

// fakeVMList is the platform's list of VMs.
type fakeVMList struct {
	mu  sync.Mutex
	vms map[ident.VMID]vmlist.VM
}

func (p *fakeVMList) VMs(context.Context) ([]vmlist.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []vmlist.VM
	for _, vm := range p.vms {
		list = append(list, vm)
	}
	return list, nil
}

// links blocks messages between processes, separately for each direction.
type links struct {
	mu  sync.Mutex
	cut map[[2]string]bool
}

func (l *links) set(from, to string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[[2]string{from, to}] = cut
}

// linkFilter is the ctrl.Filter of one process.
type linkFilter struct {
	links *links
	addr  string
}

func (f linkFilter) Allowed(to string) bool {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	return !f.links.cut[[2]string{f.addr, to}]
}

// stateRecorder is a StateTransfer that exports a fixed text and remembers the text
// imported for each group.
type stateRecorder struct {
	mu       sync.Mutex
	exported string
	imported map[ident.GroupID]string
}

func (n *stateRecorder) Export(ident.GroupID) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return []byte(n.exported)
}

func (n *stateRecorder) Import(group ident.GroupID, handoverState []byte, _ time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.imported[group] = string(handoverState)
}

func (n *stateRecorder) Pause(ident.GroupID, time.Time) bool { return true }

func (n *stateRecorder) importedState(group ident.GroupID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.imported[group]
}

// node is one process of the fleet under test.
type node struct {
	agent         *agent.Agent
	views         *view.Publisher
	events        *events.Recorder
	stateTransfer *stateRecorder
	store         *storeAccess
	self          view.Member
	set           *metrics.Set
	cancel        context.CancelFunc
	done          conc.WaitGroup
	alive         bool
}

// pipes is a network in memory, for tests on a simulated clock.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// pipeListener accepts the connections that are opened to an address of a network.
type pipeListener struct {
	addr   pipeAddr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

type pipeAddr string

func (a pipeAddr) Network() string { return "pipe" }

func (a pipeAddr) String() string { return string(a) }

func (l *pipeListener) Addr() net.Addr { return l.addr }

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// listen returns a listener with a new address.
func (p *pipes) listen() net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &pipeListener{addr: pipeAddr(fmt.Sprint("pipe:", len(p.listeners))), conns: make(chan net.Conn), closed: make(chan struct{})}
	p.listeners[l.addr.String()] = l
	return l
}

// dial opens a connection to a listener of the network.
func (p *pipes) dial(ctx context.Context, addr string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[addr]
	p.mu.Unlock()
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fleet is a set of processes with a key-value service and a VM list of their own.
type fleet struct {
	t *testing.T
	// network connects the processes in memory. They use TCP if it is nil.
	network *pipes

	store  *memoryStore
	list   *fakeVMList
	links  *links
	config *view.Config
	// mu guards nodes and their field alive, which auditUntil reads concurrently.
	mu    sync.Mutex
	nodes map[ident.VMID]*node
}

func newFleet(t *testing.T, config *view.Config) *fleet {
	f := &fleet{
		t:      t,
		store:  newMemoryStore(),
		list:   &fakeVMList{vms: map[ident.VMID]vmlist.VM{}},
		links:  &links{cut: map[[2]string]bool{}},
		config: config,
		nodes:  map[ident.VMID]*node{},
	}
	stop := make(chan struct{})
	var watch conc.WaitGroup
	watch.Go(func() { f.auditUntil(stop) })
	t.Cleanup(func() {
		close(stop)
		watch.Wait()
		for _, n := range f.nodes {
			n.cancel()
		}
		for _, n := range f.nodes {
			n.done.Wait()
		}
	})
	return f
}

// newFleetInMemory returns a fleet whose processes are connected in memory, for tests on a simulated clock.
func newFleetInMemory(t *testing.T, config *view.Config) *fleet {
	f := newFleet(t, config)
	f.network = &pipes{listeners: map[string]*pipeListener{}}
	return f
}

func (f *fleet) start(i, incarnation int) *node {
	l, dial := f.listen()
	addr := l.Addr().String()
	vm := ident.VMID(fmt.Sprint("vm", i))
	self := view.Member{
		Process: ident.Process{VM: vm, Incarnation: ident.Incarnation(incarnation)},
		Zone:    ident.Zone(fmt.Sprint("zone", i%4)),
		Caller:  addr,
		Peer:    addr,
		Control: addr,
	}
	logs := io.Discard
	if os.Getenv("FLEET_LOGS") != "" {
		logs = os.Stderr
	}
	logger := slog.New(slog.NewTextHandler(logs, nil)).With("self", vm)
	filter := linkFilter{f.links, addr}
	n := &node{self: self, store: &storeAccess{memoryStore: f.store}, views: &view.Publisher{}, set: metrics.NewSet(), alive: true}
	n.events = events.New(logger, n.set)
	n.stateTransfer = &stateRecorder{exported: "of " + string(vm), imported: map[ident.GroupID]string{}}
	server := ctrl.NewServer(ctrl.ServerOptions{Metrics: n.set, Filter: filter})
	client := ctrl.NewClient(ctrl.ClientOptions{Metrics: n.set, Filter: filter, Self: addr, Dial: dial})
	n.agent = agent.New(agent.Deps{
		Self: self, Store: n.store, VMs: f.list, Server: server, Client: client,
		Views: n.views, Events: n.events, Logger: logger, StateTransfer: n.stateTransfer,
	}, agent.Options{JoinJitter: 300 * time.Millisecond, VMListInterval: 500 * time.Millisecond})
	n.agent.SetConfig(f.config)
	f.list.mu.Lock()
	f.list.vms[vm] = vmlist.VM{ID: vm, Zone: self.Zone, IP: addr, State: vmlist.Live}
	f.list.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = func() { cancel(); client.Close() }
	n.done.Go(func() { _ = server.Serve(ctx, l) })
	n.done.Go(func() { n.agent.Run(ctx) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[vm] = n
	return n
}

// listen opens the listener of a process. dial is nil if processes use TCP.
func (f *fleet) listen() (l net.Listener, dial func(context.Context, string) (net.Conn, error)) {
	if f.network != nil {
		return f.network.listen(), f.network.dial
	}
	l, err := ctrl.Listen("127.0.0.1:0")
	require.NoError(f.t, err)
	return l, nil
}

// isolate cuts a process off from all others and from the key-value service, or
// connects it again.
func (f *fleet) isolate(vm ident.VMID, cut bool) {
	n := f.nodes[vm]
	n.store.cut.Store(cut)
	for _, other := range f.nodes {
		f.links.set(n.self.Control, other.self.Control, cut)
		f.links.set(other.self.Control, n.self.Control, cut)
	}
}

// recorded reports whether the process recorded a decision.
func (n *node) recorded(kind, subject string) bool {
	return slices.ContainsFunc(n.events.History(), func(d events.Decision) bool {
		return d.Kind == kind && d.Subject == subject
	})
}

// kill stops a process without a planned leave.
func (f *fleet) kill(vm ident.VMID) {
	n := f.nodes[vm]
	f.mu.Lock()
	n.alive = false
	f.mu.Unlock()
	n.cancel()
	n.done.Wait()
}

// holders returns the VM that holds each group. It fails the test if two VMs hold a
// group at the same time.
func (f *fleet) holders() map[ident.GroupID]ident.VMID {
	a := f.auditHolders()
	require.Empty(f.t, a.conflicts, "groups with two holders")
	held := map[ident.GroupID]ident.VMID{}
	for group, h := range a.held {
		held[group] = h.vm
	}
	return held
}

// auditHolders reads the leases of all live processes.
func (f *fleet) auditHolders() *holderAudit {
	a := &holderAudit{held: map[ident.GroupID]leaseHolder{}}
	f.mu.Lock()
	defer f.mu.Unlock()
	for vm, n := range f.nodes {
		if n.alive {
			a.read(vm, n.views.Load())
		}
	}
	return a
}

// auditUntil checks for groups with two holders until stop is closed.
func (f *fleet) auditUntil(stop <-chan struct{}) {
	ticks := time.NewTicker(auditInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			if conflicts := f.auditHolders().conflicts; len(conflicts) > 0 {
				f.t.Errorf("groups with two holders: %v", conflicts)
				return
			}
		case <-stop:
			return
		}
	}
}

// converged reports whether all groups are held, none of them by an excluded VM, and
// all live processes admit requests and route each group to its holder.
func (f *fleet) converged(groups int, excluded ...ident.VMID) bool {
	held := f.holders()
	if len(held) != groups {
		return false
	}
	for _, vm := range held {
		for _, x := range excluded {
			if vm == x {
				return false
			}
		}
	}
	for _, n := range f.nodes {
		v := n.views.Load()
		if n.alive && (!v.Admitting || !maps.Equal(v.Owners, held)) {
			return false
		}
	}
	return true
}

// eventually waits until the condition holds and returns the time that took. It
// fails the test after eventuallyTimeout.
func (f *fleet) eventually(condition func() bool, message string) time.Duration {
	started := time.Now()
	for !condition() {
		if time.Since(started) > eventuallyTimeout {
			f.logState()
			require.Fail(f.t, message)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(started)
}

// logState logs the holders and each live process that admits no requests or routes
// elsewhere.
func (f *fleet) logState() {
	held := f.holders()
	f.t.Logf("holders: %v", held)
	for vm, n := range f.nodes {
		v := n.views.Load()
		if n.alive && (!v.Admitting || !maps.Equal(v.Owners, held)) {
			f.t.Logf("%s: %d members, refusal %q, owners %v", vm, len(v.Members), v.Refusal, v.Owners)
		}
	}
}

// testConfig has services with two servers each, one group per server.
func testConfig(services int) *view.Config {
	c := &view.Config{Revision: 1, Serial: 1, Services: map[ident.ServiceID]*svcdoc.Document{}}
	for s := range services {
		id := ident.ServiceID(fmt.Sprint("service", s))
		doc := &svcdoc.Document{Service: id}
		for i := range 2 {
			doc.Servers = append(doc.Servers, svcdoc.Server{
				ID:   ident.ServerID(fmt.Sprintf("%s/%d", id, i)),
				Zone: ident.Zone(fmt.Sprint("zone", (s+i)%4)),
			})
		}
		c.Services[id] = doc
	}
	return c
}
