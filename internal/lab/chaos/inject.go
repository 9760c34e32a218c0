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

// VM is one VM of the fleet.
type VM struct {
	ID   ident.VMID
	Zone ident.Zone
	IP   string
	// Address is the "ip:port" address at which its process accepts callers.
	Address string
}

// Deps are the dependencies of an Injector and the fleet that it acts on.
type Deps struct {
	Logger    *slog.Logger
	Recorder  *trace.Recorder
	Processes Processes
	Controls  Controls
	Operator  Operator
	VMs       []VM
	Documents []*svcdoc.Document
}

// Targets returns the possible targets of faults, in the order of VMs and
// documents.
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

// addZone adds a zone unless it is listed already.
func (t *Targets) addZone(zone ident.Zone) {
	if !slices.Contains(t.Zones, zone) {
		t.Zones = append(t.Zones, zone)
	}
}

// injection injects the fault of a step, waits for the duration of the step and
// undoes the fault. If ctx ends, it undoes the fault early.
type injection func(ctx context.Context, step Step) error

// Injector injects the faults of a schedule. Steps may overlap: a fault that two
// steps inject into the same target ends with the later step.
type Injector struct {
	logger     *slog.Logger
	injections map[Fault]injection
	clear      []func(context.Context) error

	mu     sync.Mutex
	report Report
}

// Report counts the steps of a run by kind.
type Report struct {
	Injected map[Fault]int
	// Failed counts the steps whose fault could not be injected or undone.
	Failed map[Fault]int
}

// New returns an injector for the given fleet.
func New(deps Deps) *Injector {
	i := &Injector{
		logger:     deps.Logger,
		injections: map[Fault]injection{},
		report:     Report{Injected: map[Fault]int{}, Failed: map[Fault]int{}},
	}
	newVMProcesses(deps).register(i)
	newLinks(deps).register(i)
	newServers(deps).register(i)
	newVersions(deps).register(i)
	newPlatform(deps).register(i)
	newOperators(deps).register(i)
	return i
}

// Run runs the steps, whose times count from the call, and returns when all
// faults are undone. If ctx ends, it undoes them early and skips the steps that
// have not begun.
func (i *Injector) Run(ctx context.Context, steps []Step) Report {
	begin := time.Now()
	var group conc.WaitGroup
	for _, step := range steps {
		group.Go(func() {
			if sleep(ctx, time.Until(begin.Add(step.At))) {
				i.runStep(ctx, step)
			}
		})
	}
	group.Wait()
	i.clearAll(ctx)
	return i.report
}

// runStep runs one step, and logs and counts its result.
func (i *Injector) runStep(ctx context.Context, step Step) {
	logger := i.logger.With("fault", step.Fault, "target", step.Target, "other", step.Other)
	logger.Info("fault_begins", "for", step.For)
	err := i.injections[step.Fault](ctx, step)
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

// clearAll requests the end of all cuts and key-value service faults once more,
// because a delayed request of a step may have arrived after the one that undid
// the fault.
func (i *Injector) clearAll(ctx context.Context) {
	for _, clearPart := range i.clear {
		if err := clearPart(ctx); err != nil {
			i.logger.Error("clear_failed", "error", err)
		}
	}
}
