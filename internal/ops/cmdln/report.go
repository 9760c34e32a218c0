package cmdln

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/conf/change"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/ops/table"
)

// reportOutcome prints the outcome of a change. It returns an error with the exit code
// unless the change was accepted or changed nothing.
func (c *CLI) reportOutcome(outcome change.Outcome) error {
	if c.json {
		if err := c.printJSON(outcome); err != nil {
			return err
		}
	} else {
		c.printOutcome(outcome)
	}
	switch outcome.Status {
	case change.Accepted, change.Unchanged:
		return nil
	case change.Unknown:
		return fail(ExitUnknown, "")
	case change.Unavailable:
		return fail(ExitUnavailable, "")
	default:
		return fail(ExitRefused, "")
	}
}

func (c *CLI) printOutcome(outcome change.Outcome) {
	switch outcome.Status {
	case change.Accepted:
		c.printf("accepted: serial %d, revision %d, change %s\n", outcome.Serial, outcome.Revision, outcome.ID)
	case change.Unchanged:
		c.printf("unchanged: this is in force already, at serial %d\n", outcome.Serial)
	case change.Rejected:
		c.printf("rejected: %s\n", outcome.Reason)
		c.printConflicts(outcome.Conflicts)
	case change.Unavailable:
		c.printf("unavailable: nothing was changed: %s\n", outcome.Reason)
	case change.Unknown:
		c.printf("unknown: change %s may or may not have taken effect: %s\n", outcome.ID, outcome.Reason)
		c.printf("to find out: samphirestair change %s\n", outcome.ID)
	}
}

func (c *CLI) printConflicts(others []index.Change) {
	if len(others) > 0 {
		c.printf("\n")
		c.printChanges(others)
	}
}

func (c *CLI) printChanges(changes []index.Change) {
	t := table.New("SERIAL", "AT", "KIND", "SUBJECT", "BY", "CHANGE")
	for _, entry := range changes {
		t.Add(fmt.Sprint(entry.Serial), entry.At.UTC().Format(time.RFC3339), entry.Kind, entry.Subject, entry.By, string(entry.ID))
	}
	c.printTable(t)
}

func (c *CLI) printTable(t *table.Table) {
	// A failed write has nowhere to be reported.
	_ = t.Write(c.out)
}

func (c *CLI) printJSON(value any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "cli: print JSON")
}
