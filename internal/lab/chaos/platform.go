package chaos

import (
	"context"
	"sync"

	"github.com/samphirestair/samphirestair/internal/lab/kvsrv"
	"github.com/samphirestair/samphirestair/internal/lab/vmsrv"
)

const (
	// storeDelayMillis is the delay of each call to a slow key-value service, in
	// milliseconds.
	storeDelayMillis = 700
	// storeLossInterval is the number of writes of which one loses its answer.
	storeLossInterval = 2
	// listLagMillis is the lag of a VM list that works, in milliseconds.
	listLagMillis = 2000
)

// platform injects faults into the key-value service and the VM list.
type platform struct {
	controls Controls

	mu sync.Mutex
	// active counts the steps that inject a fault at present.
	active map[Fault]int
}

func newPlatform(deps Deps) *platform {
	return &platform{controls: deps.Controls, active: map[Fault]int{}}
}

func (p *platform) register(i *Injector) {
	for _, fault := range []Fault{StoreDown, StoreSlow, StoreLoses} {
		i.injections[fault] = p.injection(p.setStoreFaultLocked)
	}
	i.injections[ListDown] = p.injection(p.setListFaultLocked)
	i.clear = append(i.clear, func(ctx context.Context) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.setStoreFaultLocked(context.WithoutCancel(ctx))
	})
}

// injection returns the injection of a fault. request sends the faults that are
// active to the stand-in that has them.
func (p *platform) injection(request func(context.Context) error) injection {
	return func(ctx context.Context, step Step) error {
		var once sync.Once
		return applyFor(ctx, step.For,
			func() error { return p.changeActive(ctx, step.Fault, 1, request) },
			func() error {
				change := 0
				once.Do(func() { change = -1 })
				return p.changeActive(context.WithoutCancel(ctx), step.Fault, change, request)
			})
	}
}

// changeActive adds by to the number of steps that inject a fault, and calls request,
// which makes the stand-in play the faults that are active.
func (p *platform) changeActive(ctx context.Context, fault Fault, by int, request func(context.Context) error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active[fault] += by
	return request(ctx)
}

func (p *platform) setStoreFaultLocked(ctx context.Context) error {
	fault := kvsrv.Fault{Down: p.active[StoreDown] > 0}
	if p.active[StoreSlow] > 0 {
		fault.SlowMillis = storeDelayMillis
	}
	if p.active[StoreLoses] > 0 {
		fault.LoseEvery = storeLossInterval
	}
	return p.controls.Store(ctx, fault)
}

func (p *platform) setListFaultLocked(ctx context.Context) error {
	return p.controls.List(ctx, vmsrv.Fault{Down: p.active[ListDown] > 0, LagMillis: listLagMillis})
}
