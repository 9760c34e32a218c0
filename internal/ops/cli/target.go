package cli

import (
	"context"
	"net"
	"net/netip"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/fleet/member"
)

const defaultAdminPort = 7003

// target is the admin listener of a VM.
type target struct {
	name    string
	address string
}

// targetFlags says how VMs are found.
type targetFlags struct {
	port int
}

func (f *targetFlags) register(command *cobra.Command) {
	command.Flags().IntVar(&f.port, "admin-port", defaultAdminPort, "port of the VMs' admin listeners")
}

func (f *targetFlags) target(vm, ip string) target {
	return target{name: vm, address: net.JoinHostPort(ip, strconv.Itoa(f.port))}
}

// targets returns the VM that args name, or all VMs. An address needs no
// service to be resolved.
func (c *CLI) targets(ctx context.Context, args []string, flags *targetFlags) ([]target, error) {
	if len(args) > 0 {
		if _, err := netip.ParseAddrPort(args[0]); err == nil {
			return []target{{name: args[0], address: args[0]}}, nil
		}
	}
	all, err := c.allTargets(ctx, flags)
	if err != nil || len(args) == 0 {
		return all, err
	}
	for _, one := range all {
		if one.name == args[0] {
			return []target{one}, nil
		}
	}
	return nil, fail(ExitRefused, "cli: VM %q is not known", args[0])
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
	for _, one := range value.List() {
		ip, _, err := net.SplitHostPort(one.Control)
		if err != nil {
			return nil, err
		}
		targets = append(targets, flags.target(string(one.Process.VM), ip))
	}
	return targets, nil
}
