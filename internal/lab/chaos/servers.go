package chaos

import (
	"context"
	"sync"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/server"
)

const (
	// stragglerFactor multiplies the service times of a straggler.
	stragglerFactor = 20
	// garbageInterval is the number of answers of which one is garbage.
	garbageInterval = 3
)

// servers injects faults into single backend servers. A kind of fault is in force
// at a server as long as any step injects it there.
type servers struct {
	controls Controls

	mu sync.Mutex
	// active counts the steps that inject a fault at present.
	active map[serverFault]int
}

// serverFault is one kind of fault at one backend server.
type serverFault struct {
	server ident.ServerID
	fault  Fault
}

func newServers(deps Deps) *servers {
	return &servers{controls: deps.Controls, active: map[serverFault]int{}}
}

// lastingFault holds the requests that begin and end a fault that lasts.
type lastingFault struct {
	on, off server.Fault
}

func (s *servers) register(i *Injector) {
	i.injections[Cold] = s.instant(server.ActionRestart)
	i.injections[Silent] = s.instant(server.ActionSilent)
	i.injections[Garbage] = s.garbage
	lasting := map[Fault]lastingFault{
		Straggler: {
			on:  server.Fault{Action: server.ActionSlow, Factor: stragglerFactor},
			off: server.Fault{Action: server.ActionSlow, Off: true},
		},
		KillServer:   {on: server.Fault{Action: server.ActionKill}, off: server.Fault{Action: server.ActionRevive}},
		FreezeServer: {on: server.Fault{Action: server.ActionFreeze}, off: server.Fault{Action: server.ActionThaw}},
		Drain:        {on: server.Fault{Action: server.ActionDrain}, off: server.Fault{Action: server.ActionDrain, Off: true}},
		Shed:         {on: server.Fault{Action: server.ActionShed}, off: server.Fault{Action: server.ActionShed, Off: true}},
	}
	for fault, requests := range lasting {
		i.injections[fault] = func(ctx context.Context, step Step) error { return s.applyFor(ctx, step, requests) }
	}
}

// instant returns the injection of a fault that happens once and is not undone.
func (s *servers) instant(action server.Action) injection {
	return func(ctx context.Context, step Step) error {
		return s.controls.Servers(ctx, server.Fault{Server: ident.ServerID(step.Target), Action: action})
	}
}

// garbage makes a server send garbage. The kind of garbage depends on the time of
// the step, so that the schedule determines it.
func (s *servers) garbage(ctx context.Context, step Step) error {
	kinds := []server.Garbage{
		server.GarbageJSON, server.GarbageRequest, server.GarbageVersion, server.GarbageLarge, server.GarbageDeaf,
	}
	kind := kinds[int(step.At.Milliseconds())%len(kinds)]
	return s.applyFor(ctx, step, lastingFault{
		on:  server.Fault{Action: server.ActionGarbage, Garbage: kind, Every: garbageInterval},
		off: server.Fault{Action: server.ActionGarbage},
	})
}

func (s *servers) applyFor(ctx context.Context, step Step, requests lastingFault) error {
	key := serverFault{server: ident.ServerID(step.Target), fault: step.Fault}
	var once sync.Once
	return applyFor(ctx, step.For,
		func() error { return s.request(ctx, key, 1, requests) },
		func() error {
			change := 0
			once.Do(func() { change = -1 })
			return s.request(context.WithoutCancel(ctx), key, change, requests)
		})
}

// request adds change to the number of steps that inject a fault, and begins or
// ends the fault accordingly.
func (s *servers) request(ctx context.Context, key serverFault, change int, requests lastingFault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[key] += change
	fault := requests.off
	if s.active[key] > 0 {
		fault = requests.on
	}
	fault.Server = key.server
	return s.controls.Servers(ctx, fault)
}
