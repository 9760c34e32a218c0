package cli

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/ops/fetch"
)

const (
	// askBound is the longest time that one VM is waited for before the next
	// one is asked.
	askBound = 4 * time.Second
	// waitInterval is the time between looks at the fleet while waiting.
	waitInterval = 200 * time.Millisecond
)

// statusFlags says what status waits for.
type statusFlags struct {
	targetFlags
	inForce bool
	owned   bool
}

func (f *statusFlags) waits() bool {
	return f.inForce || f.owned
}

func (c *CLI) statusCommand() *cobra.Command {
	flags := &statusFlags{}
	command := &cobra.Command{
		Use:   "status [VM|ADDR]",
		Short: "Show the whole fleet",
		Long: `Show the whole fleet as one VM sees it: which serial is in force on how many
VMs, what is out of service, each VM, and the latest decisions. Without a VM, the
first one that answers is asked.

With --wait-in-force or --wait-owned, the command ends once that is reached, and
with exit code 1 after the time of --timeout.`,
		Example: "  samphirestair status\n  samphirestair status --wait-in-force --timeout 30s",
		Args:    cobra.MaximumNArgs(1),
	}
	flags.register(command)
	command.Flags().BoolVar(&flags.inForce, "wait-in-force", false, "wait until the latest configuration is in force on all VMs")
	command.Flags().BoolVar(&flags.owned, "wait-owned", false, "wait until each group of backend servers has an owner")
	command.RunE = c.bounded(func(ctx context.Context, args []string) error {
		return c.status(ctx, args, flags)
	})
	return command
}

func (c *CLI) status(ctx context.Context, args []string, flags *statusFlags) error {
	serial, err := c.serialToWaitFor(ctx, flags)
	if err != nil {
		return err
	}
	for {
		body, status, err := c.askStatus(ctx, args, flags)
		if err == nil {
			err = status.missing(flags, serial)
		}
		if err == nil {
			return c.printStatus(body, status)
		}
		if !flags.waits() || !pause(ctx, waitInterval) {
			return err
		}
	}
}

// serialToWaitFor returns the serial in the key-value service, or 0 if nobody
// waits for it.
func (c *CLI) serialToWaitFor(ctx context.Context, flags *statusFlags) (uint64, error) {
	if !flags.inForce || c.storeURL == "" {
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

// askStatus returns the answer of the first VM that gives one.
func (c *CLI) askStatus(ctx context.Context, args []string, flags *statusFlags) ([]byte, *fleetStatus, error) {
	targets, err := c.targets(ctx, args, &flags.targetFlags)
	if err != nil {
		return nil, nil, err
	}
	failure := fail(ExitUnavailable, "cli: no VM is known")
	for _, one := range targets {
		body, status, err := c.askOne(ctx, one)
		if err == nil {
			return body, status, nil
		}
		failure = err
	}
	return nil, nil, failure
}

func (c *CLI) askOne(ctx context.Context, from target) ([]byte, *fleetStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, askBound)
	defer cancel()
	body, err := c.deps.Fetch.Get(ctx, from.address, fetch.PathStatus)
	if err != nil {
		return nil, nil, err
	}
	status := &fleetStatus{}
	if err := json.Unmarshal(body, status); err != nil {
		return nil, nil, errors.Wrapf(err, "cli: the status that %s returns", from.name)
	}
	return body, status, nil
}

// pause waits for d and reports whether ctx still runs.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (c *CLI) printStatus(body []byte, status *fleetStatus) error {
	if c.json {
		return c.printJSON(json.RawMessage(body))
	}
	status.print(c)
	return nil
}
