// Package node assembles one process of an entry VM from its parts and runs it.
package node

import (
	"log/slog"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/syncer"
	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/core/guard"
	"github.com/samphirestair/samphirestair/internal/fleet/agent"
	"github.com/samphirestair/samphirestair/internal/fleet/ctrl"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/front/caller"
	"github.com/samphirestair/samphirestair/internal/link/block"
	"github.com/samphirestair/samphirestair/internal/link/mesh"
	"github.com/samphirestair/samphirestair/internal/ops/admin"
	"github.com/samphirestair/samphirestair/internal/owner/coord"
	"github.com/samphirestair/samphirestair/internal/owner/sender"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
	"github.com/samphirestair/samphirestair/internal/plat/store"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
	"github.com/samphirestair/samphirestair/internal/query/entry"
)

// watchTimeout is the time after which a watch call to the key-value service returns
// without a change. The answer proves that the configuration is still in force.
const watchTimeout = 2 * time.Second

// Names of the listeners.
const callerPort, peerPort, controlPort, adminPort = "caller", "peer", "control", "admin"

// Node is one process of an entry VM.
type Node struct {
	settings *vmconf.Settings
	logger   *slog.Logger
	metrics  *metrics.Set
	events   *events.Recorder
	// memory bounds what is held for callers, other VMs and operators.
	memory       *guard.Memory
	self         view.Member
	views        *view.Publisher
	blockedLinks *block.Blocklist

	client      *ctrl.Client
	control     *ctrl.Server
	agent       *agent.Agent
	syncer      *syncer.Syncer
	mesh        *mesh.Mesh
	sender      *sender.Sender
	coordinator *coord.Coordinator
	entry       *entry.Entry
	caller      *caller.Server
	admin       *admin.Server
}

// New assembles a process. Nothing runs or listens yet.
func New(settings *vmconf.Settings, logger *slog.Logger) (*Node, error) {
	n := &Node{
		settings: settings,
		logger:   logger.With(slog.String("vm", string(settings.VM.ID))),
		metrics:  metrics.NewSet(),
		views:    &view.Publisher{},
		self:     newSelf(settings, time.Now()),
	}
	if settings.Test.Faults {
		n.blockedLinks = &block.Blocklist{}
	}
	n.events = events.New(n.logger, n.metrics)
	n.memory = guard.NewMemory(settings.VM.Memory, []string{callerPort, peerPort, controlPort, adminPort}, n.events, n.metrics)
	n.buildLinks()
	if err := n.buildFleet(); err != nil {
		return nil, err
	}
	if err := n.buildTraffic(); err != nil {
		return nil, err
	}
	n.buildAdmin()
	return n, nil
}

// newSelf returns the member entry of this process, which starts at now. The start
// time is its incarnation.
func newSelf(settings *vmconf.Settings, now time.Time) view.Member {
	return view.Member{
		Process: ident.Process{VM: settings.VM.ID, Incarnation: ident.Incarnation(now.UnixNano())},
		Zone:    settings.VM.Zone,
		Caller:  settings.CallerAddress(),
		Peer:    settings.PeerAddress(),
		Control: settings.ControlAddress(),
	}
}

// buildLinks creates the connections to other VMs.
func (n *Node) buildLinks() {
	n.client = ctrl.NewClient(ctrl.ClientOptions{Metrics: n.metrics, Self: n.self.Control, Filter: n.controlFilter(), Budget: n.memory.Budget})
	n.control = ctrl.NewServer(ctrl.ServerOptions{
		Logger: n.logger, Metrics: n.metrics, Filter: n.controlFilter(), Reporter: n.memory.Reporter(controlPort),
	})
	n.mesh = mesh.New(n.self.Process, n.settings.VM.IP, n.logger, n.metrics, mesh.Options{
		Blocklist: n.blockedLinks, Reporter: n.memory.Reporter(peerPort), Budget: n.memory.Budget,
	})
}

// controlFilter returns nil unless the settings allow tests to block links.
func (n *Node) controlFilter() ctrl.Filter {
	if n.blockedLinks == nil {
		return nil
	}
	return controlFilter{blocklist: n.blockedLinks}
}

