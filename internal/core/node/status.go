package node

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/ctrl"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/ops/status"
)

const (
	// maxConcurrentCalls is the number of VMs whose status is fetched at the same time.
	maxConcurrentCalls = 16
	// briefDecisions is the number of latest decisions in the status summary.
	briefDecisions = 10
)

// brief returns the status summary of this VM.
func (n *Node) brief() status.VM {
	current := n.views.Load()
	decisions := n.events.History()
	if excess := len(decisions) - briefDecisions; excess > 0 {
		decisions = decisions[excess:]
	}
	return status.VM{
		VM:        n.self.Process.VM,
		Zone:      n.self.Zone,
		Serial:    current.Config.Serial,
		Epoch:     current.Epoch,
		Admitting: current.Admitting,
		Refusal:   current.Refusal,
		Leaving:   current.Self.Leaving,
		Groups:    slices.Sorted(maps.Keys(current.Holdings)),
		Servers:   n.servers(),
		Decisions: decisions,
	}
}

// servers returns the state of the backend servers that this VM owns, as JSON.
func (n *Node) servers() json.RawMessage {
	dump, err := json.Marshal(n.sender.State())
	if err != nil {
		panic(errors.Wrap(err, "node: encode the owner's state"))
	}
	return dump
}

// serveBrief registers the control call by which other VMs fetch the status
// summary.
func (n *Node) serveBrief(server *ctrl.Server) {
	ctrl.Handle(server, methodBrief, func(context.Context, noParams) (status.VM, error) {
		return n.brief(), nil
	})
}

// fleet fetches the status summaries of all members and combines them.
func (n *Node) fleet(ctx context.Context) any {
	current := n.views.Load()
	fleet := status.Fleet{
		VMs:        len(current.Members),
		Groups:     len(current.Groups),
		ZonesOut:   current.Config.ZonesOut,
		VMsOut:     current.Config.VMsOut,
		ServersOut: current.Config.ServersOut,
	}
	fleet.Aggregate(n.collectBriefs(ctx, current))
	return fleet
}

// collectBriefs fetches the status summaries of all members. unreachable are the
// VMs that did not answer.
func (n *Node) collectBriefs(ctx context.Context, current *view.View) (briefs []status.VM, unreachable []ident.VMID) {
	var mu sync.Mutex
	calls := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for vm, member := range current.Members {
		calls.Go(func() {
			summary, err := n.fetchBrief(ctx, member)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, vm)
				return
			}
			briefs = append(briefs, summary)
		})
	}
	calls.Wait()
	return briefs, unreachable
}

func (n *Node) fetchBrief(ctx context.Context, member view.Member) (status.VM, error) {
	if member.Process.VM == n.self.Process.VM {
		return n.brief(), nil
	}
	var summary status.VM
	err := n.client.Call(ctx, member.Control, methodBrief, noParams{}, &summary)
	return summary, err
}
