// Package tier assembles and runs the process of a VM that forwards requests to
// backend servers according to configured routes.
package tier

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/boot"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/fwconf"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/core/guard"
	"github.com/samphirestair/samphirestair/internal/fleet/beats"
	"github.com/samphirestair/samphirestair/internal/fleet/roll"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/fleet/seeds"
	"github.com/samphirestair/samphirestair/internal/front/gate"
	"github.com/samphirestair/samphirestair/internal/link/deleg"
	"github.com/samphirestair/samphirestair/internal/link/detour"
	"github.com/samphirestair/samphirestair/internal/link/gossip"
	"github.com/samphirestair/samphirestair/internal/link/grant"
	"github.com/samphirestair/samphirestair/internal/link/tally"
	"github.com/samphirestair/samphirestair/internal/ops/admin"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/owner/reach"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
	"github.com/samphirestair/samphirestair/internal/plat/header"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/poison"
	"github.com/samphirestair/samphirestair/internal/query/quota"
	"github.com/samphirestair/samphirestair/internal/query/relay"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

const (
	// garbagePercent is the GOGC value, which trades CPU time for memory. The live heap
	// is small.
	garbagePercent = 100
	// hedgeQuantile is the quantile of a route's latency after which an attempt is
	// overdue. One attempt in ten is then overdue, which the retry budget allows.
	hedgeQuantile = 0.9
	// budgetFraction is the fraction of the configured retry share that is spent. The
	// rest is a margin for retries and hedges that arrive at backend servers in a
	// later window than they were sent in.
	budgetFraction = 0.9
	// callersTime is the time without a request after which a VM that doesn't serve has no
	// callers any more. Most callers send several requests a second.
	callersTime = 5 * time.Second
	// initialHedgeDelay is the hedge delay of a route without a latency goal until
	// enough answers were measured.
	initialHedgeDelay = 30 * time.Millisecond
)

// Adapter is what a platform adapter supplies: the store, the decoder of its
// values, the header names and the handlers whose answers follow the platform's
// formats.
type Adapter struct {
	Depot depot.Depot
	// Eras tracks the era of the store for Depot.
	Eras   *depot.EraTracker
	Reader roster.Decoder
	// RolloutStatus returns the key and the value that tell operators of a roll-out.
	RolloutStatus func(service ident.ServiceID, record *roll.Record) (key string, value []byte, err error)
	Names         header.Names
	// Ready and Directory return the handlers of the readiness port and of the
	// port that serves the address list.
	Ready     func(ready func() bool) fasthttp.RequestHandler
	Directory func(addresses func() []string, lifetime func() time.Duration) fasthttp.RequestHandler
}

// Tier is one process. It is created by New, and Run is called once.
type Tier struct {
	// settings are those read at startup; current holds the latest ones. Settings
	// that may change without a restart are read from current.
	settings     *fwconf.Settings
	current      atomic.Pointer[fwconf.Settings]
	loadSettings Loader
	adapter      Adapter
	events       *events.Recorder
	metrics      *metrics.Set

	follower   *roster.Follower
	registrar  *roster.Registrar
	heartbeats *beats.Heartbeater
	notices    *notice.Tracker
	reach      *reach.Tracker
	// partitionChangedAt is when this VM was last found to be partitioned from the backend
	// servers, or no longer to be. Only maintain uses it.
	partitionChangedAt time.Time
	pool               *pool.Pool
	peerClient         *deleg.Client
	delegates          *runner.Delegates
	detours            *detour.Runner
	peerServer         *deleg.Server
	identity           poison.Identity
	ledger             *poison.Ledger
	gossip             *gossip.Exchange
	quota              *grant.Service
	rollouts           *tally.Exchange
	env                *relay.Env
	// cost is the choice of servers of env.
	cost      choose.CostPolicy
	admission admit.QueuingPolicy
	gate      *gate.Gate
	ready     *fasthttp.Server
	directory *fasthttp.Server
	admin     *admin.Server
	// memory bounds what is held for callers, backend servers and other VMs.
	memory *guard.Memory
	// ports holds the listeners from Run on.
	ports atomic.Pointer[listeners]
}

// Loader reads the settings. It fails if they can't be read or are invalid.
type Loader func() (*fwconf.Settings, error)

