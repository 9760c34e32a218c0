package cmdln

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/ops/fetch"
)

const (
	// askBound is the longest time that one VM is waited for before the next
	// one is asked.
	askBound = 4 * time.Second
	// waitInterval is the time between looks at the fleet while waiting.
	waitInterval = 200 * time.Millisecond
)

// fleetFlags are the flags of fleet.
type fleetFlags struct {
	targetFlags
	wait    bool
	servers bool
}

func (c *CLI) fleetCommand() *cobra.Command {
	flags := &fleetFlags{}
	command := &cobra.Command{
		Use:   "fleet [VM|ADDR]",
		Short: "Show the whole fleet as one VM sees it",
		Long: `Show the whole fleet as one VM sees it: which serial is in force on how many
VMs, what is out of service, each VM, and the latest decisions. Without a VM, the
first one that answers is asked.

With --wait, the command ends once the latest configuration is in force on every
VM and each group of backend servers has an owner, and with exit code 1 if that is
not so within --timeout.`,
		Example: "  samphirestair fleet\n  samphirestair fleet --servers\n  samphirestair fleet 10.0.0.7:7003 --wait --timeout 30s",
		Args:    cobra.MaximumNArgs(1),
	}
	flags.register(command)
	command.Flags().BoolVar(&flags.wait, "wait", false, "wait until the fleet is settled")
	command.Flags().BoolVar(&flags.servers, "servers", false, "show each backend server: owner, warmth, limit, work")
	command.RunE = c.bounded(func(ctx context.Context, args []string) error {
		return c.fleet(ctx, args, flags)
	})
	return command
}

func (c *CLI) fleet(ctx context.Context, args []string, flags *fleetFlags) error {
	serial, err := c.serialToWaitFor(ctx, flags)
	if err != nil {
		return err
	}
	for {
		body, found, err := c.askFleet(ctx, args, flags)
		if err == nil && flags.wait {
			err = found.unsettled(serial)
		}
		if err == nil {
			return c.printFleet(body, found, flags.servers)
		}
		if !flags.wait || !sleep.For(ctx, waitInterval) {
			return err
		}
	}
}

// serialToWaitFor returns the serial in the key-value service, or 0 if nobody
// waits for it.
func (c *CLI) serialToWaitFor(ctx context.Context, flags *fleetFlags) (uint64, error) {
	if !flags.wait || c.storeURL == "" {
		return 0, nil
	}
	changer, _, err := c.changer()
	if err != nil {
		return 0, err
	}
	_, ix, err := changer.Read(ctx)
	if err != nil {
		return 0, err
	}
	return ix.Serial, nil
}

// askFleet returns the answer of the first VM that gives one.
func (c *CLI) askFleet(ctx context.Context, args []string, flags *fleetFlags) ([]byte, *summary, error) {
	targets, err := c.targets(ctx, args, &flags.targetFlags)
	if err != nil {
		return nil, nil, err
	}
	failure := fail(ExitUnavailable, "cli: no VM is known")
	for _, one := range targets {
		body, found, err := c.askOne(ctx, one)
		if err == nil {
			return body, found, nil
		}
		failure = err
	}
	return nil, nil, failure
}

func (c *CLI) askOne(ctx context.Context, from target) ([]byte, *summary, error) {
	ctx, cancel := context.WithTimeout(ctx, askBound)
	defer cancel()
	body, err := c.deps.Fetch.Get(ctx, from.address, fetch.PathFleet)
	if err != nil {
		return nil, nil, err
	}
	found := &summary{}
	if err := json.Unmarshal(body, found); err != nil {
		return nil, nil, errors.Wrapf(err, "cli: the fleet that %s returns", from.name)
	}
	return body, found, nil
}

func (c *CLI) printFleet(body []byte, found *summary, servers bool) error {
	if c.json {
		return c.printJSON(json.RawMessage(body))
	}
	found.print(c)
	if servers {
		return found.printServers(c)
	}
	return nil
}
