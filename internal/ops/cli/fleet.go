package cli

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/ops/fetch"
	"github.com/samphirestair/samphirestair/internal/ops/table"
)

// waitStep is the time between two looks at the fleet while waiting.
const waitStep = 100 * time.Millisecond

// fleetSummary is the part of a VM's answer about the fleet that is printed and
// waited for.
type fleetSummary struct {
	Serial  uint64            `json:"serial"`
	InForce int               `json:"in_force"`
	VMs     int               `json:"vms"`
	Groups  int               `json:"groups"`
	Owned   int               `json:"owned"`
	Silent  []string          `json:"silent"`
	Zones   map[string]string `json:"zones_out"`
	Out     map[string]string `json:"vms_out"`
	Servers map[string]string `json:"servers_out"`
}

// settled reports whether the newest configuration is in force on every VM and
// every group of backend servers has one owner.
func (f fleetSummary) settled() bool {
	return f.VMs > 0 && f.InForce == f.VMs && f.Owned == f.Groups
}

func (c *CLI) fleetCommand() *cobra.Command {
	port := 0
	wait := false
	command := &cobra.Command{
		Use:   "fleet [VM|ADDR]",
		Short: "Show where the configuration is in force and which groups have owners",
		Long: `Ask one VM, or the first of the VM list that answers, to collect the status of the
whole fleet. With --wait, wait until the newest configuration is in force on every
VM and every group of backend servers has an owner.`,
		Example: "  samphirestair fleet\n  samphirestair fleet 10.0.0.7:7003 --wait",
		Args:    cobra.MaximumNArgs(1),
	}
	command.Flags().IntVar(&port, "admin-port", defaultAdminPort, "port of the VMs' admin listeners")
	command.Flags().BoolVar(&wait, "wait", false, "wait until the fleet is settled")
	command.RunE = c.bounded(func(ctx context.Context, args []string) error {
		return c.showFleet(ctx, args, port, wait)
	})
	return command
}

func (c *CLI) showFleet(ctx context.Context, args []string, port int, wait bool) error {
	for {
		body, summary, err := c.askFleet(ctx, args, port)
		if !wait || (err == nil && summary.settled()) {
			return errors.CombineErrors(err, c.printFleet(body, summary))
		}
		select {
		case <-time.After(waitStep):
		case <-ctx.Done():
			return fail(ExitUnavailable, "cli: the fleet did not settle: serial %d on %d of %d VMs, %d of %d groups owned",
				summary.Serial, summary.InForce, summary.VMs, summary.Owned, summary.Groups)
		}
	}
}

// askFleet asks the VMs in turn until one answers.
func (c *CLI) askFleet(ctx context.Context, args []string, port int) ([]byte, fleetSummary, error) {
	targets, err := c.targets(ctx, args, port)
	if err != nil {
		return nil, fleetSummary{}, err
	}
	err = fail(ExitUnavailable, "cli: the VM list is empty")
	for _, one := range targets {
		var body []byte
		if body, err = c.deps.Fetch.Get(ctx, one.address, fetch.PathFleet); err != nil {
			continue
		}
		var summary fleetSummary
		if err = json.Unmarshal(body, &summary); err == nil {
			return body, summary, nil
		}
	}
	return nil, fleetSummary{}, err
}

func (c *CLI) printFleet(body []byte, summary fleetSummary) error {
	if body == nil {
		return nil
	}
	if c.json {
		return c.printJSON(json.RawMessage(body))
	}
	c.printf("serial %d in force on %d of %d VMs; %d of %d groups owned; silent: %v\n",
		summary.Serial, summary.InForce, summary.VMs, summary.Owned, summary.Groups, summary.Silent)
	c.printf("out: zones %v, VMs %v, backend servers %v\n\n", summary.Zones, summary.Out, summary.Servers)
	return table.WriteJSON(c.out, body)
}