// New assembles a process. It opens only the UDP socket of the heartbeats; Run
// opens the listeners.
func New(settings *fwconf.Settings, load Loader, adapter Adapter, logger *slog.Logger) (*Tier, error) {
	debug.SetGCPercent(garbagePercent)
	t := &Tier{settings: settings, loadSettings: load, adapter: adapter, metrics: metrics.NewSet()}
	t.current.Store(settings)
	logger = logger.With(slog.String("vm", string(settings.VM.ID)))
	t.events = events.New(logger, t.metrics)
	adapter.Eras.LogTo(t.events)
	t.memory = guard.NewMemory(settings.VM.Memory, listenerNames, t.events, t.metrics)
	t.metrics.NewGauge("samphirestair_servers_unreached", func() float64 { return float64(t.reach.State().Unreached) })
	for _, state := range []poison.State{poison.Suspect, poison.Quarantined} {
		t.metrics.NewGauge(fmt.Sprintf("samphirestair_requests_held{state=%q}", state), func() float64 { return float64(t.ledger.Counts(time.Now())[state]) })
	}
	t.metrics.NewGauge("samphirestair_store_era", func() float64 { return float64(adapter.Eras.Current()) })
	self := roster.Member{
		VM: settings.VM.ID, Zone: settings.VM.Zone, CallerAddress: settings.Listen.Callers, PeerAddress: settings.Listen.Peers,
		Cores: settings.VM.Cores, BootID: rand.Uint64(),
	}
	fleetState := roster.NewState(self.VM, adapter.Reader, t.events)
	peers := seeds.NewClient(func() []string { return t.heartbeats.RecentSenders() })
	t.follower = roster.NewFollower(adapter.Depot, fleetState, roster.FollowerOptions{CatchUpTime: settings.Depot.Touch, Peers: peers, BeforePublish: t.announceRollouts})
	t.registrar = roster.NewRegistrar(adapter.Depot, t.follower, self, t.events)
	t.reach = reach.NewTracker()
	var err error
	t.heartbeats, err = beats.New(beats.Deps{
		Self: self.VM, View: t.follower.View, Serving: t.isServing, HasCallers: t.hasCallers, Wake: t.registrar.Wake,
		ViewAge: t.follower.Age, Missed: t.registrar.RecordMissed,
		Reach: t.reachReport, Receive: func(message []byte) { t.gossip.Receive(message) }, Depot: adapter.Depot, Events: t.events,
	}, settings.Listen.Peers)
	if err != nil {
		return nil, err
	}
	t.ledger = poison.NewLedger(poison.Options{Hold: settings.Quarantine.Hold, Events: t.events})
	t.identity = poison.NewIdentity(append(slices.Clone(settings.Quarantine.Callers), adapter.Names.Tenant))
	t.gossip = gossip.New(gossip.Deps{
		Ledger: t.ledger, Broadcaster: t.heartbeats, MaxBytes: beats.MaxMessageBytes, Serving: func() bool { return t.registrar.Serving() || t.hasCallers() }, Peers: t.otherVMs, Events: t.events,
	})
	t.quota = grant.New(grant.Deps{
		Self: quota.Process{VM: self.VM, Boot: self.BootID}, Views: t.follower, Peers: t.heartbeats.Detector(), OwnsShare: t.ownsShare,
		Bounds: t.quotaBounds, Transport: grant.NewClient(), Events: t.events, Metrics: t.metrics,
	})
	t.notices = notice.NewTracker(notice.Options{MaxBackoff: settings.Servers.Quiet, Events: t.events})
	t.pool = pool.New(t.metrics, pool.Options{Names: adapter.Names, Tracker: t.notices, Reach: t.reach, Budget: t.memory.Budget})
	if err = t.buildEnv(); err != nil {
		return nil, err
	}
	newAdmit, err := admit.Policies.Lookup("fair")
	if err != nil {
		return nil, errors.Wrap(err, "tier: policies")
	}
	var ok bool
	if t.admission, ok = newAdmit(admit.Options{}).(admit.QueuingPolicy); !ok {
		return nil, errors.New("tier: the admission policy has no queue")
	}
	t.metrics.NewGauge("samphirestair_admission_waiting", func() float64 { return t.sumAdmission(func(s admit.ServiceState) int { return s.Waiting }) })
	t.metrics.NewGauge("samphirestair_admission_tenants", func() float64 { return t.sumAdmission(countTenants) })
	t.buildRollouts(self)
	t.peerClient = deleg.NewClient()
	t.peerServer = deleg.NewServer(deleg.ServerDeps{
		Sender: runner.NewLocalSender(t.follower, t.pool), Refuse: t.refusesOrder, LateEnd: t.recordLateEnd, Fallback: t.peerHandler(),
		Events: t.events, Reporter: t.memory.Reporter(peersPort),
	})
	t.delegates = runner.NewDelegates(t.follower, t.heartbeats.Detector())
	t.env.CanDelegate = t.delegates.Has
	local := runner.New(runner.Deps{
		Env: t.env, Admit: t.admission, Identity: t.identity, Ledger: t.ledger, Sender: t.pool, OrderSender: t.peerClient, Delegates: t.delegates,
		Views: t.follower, Events: t.events, Metrics: t.metrics,
	})
	coverage := detour.NewCoverage(t.follower, t.reach, t.env.Health)
	t.detours = detour.New(detour.Deps{
		Self: self.VM, Inner: local, Coverage: coverage, Views: t.follower, Peers: t.heartbeats.Detector(),
		RequestID: adapter.Names.RequestID, Events: t.events, Metrics: t.metrics, Budget: t.memory.Budget,
	})
	t.gate = gate.New(gate.Deps{
		Runner: t.detours, Local: local, Coverage: coverage, Views: t.follower, Self: self,
		Serving: t.registrar.Serving, Usable: t.registrar.ViewUsable, Accepting: t.isAccepting, Peers: t.heartbeats.Detector(),
		Quota: t.quota, Names: adapter.Names, Events: t.events, Reporter: t.memory.Reporter(callersPort),
	})
	t.ready = gate.NewServer(adapter.Ready(t.gate.Ready), t.smallBodies(readyPort))
	t.directory = gate.NewServer(adapter.Directory(t.gate.Addresses, t.addressListLifetime), t.smallBodies(directoryPort))
	t.admin = admin.New(admin.Deps{
		Logger:   logger,
		Metrics:  t.metrics,
		Sections: t.sections(),
		Status:   func() any { return t.status() },
		Fleet:    func(context.Context) any { return t.follower.View().Members },

		Quarantine: operatorOrders{t.ledger},
		Reporter:   t.memory.Reporter(adminPort),
	})
	return t, nil
}

