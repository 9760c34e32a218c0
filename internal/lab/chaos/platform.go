package chaos

import (
	"context"
	"sync"

	"github.com/samphirestair/samphirestair/internal/lab/kvsrv"
	"github.com/samphirestair/samphirestair/internal/lab/vmsrv"
)

const (
	// storeDelayMillis delays each call of a slow key-value service.
	storeDelayMillis = 700
	// storeLoses is the share of writes whose answer is lost, one in so many.
	storeLoses = 2
	// listLagMillis is the lag of a VM list that works.
	listLagMillis = 2000
)

// platform injects faults of the key-value service and the VM list.
type platform struct {
	controls Controls

	mu     sync.Mutex
	wanted map[Fault]int
}

func newPlatform(deps Deps) *platform {
	return &platform{controls: deps.Controls, wanted: map[Fault]int{}}
}

func (p *platform) register(i *Injector) {
	for _, fault := range []Fault{StoreDown, StoreSlow, StoreLoses} {
		i.effects[fault] = p.effect(p.requestStoreLocked)
	}
	i.effects[ListDown] = p.effect(p.requestListLocked)
	i.clear = append(i.clear, func(ctx context.Context) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.requestStoreLocked(context.WithoutCancel(ctx))
	})
}

// effect returns the effect of a fault that request tells the platform.
func (p *platform) effect(request func(context.Context) error) effect {
	return func(ctx context.Context, step Step) error {
		var once sync.Once
		return during(ctx, step.For,
			func() error { return p.change(ctx, step.Fault, 1, request) },
			func() error {
				change := 0
				once.Do(func() { change = -1 })
				return p.change(context.WithoutCancel(ctx), step.Fault, change, request)
			})
	}
}

func (p *platform) change(ctx context.Context, fault Fault, by int, request func(context.Context) error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted[fault] += by
	return request(ctx)
}

func (p *platform) requestStoreLocked(ctx context.Context) error {
	fault := kvsrv.Fault{Down: p.wanted[StoreDown] > 0}
	if p.wanted[StoreSlow] > 0 {
		fault.SlowMillis = storeDelayMillis
	}
	if p.wanted[StoreLoses] > 0 {
		fault.LoseEvery = storeLoses
	}
	return p.controls.Store(ctx, fault)
}

func (p *platform) requestListLocked(ctx context.Context) error {
	return p.controls.List(ctx, vmsrv.Fault{Down: p.wanted[ListDown] > 0, LagMillis: listLagMillis})
}
