package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a kind of fault that a soak injects.
type Fault string

// Faults of a soak.
const (
	KillVM       Fault = "kill-vm"
	KillAll      Fault = "kill-all"
	StopVM       Fault = "stop-vm"
	PauseVM      Fault = "pause-vm"
	Settings     Fault = "settings"
	CallerLink   Fault = "caller-link"
	StoreLink    Fault = "store-link"
	ServerLink   Fault = "server-link"
	StoreDown    Fault = "store-down"
	StoreSlow    Fault = "store-slow"
	StoreLoses   Fault = "store-loses"
	StoreForget  Fault = "store-forgets"
	StoreDeaf    Fault = "store-deaf"
	ServerCrash  Fault = "server-crash"
	ServerSlow   Fault = "server-slow"
	ServerFails  Fault = "server-fails"
	ServerLoses  Fault = "server-loses"
	ServerSpoils Fault = "server-spoils"
	ServerDrain  Fault = "server-drains"
	ServerReuse  Fault = "server-reuse"
	ServerReborn Fault = "server-reborn"
	ConfigMove   Fault = "config-move"
	ConfigStorm  Fault = "config-storm"
	Reshard      Fault = "reshard"
	Evacuate     Fault = "evacuate"
	AllFail      Fault = "all-fail"
	ServerQuiet  Fault = "server-quiet"
	ServerLimits Fault = "server-limits"
	StoreRestore Fault = "store-restores"
	Partitioned  Fault = "partition"
	Poison       Fault = "poison"
	Crowd        Fault = "crowd"
	SlowLinks    Fault = "slow-links"
	HotTenant    Fault = "hot-tenant"
	KeyRevoked   Fault = "key-revoked"
	QuotaLowered Fault = "quota-lowered"
	Rollout      Fault = "rollout"
)

// Faults returns all kinds of faults. New kinds are appended: the order determines
// which schedule a seed gives.
func Faults() []Fault {
	return []Fault{
		KillVM, KillAll, StopVM, PauseVM, Settings, CallerLink, StoreLink, ServerLink,
		StoreDown, StoreSlow, StoreLoses, StoreForget, StoreDeaf,
		ServerCrash, ServerSlow, ServerFails, ServerLoses, ServerSpoils, ServerDrain, ServerReuse, ServerReborn,
		ConfigMove, ConfigStorm, Reshard, Evacuate, AllFail, ServerQuiet, ServerLimits, StoreRestore, Partitioned, Poison, Crowd, SlowLinks,
	}
}

// TenantFaults returns the kinds of faults that need tenants. They are apart from Faults, so that
// the schedules of seeds without tenants stay the same.
func TenantFaults() []Fault {
	return []Fault{HotTenant, KeyRevoked, QuotaLowered}
}

// LinkFault is a kind of fault of a link.
type LinkFault string

// Faults of links.
const (
	Delayed  LinkFault = "delayed"
	CutUp    LinkFault = "cut-up"
	CutDown  LinkFault = "cut-down"
	ResetAll LinkFault = "reset"
	Silent   LinkFault = "silent"
	Refusing LinkFault = "refusing"
)

var linkFaults = []LinkFault{Delayed, CutUp, CutDown, ResetAll, Silent, Refusing}

// Step is one fault of a schedule.
type Step struct {
	At, Duration time.Duration
	Fault        Fault
	// Target is the index of the VM or backend server.
	Target int
	// LinkFault applies to faults of links and is ignored by others.
	LinkFault LinkFault
	// Repeats is the number of times that a signal is sent again while the effect of
	// the first lasts.
	Repeats int
	// Version is the kind of version of a roll-out, and empty for other faults.
	Version VersionKind
}

// String describes the step in one line.
func (s Step) String() string {
	if s.Fault == Rollout {
		return fmt.Sprintf("%v: %s %d %s", s.At, s.Fault, s.Target, s.Version)
	}
	return fmt.Sprintf("%v for %v: %s %d %s again=%d", s.At, s.Duration, s.Fault, s.Target, s.LinkFault, s.Repeats)
}

// Lengths of steps and of the pauses between them.
const (
	minStep  = 300 * time.Millisecond
	maxStep  = 6 * time.Second
	minPause = 100 * time.Millisecond
	maxPause = 2 * time.Second
	// MaxRepeats is the largest number of repeated signals.
	MaxRepeats = 2
)

// Plan draws a schedule of faults from a seed: the same arguments give the same
// schedule. Steps may overlap, also on one target. Targets are below targets.
func Plan(seed uint64, length time.Duration, kinds []Fault, targets int) []Step {
	source := rand.New(rand.NewPCG(seed, 0))
	var steps []Step
	for at := draw(source, 0, maxPause); at < length && len(kinds) > 0; at += draw(source, minPause, maxPause) {
		steps = append(steps, Step{
			At:        at,
			Duration:  min(draw(source, minStep, maxStep), length-at),
			Fault:     kinds[source.IntN(len(kinds))],
			Target:    source.IntN(targets),
			LinkFault: linkFaults[source.IntN(len(linkFaults))],
			Repeats:   source.IntN(MaxRepeats + 1),
		})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// draw returns a random duration from low to high.
func draw(source *rand.Rand, low, high time.Duration) time.Duration {
	return (low + time.Duration(source.Int64N(int64(high-low)))).Round(time.Millisecond)
}