// reachReport returns what other VMs get to know of the links to backend servers.
func (t *Tier) reachReport() beats.Reach {
	state := t.reach.State()
	return beats.Reach{Unreached: state.Unreached, Partitioned: state.MayBePartitioned()}
}

// peerHandler returns the handler of the requests of other VMs that are not orders.
func (t *Tier) peerHandler() fasthttp.RequestHandler {
	others := t.rollouts.Handler(t.quota.Handler(t.gossip.Handler(seeds.Handler(t.follower))))
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == detour.Path {
			t.gate.RunDetour(ctx)
			return
		}
		others(ctx)
	}
}

// isServing reports whether other VMs may rely on this one: it serves callers and
// does not drain. A VM that leaves gets no more heartbeats.
func (t *Tier) isServing() bool {
	return t.registrar.Serving() && !t.gate.Draining()
}

// ownsShare reports whether this VM may use its part of the limits that are divided among the
// serving VMs.
func (t *Tier) ownsShare() bool {
	return t.isServing() && t.registrar.OwnsShare(time.Now())
}

// budgetMembers returns the number of VMs among which the slack of the retry budgets
// is divided, or 0 while this VM owns no share: its part then belongs to the VM that
// replaces it.
func (t *Tier) budgetMembers() int {
	if !t.ownsShare() {
		return 0
	}
	return t.follower.View().ShareCount
}

// quotaBounds returns by how much the quotas of tenants may be exceeded.
func (t *Tier) quotaBounds() quota.Bounds {
	settings := t.current.Load().Quota
	return quota.Bounds{Window: settings.Window, Overage: settings.Overage, Slack: settings.Slack}
}

