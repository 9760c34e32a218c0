package cmdln

import (
	"context"
	"encoding/json"

	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/ops/fetch"
	"github.com/samphirestair/samphirestair/internal/ops/table"
)

func (c *CLI) stateCommand() *cobra.Command {
	flags := &targetFlags{}
	command := &cobra.Command{
		Use:   "state VM|ADDR [SECTION]",
		Short: "Show what the process of a VM knows",
		Long: `Show what the process of a VM knows, or one section of it.

A VM is found by the VM list if --vms is given, else by the membership in the
key-value service. An address of the form IP:PORT needs neither.`,
		Example: "  samphirestair state vm-3\n  samphirestair state 10.0.0.7:7003 config --json",
		Args:    cobra.RangeArgs(1, 2),
	}
	flags.register(command)
	command.RunE = c.withTimeout(func(ctx context.Context, args []string) error {
		targets, err := c.targets(ctx, args[:1], flags)
		if err != nil {
			return err
		}
		path := fetch.PathState
		if len(args) > 1 {
			path += "/" + args[1]
		}
		return c.state(ctx, targets[0], path)
	})
	return command
}

func (c *CLI) state(ctx context.Context, from target, path string) error {
	body, err := c.deps.Fetch.Get(ctx, from.address, path)
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(json.RawMessage(body))
	}
	return table.WriteJSON(c.out, body)
}
