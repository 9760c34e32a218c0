// Package chaos draws a schedule of faults from a seed and injects them into a
// running fleet.
package chaos

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Fault is a kind of fault.
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

// All lists every kind of fault.
func All() []Fault {
	return []Fault{
		KillVM, FreezeVM, StopVM, Cut, OneWayCut, Cold, Straggler, KillServer, FreezeServer, Silent, Garbage,
		Shed, NewVersion, Repartition, StoreDown, StoreSlow, StoreLoses, Race, ZoneOut, ServerOut, ListDown, Drain,
	}
}

// ErrUnknownFault is returned for a name that is no kind of fault.
var ErrUnknownFault = errors.New("chaos: unknown fault")

// Parse returns the kind of fault with the given name.
func Parse(name string) (Fault, error) {
	if slices.Contains(All(), Fault(name)) {
		return Fault(name), nil
	}
	return "", errors.Wrapf(ErrUnknownFault, "%q, known: %v", name, All())
}

const (
	// warmUp is the time before the first fault, and coolDown that after the
	// last one has ended.
	warmUp   = 3 * time.Second
	coolDown = 6 * time.Second
	// gapMin and gapSpread bound the time between two draws.
	gapMin    = 1500 * time.Millisecond
	gapSpread = 3 * time.Second
	// lastMin and lastSpread bound how long a fault lasts.
	lastMin    = 500 * time.Millisecond
	lastSpread = 5 * time.Second
	// outMin is the least time that operators leave something out of service,
	// above the time within which that must be in force.
	outMin = 5 * time.Second
	// pairShare is the share of draws that inject two faults at once.
	pairShare = 0.3
)

// Targets are what faults may hit.
type Targets struct {
	VMs      []ident.VMID
	Zones    []ident.Zone
	Servers  []ident.ServerID
	Services []ident.ServiceID
}

// Step is one fault of a schedule. Target names a VM, a backend server, a zone
// or a service; Other is the second VM of a cut. A cut of a VM from itself cuts
// it from all others.
type Step struct {
	At     time.Duration
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

// Plan draws the steps of a run of the given length. The same arguments give
// the same plan.
func Plan(seed uint64, length time.Duration, kinds []Fault, targets Targets) []Step {
	p := planner{random: rand.New(rand.NewPCG(seed, seed)), targets: targets}
	var steps []Step
	end := length - coolDown
	for at := warmUp; at < end; at += p.between(gapMin, gapSpread) {
		draws := 1
		if p.random.Float64() < pairShare {
			draws = 2
		}
		for range draws {
			steps = append(steps, p.step(at, end-at, pick(p.random, kinds)))
		}
	}
	return steps
}

type planner struct {
	random  *rand.Rand
	targets Targets
}

func (p *planner) between(low, spread time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(spread)))
}

func (p *planner) step(at, most time.Duration, fault Fault) Step {
	step := Step{At: at, For: p.between(lastMin, lastSpread), Fault: fault}
	if fault == ZoneOut || fault == ServerOut {
		step.For += outMin
	}
	step.For = min(step.For, most)
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

func pick[T any](random *rand.Rand, from []T) T {
	return from[random.IntN(len(from))]
}
