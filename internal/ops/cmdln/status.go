package cmdln

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/ops/fetch"
	"github.com/samphirestair/samphirestair/internal/ops/table"
)

// statusResponse is the response of one VM: a JSON body or an error.
type statusResponse struct {
	target
	body []byte
	err  error
}

func (c *CLI) statusCommand() *cobra.Command {
	flags := &targetFlags{}
	command := &cobra.Command{
		Use:   "status [VM|ADDR]...",
		Short: "Ask each VM for its own status",
		Long: `Ask the given VMs, or all, for their own status, one a line. Unlike fleet, this
does not depend on the links between VMs. VMs that do not answer are listed with
the reason, and the exit code is 4.`,
		Example: "  samphirestair status\n  samphirestair status vm-3 10.0.0.7:7003",
	}
	flags.register(command)
	command.RunE = c.withTimeout(func(ctx context.Context, args []string) error {
		targets, err := c.targets(ctx, args, flags)
		if err != nil {
			return err
		}
		return c.printStatus(c.requestStatuses(ctx, targets))
	})
	return command
}

func (c *CLI) requestStatuses(ctx context.Context, targets []target) []statusResponse {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return iter.Map(targets, func(vm *target) statusResponse {
		body, err := c.deps.Fetch.Get(ctx, vm.address, fetch.PathStatus)
		return statusResponse{target: *vm, body: body, err: err}
	})
}

func (c *CLI) printStatus(responses []statusResponse) error {
	if c.json {
		return errors.CombineErrors(unansweredError(responses), c.printStatusJSON(responses))
	}
	var rows table.Rows
	for _, response := range responses {
		if response.err != nil {
			rows.AddText(response.name, "failure", response.err.Error())
			continue
		}
		if err := rows.AddJSON(response.name, response.body); err != nil {
			rows.AddText(response.name, "failure", err.Error())
		}
	}
	c.printTable(rows.Table("asked"))
	return unansweredError(responses)
}

func (c *CLI) printStatusJSON(responses []statusResponse) error {
	all := map[string]json.RawMessage{}
	for _, response := range responses {
		if response.err == nil && json.Valid(response.body) {
			all[response.name] = response.body
		}
	}
	return c.printJSON(all)
}

// unansweredError returns an error if any VM did not answer.
func unansweredError(responses []statusResponse) error {
	count := 0
	for _, response := range responses {
		if response.err != nil {
			count++
		}
	}
	if count == 0 {
		return nil
	}
	return fail(ExitUnavailable, "cli: %d of %d VMs did not answer", count, len(responses))
}
