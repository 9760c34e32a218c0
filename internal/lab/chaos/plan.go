// Package chaos generates a random schedule of faults from a seed and injects the
// faults into a running fleet.
package chaos

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Fault is the name of a kind of fault.
type Fault string

// The kinds of faults.
const (
	KillVM       Fault = "kill-vm"
	FreezeVM     Fault = "freeze-vm"
	StopVM       Fault = "stop-vm"
	Cut          Fault = "cut"
	OneWayCut    Fault = "one-way-cut"
	Cold         Fault = "cold"
	Straggler    Fault = "straggler"
	KillServer   Fault = "kill-server"
	FreezeServer Fault = "freeze-server"
	Silent       Fault = "silent"
	Garbage      Fault = "garbage"
	Shed         Fault = "shed"
	Drain        Fault = "drain"
	NewVersion   Fault = "new-version"
	Repartition  Fault = "repartition"
	StoreDown    Fault = "store-down"
	StoreSlow    Fault = "store-slow"
	StoreLoses   Fault = "store-loses"
	Race         Fault = "race"
	ZoneOut      Fault = "zone-out"
	ServerOut    Fault = "server-out"
	ListDown     Fault = "list-down"
)

// All returns all kinds of faults.
func All() []Fault {
	return []Fault{
		KillVM, FreezeVM, StopVM, Cut, OneWayCut, Cold, Straggler, KillServer, FreezeServer, Silent, Garbage,
		Shed, NewVersion, Repartition, StoreDown, StoreSlow, StoreLoses, Race, ZoneOut, ServerOut, ListDown, Drain,
	}
}

// ErrUnknownFault is returned by Parse for an unknown name.
var ErrUnknownFault = errors.New("chaos: unknown fault")

// Parse returns the kind of fault with the given name. It returns
// ErrUnknownFault if there is none.
func Parse(name string) (Fault, error) {
	if slices.Contains(All(), Fault(name)) {
		return Fault(name), nil
	}
	return "", errors.Wrapf(ErrUnknownFault, "%q, known: %v", name, All())
}

const (
	// warmUp is the time without faults at the start of a run, and coolDown that
	// at its end.
	warmUp   = 3 * time.Second
	coolDown = 6 * time.Second
	// The time between two draws of faults is at least gapMin and less than
	// gapMin+gapSpread.
	gapMin    = 1500 * time.Millisecond
	gapSpread = 3 * time.Second
	// The duration of a fault is at least durationMin and less than
	// durationMin+durationSpread, before adjustments.
	durationMin    = 500 * time.Millisecond
	durationSpread = 5 * time.Second
	// outOfServiceMin is added to the duration of faults that take a zone or
	// backend server out of service. It is longer than the time within which that
	// change must be in force.
	outOfServiceMin = 5 * time.Second
	// pairProbability is the probability that a draw has two faults at once.
	pairProbability = 0.3
)

// Targets are the possible targets of faults.
type Targets struct {
	VMs      []ident.VMID
	Zones    []ident.Zone
	Servers  []ident.ServerID
	Services []ident.ServiceID
}

// Step is one fault of a schedule. Target names a VM, a backend server, a zone
// or a service. Other is the second VM of a cut; if it equals Target, the VM is cut
// from all others.
type Step struct {
	At     time.Duration // since the start of the run
	For    time.Duration
	Fault  Fault
	Target string
	Other  string
}

// String returns the step as one line.
func (s Step) String() string {
	text := fmt.Sprintf("%8s %-13s for %-8s %s", round(s.At), s.Fault, round(s.For), s.Target)
	if s.Other != "" {
		text += " " + s.Other
	}
	return text
}

func round(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}

// Plan generates the steps of a run of the given length. It is deterministic: the
// same arguments give the same steps.
func Plan(seed uint64, length time.Duration, kinds []Fault, targets Targets) []Step {
	p := planner{random: rand.New(rand.NewPCG(seed, seed)), targets: targets}
	var steps []Step
	end := length - coolDown
	for at := warmUp; at < end; at += p.between(gapMin, gapSpread) {
		draws := 1
		if p.random.Float64() < pairProbability {
			draws = 2
		}
		for range draws {
			steps = append(steps, p.step(at, end-at, pick(p.random, kinds)))
		}
	}
	return steps
}

// planner generates random steps.
type planner struct {
	random  *rand.Rand
	targets Targets
}

// between returns a random duration from low to below low+spread.
func (p *planner) between(low, spread time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(spread)))
}

// step returns a step with a random duration, at most longest, and a random
// target.
func (p *planner) step(at, longest time.Duration, fault Fault) Step {
	step := Step{At: at, For: p.between(durationMin, durationSpread), Fault: fault}
	if fault == ZoneOut || fault == ServerOut {
		step.For += outOfServiceMin
	}
	step.For = min(step.For, longest)
	switch fault {
	case KillVM, FreezeVM, StopVM:
		step.Target = string(pick(p.random, p.targets.VMs))
	case Cut, OneWayCut:
		step.Target = string(pick(p.random, p.targets.VMs))
		step.Other = string(pick(p.random, p.targets.VMs))
	case ZoneOut:
		step.Target = string(pick(p.random, p.targets.Zones))
	case NewVersion, Repartition, Race:
		step.Target = string(pick(p.random, p.targets.Services))
	case StoreDown, StoreSlow, StoreLoses, ListDown:
	default:
		step.Target = string(pick(p.random, p.targets.Servers))
	}
	return step
}

// pick returns a random element.
func pick[T any](random *rand.Rand, from []T) T {
	return from[random.IntN(len(from))]
}
