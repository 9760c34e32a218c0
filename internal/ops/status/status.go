// Package status defines the status of a VM and of the fleet. Each VM reports its own
// status, any VM collects those of all members, and the command line shows the result.
package status

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
)

// VM is the status that one VM reports about itself.
type VM struct {
	VM        ident.VMID      `json:"vm"`
	Zone      ident.Zone      `json:"zone"`
	Serial    uint64          `json:"serial"`
	Epoch     uint64          `json:"epoch"`
	Admitting bool            `json:"admitting"`
	Refusal   string          `json:"refusal,omitempty"`
	Leaving   bool            `json:"leaving"`
	Groups    []ident.GroupID `json:"groups"`
	// Servers is the state dump, a JSON list, of the backend servers that this VM owns
	// or still has work at.
	Servers json.RawMessage `json:"servers,omitempty"`
	// Decisions are the latest decisions, oldest first.
	Decisions []events.Decision `json:"decisions"`
}

// Fleet is the status of the fleet: the view of the VM that collected it, and the
// statuses of the members.
type Fleet struct {
	// Serial is the highest configuration serial in force on any VM that answered, and
	// InForce the number of VMs that have it in force.
	Serial  uint64 `json:"serial"`
	InForce int    `json:"in_force"`
	VMs     int    `json:"vms"`
	// Groups is the number of groups of backend servers, and Owned the number of groups
	// whose owner answered.
	Groups     int                               `json:"groups"`
	Owned      int                               `json:"owned"`
	ZonesOut   map[ident.Zone]ident.ChangeID     `json:"zones_out"`
	VMsOut     map[ident.VMID]ident.ChangeID     `json:"vms_out"`
	ServersOut map[ident.ServerID]ident.ChangeID `json:"servers_out"`
	Statuses   []VM                              `json:"briefs"`
	// Unresponsive lists the members that did not answer.
	Unresponsive []ident.VMID `json:"silent"`
}

// Aggregate sets the fields that follow from the statuses of the VMs that answered and
// the members that did not. It sorts both lists by VM.
func (f *Fleet) Aggregate(statuses []VM, unresponsive []ident.VMID) {
	f.Statuses, f.Unresponsive = statuses, unresponsive
	slices.SortFunc(f.Statuses, func(a, b VM) int { return compareVMIDs(a.VM, b.VM) })
	slices.SortFunc(f.Unresponsive, compareVMIDs)
	for _, status := range f.Statuses {
		f.addStatus(status)
	}
}

func (f *Fleet) addStatus(status VM) {
	f.Owned += len(status.Groups)
	if status.Serial > f.Serial {
		f.Serial = status.Serial
		f.InForce = 0
	}
	if status.Serial == f.Serial {
		f.InForce++
	}
}

// compareVMIDs orders VMs by length first, so that "vm-2" comes before "vm-10".
func compareVMIDs(a, b ident.VMID) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}
