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
	// requestTimeout limits a request to one VM, so that the next VM can be tried.
	requestTimeout = 4 * time.Second
	// waitInterval is the time between two requests while --wait polls the fleet.
	waitInterval = 200 * time.Millisecond
)

// fleetFlags are the flags of the fleet command.
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
	command.Flags().BoolVar(&flags.wait, "wait", false, "wait until the latest configuration is in force on every VM and each group has an owner")
	command.Flags().BoolVar(&flags.servers, "servers", false, "show each backend server: owner, warmth, limit, work")
	command.RunE = c.withTimeout(func(ctx context.Context, args []string) error {
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
		body, status, err := c.requestFleet(ctx, args, flags)
		if err == nil && flags.wait {
			err = status.checkSettled(serial)
		}
		if err == nil {
			return c.printFleet(body, status, flags.servers)
		}
		if !flags.wait || !sleep.For(ctx, waitInterval) {
			return err
		}
	}
}

// serialToWaitFor returns the serial of the configuration in the key-value service, or 0
// without --wait or --store.
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

// requestFleet asks the VMs in turn for the status of the fleet. It returns the first
// answer, as JSON and decoded, and fails with the error of the last VM.
func (c *CLI) requestFleet(ctx context.Context, args []string, flags *fleetFlags) ([]byte, *fleetSummary, error) {
	targets, err := c.targets(ctx, args, &flags.targetFlags)
	if err != nil {
		return nil, nil, err
	}
	failure := fail(ExitUnavailable, "cli: no VM is known")
	for _, vm := range targets {
		body, status, err := c.requestFleetFrom(ctx, vm)
		if err == nil {
			return body, status, nil
		}
		failure = err
	}
	return nil, nil, failure
}

func (c *CLI) requestFleetFrom(ctx context.Context, from target) ([]byte, *fleetSummary, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := c.deps.Fetch.Get(ctx, from.address, fetch.PathFleet)
	if err != nil {
		return nil, nil, err
	}
	status := &fleetSummary{}
	if err := json.Unmarshal(body, status); err != nil {
		return nil, nil, errors.Wrapf(err, "cli: decode the fleet status from %s", from.name)
	}
	return body, status, nil
}

func (c *CLI) printFleet(body []byte, status *fleetSummary, servers bool) error {
	if c.json {
		return c.printJSON(json.RawMessage(body))
	}
	status.print(c)
	if servers {
		return status.printServers(c)
	}
	return nil
}
