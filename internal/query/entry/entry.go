// Package entry drives the requests that callers brought to this VM: it admits
// them, runs one state machine for each, and carries messages and timers
// between the machines and the mesh.
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
	"github.com/samphirestair/samphirestair/internal/query/course"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/snap"
)

// Names of the policies that are used unless the options say otherwise.
const (
	DefaultChoose = "expect"
	DefaultHedge  = "budget"
	DefaultAdmit  = "feasible"
)

// answerMargin is the part of a request's time that is kept for the way of the
// answer to the caller.
const answerMargin = 2 * time.Millisecond

// Deps is what an Entry depends on. Events and Metrics may be nil; all else is
// required.
type Deps struct {
	Self    ident.Process
	Views   *view.Holder
	Mesh    mesh.Sender
	Events  *events.Recorder
	Metrics *metrics.Set
}

// Options tunes an Entry. The zero value is useful.
type Options struct {
	// Choose, Hedge and Admit name policies. Empty means the default.
	Choose string
	Hedge  string
	Admit  string

	ChooseOptions choose.Options
	HedgeOptions  hedge.Options
	AdmitOptions  admit.Options
	SnapOptions   snap.Options
}

// Entry runs the requests of callers. It is safe for concurrent use. It
// implements mesh.ReplyHandler for queries whose ID has no top bit.
type Entry struct {
	deps     Deps
	policies Policies
	choose   choose.Policy
	hedge    hedge.Policy
	admit    admit.Policy
	table    *snap.Table
	pending  *pending
	meters   meters

	lastID   atomic.Uint64
	mu       sync.Mutex
	services map[ident.ServiceID]course.Deps
	active   tracker
}

var _ mesh.ReplyHandler = (*Entry)(nil)

// New returns an entry. It fails if a policy is unknown.
func New(deps Deps, options Options) (*Entry, error) {
	e := &Entry{
		deps:     deps,
		table:    snap.New(options.SnapOptions),
		pending:  newPending(),
		services: map[ident.ServiceID]course.Deps{},
	}
	e.meters.set = deps.Metrics
	if err := e.build(options); err != nil {
		return nil, errors.Wrap(err, "entry: policies")
	}
	return e, nil
}

func (e *Entry) build(options Options) error {
	e.policies = Policies{
		Choose: nameOr(options.Choose, DefaultChoose),
		Hedge:  nameOr(options.Hedge, DefaultHedge),
		Admit:  nameOr(options.Admit, DefaultAdmit),
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

func nameOr(name, fallback string) string {
	if name == "" {
		return fallback
	}
	return name
}

// machineDeps returns what the machines of a service depend on.
func (e *Entry) machineDeps(service ident.ServiceID) course.Deps {
	e.mu.Lock()
	defer e.mu.Unlock()
	if deps, ok := e.services[service]; ok {
		return deps
	}
	live := course.NewServiceCatalog(e.table, e.deps.Views.Load, service)
	deps := course.Deps{
		Catalog: live,
		Fleet:   live,
		Choose:  e.choose,
		Hedge:   e.hedge,
		Latency: e.admit,
		Counter: e.deps.Events,
	}
	e.services[service] = deps
	return deps
}