// buildEnv creates the policies and the state that all queries share.
func (t *Tier) buildEnv() error {
	newChoice, err := choose.Policies.Lookup("cost")
	if err != nil {
		return errors.Wrap(err, "tier: policies")
	}
	newBudget, err := hedge.Policies.Lookup("fleet")
	if err != nil {
		return errors.Wrap(err, "tier: policies")
	}
	options := hedge.Options{
		Window: t.settings.RetryBudget.Window,
		Bound: func() (share, slack float64) {
			budget := t.current.Load().RetryBudget
			return budgetFraction * budget.Share, budget.Slack
		},
		Members: t.budgetMembers,
	}
	var ok bool
	if t.cost, ok = newChoice(choose.Options{}).(choose.CostPolicy); !ok {
		return errors.New("tier: the choice of servers doesn't tell requests apart by cost")
	}
	t.registerCostMetrics()
	t.env = &relay.Env{
		Replicas: func() relay.Replicas { return t.follower.View() },
		Choose:   t.cost,
		Zone:     t.settings.VM.Zone,
		Budget:   newBudget(options),
		Latency:  newBudget(hedge.Options{Quantile: hedgeQuantile, InitialDelay: initialHedgeDelay}),
		Health:   relay.NewHealth(),
		TrialLoad: func(server ident.ServerID) (requests int, certain bool) {
			return t.pool.TrialLoad(server)
		},
		Notices:   t.notices,
		Exposures: relay.NewExposures(boot.Now, t.exposureSlack, rand.Float64),
		Pace:      relay.NewPacer(t.pace, time.Now()),
		Options:   relay.Options{Partial: t.settings.Answers.Partial, CrossZonePenalty: t.settings.Cost.Stay}.WithDefaults(),
	}
	return nil
}

// pace returns this VM's part of the rate of a backend server that is in cold start or
// names a limit. A VM that owns no share has no part.
func (t *Tier) pace(now time.Time, replica *roster.Replica) relay.Pace {
	pace, view, self := relay.Pace{Rate: math.Inf(1)}, t.follower.View(), t.settings.VM.ID
	if limit, limited := t.notices.Limit(replica.Process()); limited {
		pace.Rate, pace.Spread = roster.LimitedRate(view, self, float64(limit.Limit))
		pace.Since = limit.Since
	}
	if now.Before(replica.ColdUntil) {
		pace.Rate = min(pace.Rate, roster.ColdStartRate(view, self, replica))
	}
	if !math.IsInf(pace.Rate, 1) && !t.ownsShare() {
		pace.Rate = 0
	}
	return pace
}

// Run runs the process until a planned stop is complete. The first value on stop
// begins the stop. Each value on reload makes it reload the settings, which it
// also does periodically. Run returns an error at once if a port can't be opened.
func (t *Tier) Run(stop, reload <-chan os.Signal) error {
	ports, err := t.listen()
	if err != nil {
		return err
	}
	t.ports.Store(ports)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running, heartbeats conc.WaitGroup
	running.Go(func() { t.follower.Run(ctx) })
	running.Go(func() { t.registrar.Run(ctx) })
	heartbeats.Go(func() { t.heartbeats.Run(ctx) })
	running.Go(func() { t.maintain(ctx) })
	running.Go(func() { t.gossip.Run(ctx) })
	running.Go(func() { t.quota.Run(ctx) })
	running.Go(func() { t.rollouts.Run(ctx) })
	running.Go(func() { t.watchSettings(ctx, reload) })
	t.serve(&running, "callers", t.gate.Serve, ports.callers)
	t.serve(&running, "directory", t.directory.Serve, ports.directory)
	t.serve(&running, "ready", t.ready.Serve, ports.ready)
	t.serve(&running, "peers", t.peerServer.Serve, ports.peers)
	t.serve(&running, "admin", t.admin.Serve, ports.admin)
	t.events.Record("process_started", string(t.settings.VM.ID), "settings read", slog.String("callers", t.settings.Listen.Callers))
	<-stop
	t.stop(ctx)
	cancel()
	// The next process may start in this one's place at once, and needs the port.
	heartbeats.Wait()
	return nil
}

// serve runs one server in the background and logs its failure.
func (t *Tier) serve(running *conc.WaitGroup, part string, serve func(net.Listener) error, l net.Listener) {
	running.Go(func() {
		if err := serve(l); err != nil {
			t.events.Record("listener_failed", part, err.Error())
		}
	})
}
