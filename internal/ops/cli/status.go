package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/ops/fetch"
	"github.com/samphirestair/samphirestair/internal/ops/table"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
)

const defaultAdminPort = 7003

// target is a VM to ask.
type target struct {
	name    string
	address string
}

// answer is what a VM returned.
type answer struct {
	target
	body []byte
	err  error
}

func (c *CLI) statusCommand() *cobra.Command {
	port := 0
	command := &cobra.Command{
		Use:     "status [VM|ADDR]...",
		Short:   "Summarize VMs, one a line",
		Long:    "Summarize the given VMs, or all of the VM list. VMs that do not answer are listed with the reason, and the exit code is 4.",
		Example: "  samphirestair status\n  samphirestair status vm-3 10.0.0.7:7003",
	}
	command.Flags().IntVar(&port, "admin-port", defaultAdminPort, "port of the VMs' admin listeners")
	command.RunE = c.bounded(func(ctx context.Context, args []string) error {
		targets, err := c.targets(ctx, args, port)
		if err != nil {
			return err
		}
		return c.printStatus(c.ask(ctx, targets, fetch.PathStatus))
	})
	return command
}

func (c *CLI) stateCommand() *cobra.Command {
	port := 0
	command := &cobra.Command{
		Use:     "state VM|ADDR",
		Short:   "Show all that the process of a VM knows",
		Example: "  samphirestair state vm-3\n  samphirestair state 10.0.0.7:7003 --json",
		Args:    cobra.ExactArgs(1),
	}
	command.Flags().IntVar(&port, "admin-port", defaultAdminPort, "port of the VMs' admin listeners")
	command.RunE = c.bounded(func(ctx context.Context, args []string) error {
		targets, err := c.targets(ctx, args, port)
		if err != nil {
			return err
		}
		body, err := c.deps.Fetch.Get(ctx, targets[0].address, fetch.PathState)
		if err != nil {
			return err
		}
		if c.json {
			return c.printJSON(json.RawMessage(body))
		}
		return table.WriteJSON(c.out, body)
	})
	return command
}

// targets returns the VMs that args name, or all of the VM list.
func (c *CLI) targets(ctx context.Context, args []string, port int) ([]target, error) {
	var named []target
	for _, arg := range args {
		if _, err := netip.ParseAddrPort(arg); err != nil {
			named = nil
			break
		}
		named = append(named, target{name: arg, address: arg})
	}
	if len(named) > 0 {
		return named, nil
	}
	vms, err := c.vms(ctx)
	if err != nil {
		return nil, err
	}
	return pick(vms, args, port)
}

func (c *CLI) vms(ctx context.Context) ([]vmlist.VM, error) {
	if c.vmsURL == "" {
		return nil, fail(ExitUsage, "cli: give IP:PORT addresses, or say where the VM list is, by --vms or %s", envVMs)
	}
	list, err := c.deps.VMs(c.vmsURL)
	if err != nil {
		return nil, fail(ExitUsage, "cli: --vms: %v", err)
	}
	vms, err := list.VMs(ctx)
	if err != nil {
		return nil, fail(ExitUnavailable, "cli: the VM list does not answer: %v", err)
	}
	return vms, nil
}

// pick returns the VMs of the list that args name, or all of them.
func pick(vms []vmlist.VM, args []string, port int) ([]target, error) {
	byName := map[string]target{}
	var all []target
	for _, vm := range vms {
		one := target{name: string(vm.ID), address: net.JoinHostPort(vm.IP, strconv.Itoa(port))}
		byName[one.name] = one
		all = append(all, one)
	}
	if len(args) == 0 {
		return all, nil
	}
	var picked []target
	for _, arg := range args {
		one, ok := byName[arg]
		if _, err := netip.ParseAddrPort(arg); err == nil {
			one, ok = target{name: arg, address: arg}, true
		}
		if !ok {
			return nil, fail(ExitRefused, "cli: the VM list has no VM %q", arg)
		}
		picked = append(picked, one)
	}
	return picked, nil
}

func (c *CLI) ask(ctx context.Context, targets []target, path string) []answer {
	return iter.Map(targets, func(one *target) answer {
		body, err := c.deps.Fetch.Get(ctx, one.address, path)
		return answer{target: *one, body: body, err: err}
	})
}

// printStatus prints one row per VM, with a column for each plain member of any
// answer.
func (c *CLI) printStatus(answers []answer) error {
	if c.json {
		return c.printStatusJSON(answers)
	}
	rows := make([]map[string]string, len(answers))
	columns := []string{}
	seen := map[string]bool{}
	for i, one := range answers {
		var names []string
		names, rows[i] = summary(one)
		for _, name := range names {
			if !seen[name] {
				seen[name] = true
				columns = append(columns, name)
			}
		}
	}
	t := table.New(append([]string{"target"}, columns...)...)
	for i, one := range answers {
		cells := []string{one.name}
		for _, column := range columns {
			cells = append(cells, rows[i][column])
		}
		t.Add(cells...)
	}
	c.printTable(t)
	return silent(answers)
}

// summary returns the plain members of an answer, or the failure as one.
func summary(one answer) ([]string, map[string]string) {
	if one.err == nil {
		var names []string
		var values map[string]string
		names, values, one.err = table.Scalars(one.body)
		if one.err == nil {
			return names, values
		}
	}
	return []string{"failure"}, map[string]string{"failure": one.err.Error()}
}

func (c *CLI) printStatusJSON(answers []answer) error {
	all := map[string]json.RawMessage{}
	for _, one := range answers {
		if one.err == nil && json.Valid(one.body) {
			all[one.name] = one.body
		}
	}
	return errors.CombineErrors(silent(answers), c.printJSON(all))
}

// silent fails if a VM did not answer.
func silent(answers []answer) error {
	count := 0
	for _, one := range answers {
		if one.err != nil {
			count++
		}
	}
	if count == 0 {
		return nil
	}
	return fail(ExitUnavailable, "%s", fmt.Sprintf("%d of %d VMs did not answer", count, len(answers)))
}
