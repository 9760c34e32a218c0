package cmdln

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/ops/status"
	"github.com/samphirestair/samphirestair/internal/ops/table"
)

// maxShownDecisions is the largest number of decisions that "fleet" prints.
const maxShownDecisions = 10

// fleetSummary is the status of the fleet that "fleet" prints, or waits for with --wait.
type fleetSummary struct {
	status.Fleet
}

// checkSettled returns an error unless the given serial, or a later one, is in force on
// every VM and each group of backend servers has an owner.
func (s *fleetSummary) checkSettled(serial uint64) error {
	switch {
	case len(s.Unresponsive) > 0:
		return fail(ExitRefused, "cli: VMs do not answer: %s", joinNames(s.Unresponsive))
	case s.Serial < serial:
		return fail(ExitRefused, "cli: serial %d is in force, but %d was accepted", s.Serial, serial)
	case s.VMs == 0 || s.InForce < s.VMs:
		return fail(ExitRefused, "cli: serial %d is in force on %d of %d VMs", s.Serial, s.InForce, s.VMs)
	case s.Owned != s.Groups:
		return fail(ExitRefused, "cli: %d groups have %d owners", s.Groups, s.Owned)
	default:
		return nil
	}
}

func (s *fleetSummary) print(c *CLI) {
	c.printf("serial %d in force on %d of %d VMs, %d of %d groups owned\n", s.Serial, s.InForce, s.VMs, s.Owned, s.Groups)
	printNames(c, "zones out of service", slices.Sorted(maps.Keys(s.ZonesOut)))
	printNames(c, "VMs out of service", slices.Sorted(maps.Keys(s.VMsOut)))
	printNames(c, "backend servers out of service", slices.Sorted(maps.Keys(s.ServersOut)))
	printNames(c, "VMs that do not answer", s.Unresponsive)
	c.printf("\n")
	c.printTable(s.vmTable())
	if latestDecisions := s.latestDecisions(); len(latestDecisions) > 0 {
		c.printf("\n")
		c.printTable(decisionTable(latestDecisions))
	}
}

func printNames[K ~string](c *CLI, title string, names []K) {
	if len(names) > 0 {
		c.printf("%s: %s\n", title, joinNames(names))
	}
}

func joinNames[K ~string](names []K) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}

func (s *fleetSummary) vmTable() *table.Table {
	t := table.New("VM", "ZONE", "SERIAL", "EPOCH", "GROUPS", "ADMITTING", "LEAVING", "REFUSAL")
	for _, vm := range s.Statuses {
		t.Add(string(vm.VM), string(vm.Zone), fmt.Sprint(vm.Serial), fmt.Sprint(vm.Epoch),
			fmt.Sprint(len(vm.Groups)), fmt.Sprint(vm.Admitting), fmt.Sprint(vm.Leaving), vm.Refusal)
	}
	return t
}

// vmDecision is a decision with the VM that made it.
type vmDecision struct {
	events.Decision
	vm ident.VMID
}

// latestDecisions returns the latest decisions of all VMs, oldest first.
func (s *fleetSummary) latestDecisions() []vmDecision {
	var all []vmDecision
	for _, vm := range s.Statuses {
		for _, d := range vm.Decisions {
			all = append(all, vmDecision{Decision: d, vm: vm.VM})
		}
	}
	slices.SortStableFunc(all, func(a, b vmDecision) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.vm, b.vm))
	})
	if excess := len(all) - maxShownDecisions; excess > 0 {
		all = all[excess:]
	}
	return all
}

func decisionTable(decisions []vmDecision) *table.Table {
	t := table.New("AT", "VM", "DECISION", "SUBJECT", "REASON")
	for _, d := range decisions {
		t.Add(d.At.UTC().Format(time.RFC3339), string(d.vm), d.Kind, d.Subject, d.Reason)
	}
	return t
}
