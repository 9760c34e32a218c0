package node

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/sourcegraph/conc/pool"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/ctrl"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

const (
	// fleetCalls is the number of VMs asked at once.
	fleetCalls = 16
	// briefDecisions is the number of latest decisions in a brief.
	briefDecisions = 10
)

// Brief is what one VM tells about itself.
type Brief struct {
	VM        ident.VMID      `json:"vm"`
	Zone      ident.Zone      `json:"zone"`
	Serial    uint64          `json:"serial"`
	Epoch     uint64          `json:"epoch"`
	Admitting bool            `json:"admitting"`
	Refusal   string          `json:"refusal,omitempty"`
	Leaving   bool            `json:"leaving"`
	Groups    []ident.GroupID `json:"groups"`
	Servers   any             `json:"servers"`
	// Decisions are the latest ones, oldest first.
	Decisions []events.Decision `json:"decisions"`
}

// Fleet is the fleet as one VM sees it and as the others answered.
type Fleet struct {
	// Serial is the highest one in force on any VM that answered, and InForce
	// the number of VMs on which it is.
	Serial  uint64 `json:"serial"`
	InForce int    `json:"in_force"`
	VMs     int    `json:"vms"`
	// Groups is the number of groups of backend servers, and Owned that of
	// those with an owner that answered.
	Groups     int                               `json:"groups"`
	Owned      int                               `json:"owned"`
	ZonesOut   map[ident.Zone]ident.ChangeID     `json:"zones_out"`
	VMsOut     map[ident.VMID]ident.ChangeID     `json:"vms_out"`
	ServersOut map[ident.ServerID]ident.ChangeID `json:"servers_out"`
	Briefs     []Brief                           `json:"briefs"`
	// Silent lists the members that did not answer.
	Silent []ident.VMID `json:"silent"`
}

// brief returns what this VM tells about itself.
func (n *Node) brief() Brief {
	current := n.views.Load()
	decisions := n.events.History()
	if excess := len(decisions) - briefDecisions; excess > 0 {
		decisions = decisions[excess:]
	}
	return Brief{
		VM:        n.self.Process.VM,
		Zone:      n.self.Zone,
		Serial:    current.Config.Serial,
		Epoch:     current.Epoch,
		Admitting: current.Admitting,
		Refusal:   current.Refusal,
		Leaving:   current.Self.Leaving,
		Groups:    slices.Sorted(maps.Keys(current.Holdings)),
		Servers:   n.sender.State(),
		Decisions: decisions,
	}
}

// serveBrief lets other VMs ask for the brief.
func (n *Node) serveBrief(server *ctrl.Server) {
	ctrl.Handle(server, methodBrief, func(context.Context, nothing) (Brief, error) {
		return n.brief(), nil
	})
}

// fleet asks all members for their briefs and joins them.
func (n *Node) fleet(ctx context.Context) any {
	current := n.views.Load()
	briefs, silent := n.collect(ctx, current)
	fleet := Fleet{
		VMs:        len(current.Members),
		Groups:     len(current.Groups),
		ZonesOut:   current.Config.ZonesOut,
		VMsOut:     current.Config.VMsOut,
		ServersOut: current.Config.ServersOut,
		Briefs:     briefs,
		Silent:     silent,
	}
	for _, brief := range briefs {
		fleet.count(brief)
	}
	return fleet
}

func (f *Fleet) count(brief Brief) {
	f.Owned += len(brief.Groups)
	if brief.Serial > f.Serial {
		f.Serial = brief.Serial
		f.InForce = 0
	}
	if brief.Serial == f.Serial {
		f.InForce++
	}
}

func (n *Node) collect(ctx context.Context, current *view.View) (briefs []Brief, silent []ident.VMID) {
	var mu sync.Mutex
	calls := pool.New().WithMaxGoroutines(fleetCalls)
	for vm, member := range current.Members {
		calls.Go(func() {
			brief, err := n.askBrief(ctx, member)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, vm)
				return
			}
			briefs = append(briefs, brief)
		})
	}
	calls.Wait()
	slices.SortFunc(briefs, func(a, b Brief) int { return compareVM(a.VM, b.VM) })
	slices.Sort(silent)
	return briefs, silent
}

func (n *Node) askBrief(ctx context.Context, member view.Member) (Brief, error) {
	if member.Process.VM == n.self.Process.VM {
		return n.brief(), nil
	}
	var brief Brief
	err := n.client.Call(ctx, member.Control, methodBrief, nothing{}, &brief)
	return brief, err
}

func compareVM(a, b ident.VMID) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
