package chaos

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// VM is one entry VM of the fleet.
type VM struct {
	ID   ident.VMID
	Zone ident.Zone
	IP   string
	// Address is the "ip:port" address of its process for callers.
	Address string
}

// Deps are what an Injector needs.
type Deps struct {
	Logger    *slog.Logger
	Recorder  *trace.Recorder
	Processes Processes
	Controls  Controls
	Operator  Operator
	VMs       []VM
	Documents []*svcdoc.Document
}

// Targets returns what faults may hit, in the order of VMs and documents.
func (d Deps) Targets() Targets {
	var t Targets
	for _, vm := range d.VMs {
		t.VMs = append(t.VMs, vm.ID)
		t.addZone(vm.Zone)
	}
	for _, document := range d.Documents {
		t.Services = append(t.Services, document.Service)
		for _, server := range document.Servers {
			t.Servers = append(t.Servers, server.ID)
			t.addZone(server.Zone)
		}
	}
	return t
}

func (t *Targets) addZone(zone ident.Zone) {
	if !slices.Contains(t.Zones, zone) {
		t.Zones = append(t.Zones, zone)
	}
}

// effect carries out a step, waits until it is over and undoes it. It undoes it
// early if ctx ends.
type effect func(ctx context.Context, step Step) error

// Injector carries out schedules of faults. Steps may overlap: a fault that two
// steps want ends with the later of them.
type Injector struct {
	logger  *slog.Logger
	effects map[Fault]effect
	clear   []func(context.Context) error

	mu     sync.Mutex
	report Report
}

// Report counts the steps of a run by kind.
type Report struct {
	Injected map[Fault]int
	// Failed counts the steps that could not be carried out or undone.
	Failed map[Fault]int
}

// New returns an injector for the given fleet.
func New(deps Deps) *Injector {
	i := &Injector{
		logger:  deps.Logger,
		effects: map[Fault]effect{},
		report:  Report{Injected: map[Fault]int{}, Failed: map[Fault]int{}},
	}
	newMachines(deps).register(i)
	newLinks(deps).register(i)
	newServers(deps).register(i)
	newVersions(deps).register(i)
	newPlatform(deps).register(i)
	newOperators(deps).register(i)
	return i
}

// Run carries out the steps at their times from now on and returns when all of
// them are undone.
func (i *Injector) Run(ctx context.Context, steps []Step) Report {
	begin := time.Now()
	var group conc.WaitGroup
	for _, step := range steps {
		group.Go(func() {
			if sleep(ctx, time.Until(begin.Add(step.At))) {
				i.carryOut(ctx, step)
			}
		})
	}
	group.Wait()
	i.clearAll(ctx)
	return i.report
}

func (i *Injector) carryOut(ctx context.Context, step Step) {
	logger := i.logger.With("fault", step.Fault, "target", step.Target, "other", step.Other)
	logger.Info("fault_begins", "for", step.For)
	err := i.effects[step.Fault](ctx, step)
	i.count(step.Fault, err)
	if err != nil {
		logger.Error("fault_failed", "error", err)
		return
	}
	logger.Info("fault_ended")
}

func (i *Injector) count(fault Fault, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err != nil {
		i.report.Failed[fault]++
		return
	}
	i.report.Injected[fault]++
}

// clearAll requests once more that no fault is in force, because a request of a
// step may have been late.
func (i *Injector) clearAll(ctx context.Context) {
	for _, clearPart := range i.clear {
		if err := clearPart(ctx); err != nil {
			i.logger.Error("clear_failed", "error", err)
		}
	}
}
