package chaos

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/kvsrv"
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/lab/vmsrv"
)

// Controls requests faults from the VMs and from the stand-ins for backend
// servers and the platform. Each request replaces the faults of the same kind
// that are in force.
type Controls interface {
	// Cut makes a VM drop the packets it sends to the given IP addresses, and to
	// no others.
	Cut(ctx context.Context, vm ident.VMID, to []string) error
	// Servers injects a fault into backend servers.
	Servers(ctx context.Context, fault server.Fault) error
	// Store injects a fault into the key-value service.
	Store(ctx context.Context, fault kvsrv.Fault) error
	// List makes the VM list fail or work again.
	List(ctx context.Context, fault vmsrv.Fault) error
}

// links cuts links between VMs. A link is cut as long as any step cuts it.
type links struct {
	controls Controls
	ips      map[ident.VMID]string

	mu sync.Mutex
	// cuts counts the steps that cut the link from a VM to an IP address.
	cuts map[ident.VMID]map[string]int
}

func newLinks(deps Deps) *links {
	l := &links{
		controls: deps.Controls,
		ips:      map[ident.VMID]string{},
		cuts:     map[ident.VMID]map[string]int{},
	}
	for _, vm := range deps.VMs {
		l.ips[vm.ID] = vm.IP
		l.cuts[vm.ID] = map[string]int{}
	}
	return l
}

func (l *links) register(i *Injector) {
	i.injections[Cut] = l.cutBothWays
	i.injections[OneWayCut] = l.cutOneWay
	i.clear = append(i.clear, l.clear)
}

// direction is one direction of a link between two VMs.
type direction struct {
	from, to ident.VMID
}

func (l *links) cutOneWay(ctx context.Context, step Step) error {
	return l.cutFor(ctx, step, l.directions(step))
}

func (l *links) cutBothWays(ctx context.Context, step Step) error {
	directions := l.directions(step)
	for _, d := range directions {
		directions = append(directions, direction{from: d.to, to: d.from})
	}
	return l.cutFor(ctx, step, directions)
}

// directions returns the direction from the step's target to its other VM, or to
// all other VMs if both are the same.
func (l *links) directions(step Step) []direction {
	from, to := ident.VMID(step.Target), ident.VMID(step.Other)
	if from != to {
		return []direction{{from: from, to: to}}
	}
	var all []direction
	for _, other := range slices.Sorted(maps.Keys(l.ips)) {
		if other != from {
			all = append(all, direction{from: from, to: other})
		}
	}
	return all
}

func (l *links) cutFor(ctx context.Context, step Step, directions []direction) error {
	l.addCuts(directions, 1)
	var once sync.Once
	return applyFor(ctx, step.For,
		func() error { return l.requestCuts(ctx, directions) },
		func() error {
			once.Do(func() { l.addCuts(directions, -1) })
			return l.requestCuts(context.WithoutCancel(ctx), directions)
		})
}

// addCuts adds change to the number of steps that cut the directions.
func (l *links) addCuts(directions []direction, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range directions {
		l.cuts[d.from][l.ips[d.to]] += change
	}
}

// requestCuts requests the present cuts from the VMs at which the directions
// begin.
func (l *links) requestCuts(ctx context.Context, directions []direction) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := map[ident.VMID]bool{}
	for _, d := range directions {
		vms[d.from] = true
	}
	var err error
	for _, vm := range slices.Sorted(maps.Keys(vms)) {
		err = errors.CombineErrors(err, l.controls.Cut(ctx, vm, l.cutAddressesLocked(vm)))
	}
	return err
}

// cutAddressesLocked returns the IP addresses to which the links of a VM are cut.
func (l *links) cutAddressesLocked(vm ident.VMID) []string {
	lost := []string{}
	for ip, count := range l.cuts[vm] {
		if count > 0 {
			lost = append(lost, ip)
		}
	}
	slices.Sort(lost)
	return lost
}

// clear requests the present cuts from all VMs.
func (l *links) clear(ctx context.Context) error {
	var all []direction
	for vm := range l.ips {
		all = append(all, direction{from: vm})
	}
	return retry(func() error { return l.requestCuts(context.WithoutCancel(ctx), all) })
}
