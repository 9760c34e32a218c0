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

// Controls requests faults of VMs and stand-ins. Each request replaces the
// faults of its kind that are in force.
type Controls interface {
	// Cut makes a VM lose what it sends towards the given IP addresses.
	Cut(ctx context.Context, vm ident.VMID, to []string) error
	Servers(ctx context.Context, fault server.Fault) error
	Store(ctx context.Context, fault kvsrv.Fault) error
	// List makes the VM list fail or work.
	List(ctx context.Context, fault vmsrv.Fault) error
}

// links cuts links between VMs. A link is cut while any step wants it.
type links struct {
	controls Controls
	ips      map[ident.VMID]string

	mu sync.Mutex
	// wanted counts the steps that cut the link from a VM towards an IP
	// address.
	wanted map[ident.VMID]map[string]int
}

func newLinks(deps Deps) *links {
	l := &links{
		controls: deps.Controls,
		ips:      map[ident.VMID]string{},
		wanted:   map[ident.VMID]map[string]int{},
	}
	for _, vm := range deps.VMs {
		l.ips[vm.ID] = vm.IP
		l.wanted[vm.ID] = map[string]int{}
	}
	return l
}

func (l *links) register(i *Injector) {
	i.effects[Cut] = l.bothWays
	i.effects[OneWayCut] = l.oneWay
	i.clear = append(i.clear, l.clear)
}

// direction is a link from one VM towards another.
type direction struct {
	from, to ident.VMID
}

func (l *links) oneWay(ctx context.Context, step Step) error {
	return l.during(ctx, step, l.directions(step))
}

func (l *links) bothWays(ctx context.Context, step Step) error {
	directions := l.directions(step)
	for _, d := range directions {
		directions = append(directions, direction{from: d.to, to: d.from})
	}
	return l.during(ctx, step, directions)
}

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

func (l *links) during(ctx context.Context, step Step, directions []direction) error {
	l.want(directions, 1)
	var once sync.Once
	return during(ctx, step.For,
		func() error { return l.request(ctx, directions) },
		func() error {
			once.Do(func() { l.want(directions, -1) })
			return l.request(context.WithoutCancel(ctx), directions)
		})
}

func (l *links) want(directions []direction, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range directions {
		l.wanted[d.from][l.ips[d.to]] += change
	}
}

// request tells the VMs at which the directions begin what they lose now.
func (l *links) request(ctx context.Context, directions []direction) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := map[ident.VMID]bool{}
	for _, d := range directions {
		vms[d.from] = true
	}
	var err error
	for _, vm := range slices.Sorted(maps.Keys(vms)) {
		err = errors.CombineErrors(err, l.controls.Cut(ctx, vm, l.lostLocked(vm)))
	}
	return err
}

func (l *links) lostLocked(vm ident.VMID) []string {
	lost := []string{}
	for ip, count := range l.wanted[vm] {
		if count > 0 {
			lost = append(lost, ip)
		}
	}
	slices.Sort(lost)
	return lost
}

func (l *links) clear(ctx context.Context) error {
	var all []direction
	for vm := range l.ips {
		all = append(all, direction{from: vm})
	}
	return persist(func() error { return l.request(context.WithoutCancel(ctx), all) })
}
