// Package entry executes the requests that callers sent to this VM: it admits
// them, runs one state machine per request, sends the machines' messages to the
// mesh and passes replies and timer events to them.
package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/mesh"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/engine"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/snap"
)

// Names of the policies for replica choice, hedging and admission that are used
// by default.
const (
	DefaultChoose = "expect"
	DefaultHedge  = "budget"
	DefaultAdmit  = "feasible"
)

// answerMargin is the time before a request's deadline that is reserved for
// sending the answer to the caller.
const answerMargin = 2 * time.Millisecond

// Deps holds the dependencies of an Entry. Events and Metrics may be nil; all
// other fields are required.
type Deps struct {
	Self    ident.Process
	Views   *view.Publisher
	Mesh    mesh.Sender
	Events  *events.Recorder
	Metrics *metrics.Set
}

// Options configures an Entry. The zero value selects the defaults.
type Options struct {
	// Choose, Hedge and Admit are the names of the policies for replica choice,
	// hedging and admission. Empty means the default.
	Choose string
	Hedge  string
	Admit  string

	ChooseOptions choose.Options
	HedgeOptions  hedge.Options
	AdmitOptions  admit.Options
	SnapOptions   snap.Options
}

// Entry executes the requests of callers. It is safe for concurrent use. It
// implements mesh.ReplyHandler for queries whose ID has the top bit clear.
type Entry struct {
	deps     Deps
	policies Policies
	choose   choose.Policy
	hedge    hedge.Policy
	admit    admit.Policy
	table    *snap.Table
	pending  *pending
	metrics  requestMetrics

	lastID        atomic.Uint64
	mu            sync.Mutex
	depsByService map[ident.ServiceID]engine.Deps
	active        requestCounter
}

var _ mesh.ReplyHandler = (*Entry)(nil)

// New returns an Entry, or an error if a policy name is unknown.
func New(deps Deps, options Options) (*Entry, error) {
	e := &Entry{
		deps:          deps,
		table:         snap.New(options.SnapOptions),
		pending:       newPending(),
		depsByService: map[ident.ServiceID]engine.Deps{},
	}
	e.metrics.set = deps.Metrics
	if err := e.buildPolicies(options); err != nil {
		return nil, errors.Wrap(err, "entry: policies")
	}
	return e, nil
}

func (e *Entry) buildPolicies(options Options) error {
	e.policies = Policies{
		Choose: nameOrDefault(options.Choose, DefaultChoose),
		Hedge:  nameOrDefault(options.Hedge, DefaultHedge),
		Admit:  nameOrDefault(options.Admit, DefaultAdmit),
	}
	newChoose, err := choose.Policies.Lookup(e.policies.Choose)
	if err != nil {
		return err
	}
	newHedge, err := hedge.Policies.Lookup(e.policies.Hedge)
	if err != nil {
		return err
	}
	newAdmit, err := admit.Policies.Lookup(e.policies.Admit)
	if err != nil {
		return err
	}
	e.choose = newChoose(options.ChooseOptions)
	e.hedge = newHedge(options.HedgeOptions)
	e.admit = newAdmit(options.AdmitOptions)
	return nil
}

func nameOrDefault(name, fallback string) string {
	if name == "" {
		return fallback
	}
	return name
}

// machineDeps returns the dependencies of a service's machines, which are
// created once per service.
func (e *Entry) machineDeps(service ident.ServiceID) engine.Deps {
	e.mu.Lock()
	defer e.mu.Unlock()
	if deps, ok := e.depsByService[service]; ok {
		return deps
	}
	live := engine.NewServiceCatalog(e.table, e.deps.Views.Load, service)
	deps := engine.Deps{
		Catalog: live,
		Fleet:   live,
		Choose:  e.choose,
		Hedge:   e.hedge,
		Latency: e.admit,
		Counter: e.deps.Events,
	}
	e.depsByService[service] = deps
	return deps
}
