package cmdln

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/ops/fetch"
	"github.com/samphirestair/samphirestair/internal/ops/table"
	"github.com/samphirestair/samphirestair/internal/query/poison"
)

func (c *CLI) quarantineCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "quarantine",
		Short: "Show and change which requests are refused because they end backend servers",
		Long: `Show and change which requests are refused because backend servers ended while
they ran them. Any VM that forwards requests can be asked; what is changed there is
in force on all VMs that serve callers within a second or two.`,
	}
	command.AddCommand(
		c.quarantineList(),
		c.quarantineChange("lift", fetch.PathLift, "Let a request run again, and forget the evidence against it"),
		c.quarantineChange("pin", fetch.PathPin, "Refuse a request until it is lifted"),
	)
	return command
}

func (c *CLI) quarantineList() *cobra.Command {
	flags := &targetFlags{}
	command := &cobra.Command{
		Use:     "list VM|ADDR",
		Short:   "List the requests that are suspect or quarantined, and on what evidence",
		Example: "  samphirestair quarantine list 10.0.0.7:9140",
		Args:    cobra.ExactArgs(1),
	}
	flags.register(command)
	command.RunE = c.withTimeout(func(ctx context.Context, args []string) error {
		targets, err := c.targets(ctx, args, flags)
		if err != nil {
			return err
		}
		body, err := c.deps.Fetch.Get(ctx, targets[0].address, fetch.PathQuarantine)
		if err != nil {
			return err
		}
		if c.json {
			return c.printJSON(json.RawMessage(body))
		}
		var list []poison.Status
		if err := json.Unmarshal(body, &list); err != nil {
			return fail(ExitUnavailable, "cli: %s: %v", targets[0].name, err)
		}
		c.printQuarantine(list)
		return nil
	})
	return command
}

func (c *CLI) printQuarantine(list []poison.Status) {
	rows := table.New("request", "state", "since", "left", "refused", "ended servers", "asks for")
	for _, r := range list {
		rows.Add(r.Fingerprint.String(), r.State.String(), r.Since, r.Left, strconv.Itoa(r.Refused), strings.Join(r.Servers, ","), r.Label)
	}
	c.printTable(rows)
}

// quarantineChange returns the command that changes one request by a call to path.
func (c *CLI) quarantineChange(verb, path, short string) *cobra.Command {
	flags := &targetFlags{}
	command := &cobra.Command{
		Use:     verb + " VM|ADDR REQUEST",
		Short:   short,
		Long:    short + ". REQUEST is its fingerprint, as list and the logs show it.",
		Example: "  samphirestair quarantine " + verb + " 10.0.0.7:9140 9f7f2f54f911b468c54133fea6861f4a",
		Args:    cobra.ExactArgs(2),
	}
	flags.register(command)
	command.RunE = c.withTimeout(func(ctx context.Context, args []string) error {
		if _, err := poison.ParseFingerprint(args[1]); err != nil {
			return fail(ExitRefused, "cli: %v", err)
		}
		targets, err := c.targets(ctx, args[:1], flags)
		if err != nil {
			return err
		}
		if _, err := c.deps.Fetch.Post(ctx, targets[0].address, path+args[1]); err != nil {
			return err
		}
		c.printf("%s %s by %s\n", pastOf[verb], args[1], targets[0].name)
		return nil
	})
	return command
}

// pastOf maps the verbs of quarantineChange to what is reported.
var pastOf = map[string]string{"lift": "lifted", "pin": "pinned"}