// buildFleet creates what follows the fleet and the configuration, and the owner's
// sender.
func (n *Node) buildFleet() error {
	kv, err := store.NewHTTP(n.settings.Platform.Store, n.metrics, store.HTTPOptions{Wait: watchTimeout})
	if err != nil {
		return errors.Wrap(err, "node: key-value service")
	}
	list, err := vmlist.NewHTTP(n.settings.Platform.VMs, httpc.Options{})
	if err != nil {
		return errors.Wrap(err, "node: VM list")
	}
	n.sender = sender.New(sender.Deps{Self: n.self.Process, Views: n.views, Mesh: n.mesh, Events: n.events, Budget: n.memory.Budget}, sender.Options{})
	n.agent = agent.New(agent.Deps{
		Self:          n.self,
		Store:         kv,
		VMs:           list,
		Server:        n.control,
		Client:        n.client,
		Views:         n.views,
		Events:        n.events,
		Logger:        n.logger,
		StateTransfer: n.sender,
		OnNewerConfig: func(peer view.Member, revision ident.Revision) { n.syncer.NotePeerRevision(peer, revision) },
	}, agent.Options{
		Lease:             lease.Options{Length: n.settings.Fleet.Lease},
		HeartbeatInterval: n.settings.Fleet.Heartbeat,
	})
	n.syncer = syncer.New(syncer.Deps{
		Store:    kv,
		Fetch:    peerConfig{client: n.client},
		Events:   n.events,
		OnConfig: n.agent.SetConfig,
	}, syncer.Options{})
	serveConfig(n.control, n.syncer)
	n.serveBrief(n.control)
	return nil
}

// buildTraffic creates what handles requests.
func (n *Node) buildTraffic() error {
	n.coordinator = coord.New(coord.Deps{
		Self:   n.self.Process,
		Views:  n.views,
		Mesh:   n.mesh,
		Claims: n.agent,
		Next:   n.sender,
		Events: n.events,
	}, coord.Options{})
	var err error
	n.entry, err = entry.New(
		entry.Deps{Self: n.self.Process, Views: n.views, Mesh: n.mesh, Events: n.events, Metrics: n.metrics},
		entry.Options{
			Choose: n.settings.Policies.Replica,
			Hedge:  n.settings.Policies.Hedge,
			Admit:  n.settings.Policies.Admission,
		})
	if err != nil {
		return errors.Wrap(err, "node: policies")
	}
	n.mesh.Attach(n.coordinator, &router{coordinator: n.coordinator, entry: n.entry})
	n.caller = caller.New(
		caller.Deps{Runner: n.entry, Views: n.views, Reporter: n.memory.Reporter(callerPort)},
		caller.Options{AddressLifetime: n.settings.Fleet.ListLifetime})
	return nil
}

func (n *Node) buildAdmin() {
	n.admin = admin.New(admin.Deps{
		Logger:  n.logger,
		Metrics: n.metrics,
		Sections: map[string]admin.Section{
			"self":      func() any { return n.self },
			"fleet":     n.agent.State,
			"config":    func() any { return n.syncer.State() },
			"owner":     func() any { return n.sender.State() },
			"home":      func() any { return n.coordinator.State() },
			"entry":     func() any { return n.entry.State() },
			"decisions": func() any { return n.events.History() },
			"memory":    func() any { return n.memory.State() },
		},
		Status:   func() any { return n.brief() },
		Fleet:    n.fleet,
		LinkCuts: n.blockedLinks,
		Reporter: n.memory.Reporter(adminPort),
	})
}

// listeners are the listeners of a running process except that for callers.
type listeners struct {
	peer, control, admin net.Listener
}

// listen opens all listeners, or none if one fails.
func (n *Node) listen() (*listeners, error) {
	l := &listeners{}
	ports := []struct {
		listener *net.Listener
		open     func(address string) (net.Listener, error)
		address  string
	}{
		{&l.peer, mesh.Listen, n.settings.PeerAddress()},
		{&l.control, ctrl.Listen, n.settings.ControlAddress()},
		{&l.admin, admin.Listen, n.settings.AdminAddress()},
	}
	for _, port := range ports {
		listener, err := port.open(port.address)
		if err != nil {
			return nil, errors.CombineErrors(errors.Wrapf(err, "node: listen on %s", port.address), l.close())
		}
		*port.listener = listener
	}
	l.peer = n.memory.Bound(l.peer, peerPort, guard.Peers())
	l.control = n.memory.Bound(l.control, controlPort, guard.Peers())
	l.admin = n.memory.Bound(l.admin, adminPort, guard.Operators())
	return l, nil
}

func (l *listeners) close() error {
	var err error
	for _, listener := range []net.Listener{l.peer, l.control, l.admin} {
		if listener != nil {
			err = errors.CombineErrors(err, listener.Close())
		}
	}
	return err
}
