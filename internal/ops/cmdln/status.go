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

// answer is what a VM returned.
type answer struct {
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
	command.RunE = c.bounded(func(ctx context.Context, args []string) error {
		targets, err := c.targets(ctx, args, flags)
		if err != nil {
			return err
		}
		return c.printStatus(c.ask(ctx, targets))
	})
	return command
}

func (c *CLI) ask(ctx context.Context, targets []target) []answer {
	ctx, cancel := context.WithTimeout(ctx, askBound)
	defer cancel()
	return iter.Map(targets, func(one *target) answer {
		body, err := c.deps.Fetch.Get(ctx, one.address, fetch.PathStatus)
		return answer{target: *one, body: body, err: err}
	})
}

func (c *CLI) printStatus(answers []answer) error {
	if c.json {
		return errors.CombineErrors(silent(answers), c.printStatusJSON(answers))
	}
	var rows table.Rows
	for _, one := range answers {
		if one.err != nil {
			rows.AddText(one.name, "failure", one.err.Error())
			continue
		}
		if err := rows.AddJSON(one.name, one.body); err != nil {
			rows.AddText(one.name, "failure", err.Error())
		}
	}
	c.printTable(rows.Table("asked"))
	return silent(answers)
}

func (c *CLI) printStatusJSON(answers []answer) error {
	all := map[string]json.RawMessage{}
	for _, one := range answers {
		if one.err == nil && json.Valid(one.body) {
			all[one.name] = one.body
		}
	}
	return c.printJSON(all)
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
	return fail(ExitUnavailable, "cli: %d of %d VMs did not answer", count, len(answers))
}
