// Package brief defines the status that VMs report about themselves and about
// the fleet. VMs collect it and the command line shows it.
package brief

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
)

// VM is what one VM tells about itself.
type VM struct {
	VM        ident.VMID      `json:"vm"`
	Zone      ident.Zone      `json:"zone"`
	Serial    uint64          `json:"serial"`
	Epoch     uint64          `json:"epoch"`
	Admitting bool            `json:"admitting"`
	Refusal   string          `json:"refusal,omitempty"`
	Leaving   bool            `json:"leaving"`
	Groups    []ident.GroupID `json:"groups"`
	// Servers is the owner's dump of the backend servers of the groups.
	Servers json.RawMessage `json:"servers,omitempty"`
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
	Statuses   []VM                              `json:"briefs"`
	// Silent lists the members that did not answer.
	Unresponsive []ident.VMID `json:"silent"`
}

// Collect fills in what the answers of the VMs say.
func (f *Fleet) Aggregate(briefs []VM, silent []ident.VMID) {
	f.Statuses, f.Unresponsive = briefs, silent
	slices.SortFunc(f.Statuses, func(a, b VM) int { return compare(a.VM, b.VM) })
	slices.SortFunc(f.Unresponsive, compare)
	for _, one := range f.Statuses {
		f.count(one)
	}
}

func (f *Fleet) count(one VM) {
	f.Owned += len(one.Groups)
	if one.Serial > f.Serial {
		f.Serial = one.Serial
		f.InForce = 0
	}
	if one.Serial == f.Serial {
		f.InForce++
	}
}

// compare orders VMs so that "vm-2" comes before "vm-10".
func compare(a, b ident.VMID) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}
