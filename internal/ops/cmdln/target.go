package cmdln

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/fleet/member"
)

const defaultAdminPort = 7003

// target is a VM and the IP:PORT address of its admin listener.
type target struct {
	name    string
	address string
}

// targetFlags are the flags of commands that call admin listeners.
type targetFlags struct {
	port int
}

func (f *targetFlags) register(command *cobra.Command) {
	command.Flags().IntVar(&f.port, "admin-port", defaultAdminPort, "port of the VMs' admin listeners")
}

func (f *targetFlags) target(vm, ip string) target {
	return target{name: vm, address: net.JoinHostPort(ip, strconv.Itoa(f.port))}
}

// targets returns the VMs that args name, or all VMs if there are no args. It needs
// neither the VM list nor the key-value service if all args are IP:PORT addresses.
func (c *CLI) targets(ctx context.Context, args []string, flags *targetFlags) ([]target, error) {
	var known []target
	if len(args) == 0 || slices.ContainsFunc(args, isName) {
		var err error
		if known, err = c.allTargets(ctx, flags); err != nil {
			return nil, err
		}
	}
	if len(args) == 0 {
		return known, nil
	}
	var named []target
	for _, arg := range args {
		vm, ok := findTarget(known, arg)
		if !ok {
			return nil, fail(ExitRefused, "cli: VM %q is not known", arg)
		}
		named = append(named, vm)
	}
	return named, nil
}

// isName reports whether an argument is a name rather than an IP:PORT address.
func isName(arg string) bool {
	_, err := netip.ParseAddrPort(arg)
	return err != nil
}

func findTarget(known []target, arg string) (target, bool) {
	if !isName(arg) {
		return target{name: arg, address: arg}, true
	}
	at := slices.IndexFunc(known, func(vm target) bool { return vm.name == arg })
	if at < 0 {
		return target{}, false
	}
	return known[at], true
}

// allTargets returns the VMs of the VM list if its URL is given, else the
// members of the fleet.
func (c *CLI) allTargets(ctx context.Context, flags *targetFlags) ([]target, error) {
	if c.vmsURL != "" {
		return c.listedTargets(ctx, flags)
	}
	if c.storeURL != "" {
		return c.memberTargets(ctx, flags)
	}
	return nil, fail(ExitUsage, "cli: give an IP:PORT address, or say where the VM list is, by --vms or %s, or the key-value service, by --store or %s", envVMs, envStore)
}

func (c *CLI) listedTargets(ctx context.Context, flags *targetFlags) ([]target, error) {
	list, err := c.deps.VMs(c.vmsURL)
	if err != nil {
		return nil, fail(ExitUsage, "cli: --vms: %v", err)
	}
	vms, err := list.VMs(ctx)
	if err != nil {
		return nil, fail(ExitUnavailable, "cli: the VM list does not answer: %v", err)
	}
	var targets []target
	for _, vm := range vms {
		targets = append(targets, flags.target(string(vm.ID), vm.IP))
	}
	return targets, nil
}

func (c *CLI) memberTargets(ctx context.Context, flags *targetFlags) ([]target, error) {
	s, err := c.store()
	if err != nil {
		return nil, err
	}
	entry, err := s.Get(ctx, member.Key)
	if err != nil {
		return nil, err
	}
	value, err := member.Decode(entry.Value)
	if err != nil {
		return nil, err
	}
	var targets []target
	for _, record := range value.List() {
		ip, _, err := net.SplitHostPort(record.Control)
		if err != nil {
			return nil, err
		}
		targets = append(targets, flags.target(string(record.Process.VM), ip))
	}
	return targets, nil
}
