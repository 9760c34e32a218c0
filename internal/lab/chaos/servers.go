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
	// garbageEvery is the share of answers that are garbage, one in so many.
	garbageEvery = 3
)

// servers injects faults of single backend servers. A fault of one kind is in
// force at a server while any step wants it.
type servers struct {
	controls Controls

	mu     sync.Mutex
	wanted map[serverFault]int
}

// serverFault is one kind of fault at one server.
type serverFault struct {
	server ident.ServerID
	fault  Fault
}

func newServers(deps Deps) *servers {
	return &servers{controls: deps.Controls, wanted: map[serverFault]int{}}
}

// switched are the faults that last, with the requests that begin and end
// them.
type switched struct {
	on, off server.Fault
}

func (s *servers) register(i *Injector) {
	i.effects[Cold] = s.once(server.ActionRestart)
	i.effects[Silent] = s.once(server.ActionSilent)
	i.effects[Garbage] = s.garbage
	lasting := map[Fault]switched{
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
		i.effects[fault] = func(ctx context.Context, step Step) error { return s.during(ctx, step, requests) }
	}
}

// once returns the effect of a fault that is over at once.
func (s *servers) once(action server.Action) effect {
	return func(ctx context.Context, step Step) error {
		return s.controls.Servers(ctx, server.Fault{Server: ident.ServerID(step.Target), Action: action})
	}
}

// garbage chooses the kind of garbage by the time of the step, so that a
// schedule determines it.
func (s *servers) garbage(ctx context.Context, step Step) error {
	kinds := []server.Garbage{
		server.GarbageJSON, server.GarbageRequest, server.GarbageVersion, server.GarbageLarge, server.GarbageDeaf,
	}
	kind := kinds[int(step.At.Milliseconds())%len(kinds)]
	return s.during(ctx, step, switched{
		on:  server.Fault{Action: server.ActionGarbage, Garbage: kind, Every: garbageEvery},
		off: server.Fault{Action: server.ActionGarbage},
	})
}

func (s *servers) during(ctx context.Context, step Step, requests switched) error {
	key := serverFault{server: ident.ServerID(step.Target), fault: step.Fault}
	var once sync.Once
	return during(ctx, step.For,
		func() error { return s.request(ctx, key, 1, requests) },
		func() error {
			change := 0
			once.Do(func() { change = -1 })
			return s.request(context.WithoutCancel(ctx), key, change, requests)
		})
}

// request changes how many steps want a fault and requests what that gives.
func (s *servers) request(ctx context.Context, key serverFault, change int, requests switched) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted[key] += change
	fault := requests.off
	if s.wanted[key] > 0 {
		fault = requests.on
	}
	fault.Server = key.server
	return s.controls.Servers(ctx, fault)
}
