package cmdln

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/change"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/ops/table"
)

// diffContext is the number of unchanged lines shown around a difference.
const diffContext = 3

func (c *CLI) showCommand() *cobra.Command {
	var id string
	command := &cobra.Command{
		Use:   "show [SERVICE]",
		Short: "Show the document in force, or an overview",
		Long: `Show the document of a service that is in force, or the one that an earlier
change put in force. Without a service, list the services and what is out of
service.`,
		Example: `  samphirestair show
  samphirestair show agent-desk > agent-desk.ini
  samphirestair show agent-desk --change 0197c3c0-6a5e-7d31-9a53-0f6f4f1e8c11`,
		Args:              cobra.MaximumNArgs(1),
		ValidArgsFunction: c.complete(services),
	}
	command.Flags().StringVar(&id, "change", "", "`ID` of the change that put the document in force")
	command.RunE = c.withTimeout(func(ctx context.Context, args []string) error {
		if len(args) == 0 {
			return c.showOverview(ctx)
		}
		return c.showDocument(ctx, ident.ServiceID(args[0]), ident.ChangeID(id))
	})
	return command
}

// showDocument shows the document of the given change, or the one in force if
// the id is empty.
func (c *CLI) showDocument(ctx context.Context, service ident.ServiceID, id ident.ChangeID) error {
	changer, s, err := c.changer()
	if err != nil {
		return err
	}
	_, ix, err := changer.Read(ctx)
	if err != nil {
		return err
	}
	current := ix.Documents[service]
	id = cmp.Or(id, current)
	if id == "" {
		return fail(ExitRefused, "cli: no document of service %s is in force", service)
	}
	entry, err := s.Get(ctx, index.DocumentKey(service, id))
	if err != nil {
		return err
	}
	if entry.Revision == 0 {
		return fail(ExitRefused, "cli: change %s holds no document of service %s", id, service)
	}
	c.printf("# %s at serial %d: change %s%s\n%s", inForceText(id, current), ix.Serial, id, changeOrigin(ix, id), entry.Value)
	return nil
}

func inForceText(id, current ident.ChangeID) string {
	if id == current {
		return "in force"
	}
	return "not in force"
}

// documentInForce returns the index, and the text of the document of a service. The text
// is empty if the service has no document in force.
func (c *CLI) documentInForce(ctx context.Context, service ident.ServiceID) (*index.Index, string, error) {
	changer, s, err := c.changer()
	if err != nil {
		return nil, "", err
	}
	_, ix, err := changer.Read(ctx)
	if err != nil {
		return nil, "", err
	}
	id, ok := ix.Documents[service]
	if !ok {
		return ix, "", nil
	}
	entry, err := s.Get(ctx, index.DocumentKey(service, id))
	return ix, string(entry.Value), err
}

// changeOrigin returns the text for who made a change and when. It is empty if the index
// no longer holds the change.
func changeOrigin(ix *index.Index, id ident.ChangeID) string {
	found, ok := ix.Find(id)
	if !ok {
		return ""
	}
	return fmt.Sprintf(", by %s at %s", found.By, found.At.UTC().Format(time.RFC3339))
}

func (c *CLI) showOverview(ctx context.Context) error {
	changer, _, err := c.changer()
	if err != nil {
		return err
	}
	entry, ix, err := changer.Read(ctx)
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(ix)
	}
	c.printf("serial %d, revision %d\n\n", ix.Serial, entry.Revision)
	t := table.New("KIND", "NAME", "CHANGE", "BY")
	addSubjectRows(t, ix, "service", ix.Documents)
	addSubjectRows(t, ix, "zone out", ix.ZonesOut)
	addSubjectRows(t, ix, "vm out", ix.VMsOut)
	addSubjectRows(t, ix, "server out", ix.ServersOut)
	c.printTable(t)
	return nil
}

func addSubjectRows[K ~string](t *table.Table, ix *index.Index, kind string, subjects map[K]ident.ChangeID) {
	for _, subject := range slices.Sorted(maps.Keys(subjects)) {
		id := subjects[subject]
		found, _ := ix.Find(id)
		t.Add(kind, string(subject), string(id), found.By)
	}
}

func (c *CLI) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Compare a document with the one in force",
		Long:    "Compare a document with the one in force. The serial that is printed can be given to apply --expect.",
		Example: "  samphirestair diff agent-desk.ini",
		Args:    cobra.ExactArgs(1),
		RunE: c.withTimeout(func(ctx context.Context, args []string) error {
			document, err := readDocument(args[0])
			if err != nil {
				return err
			}
			return c.diff(ctx, args[0], document)
		}),
	}
}

func (c *CLI) diff(ctx context.Context, path string, document *svcdoc.Document) error {
	ix, current, err := c.documentInForce(ctx, document.Service)
	if err != nil {
		return err
	}
	proposed := string(svcdoc.Format(document))
	if current == proposed {
		c.printf("no difference at serial %d\n", ix.Serial)
		return nil
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: splitLines(current), FromFile: fmt.Sprintf("in force at serial %d", ix.Serial),
		B: splitLines(proposed), ToFile: path,
		Context: diffContext,
	})
	c.printf("%s", text)
	return err
}

// splitLines returns the lines of text, including their newlines.
func splitLines(text string) []string {
	return slices.Collect(strings.Lines(text))
}

func (c *CLI) historyCommand() *cobra.Command {
	limit := 0
	command := &cobra.Command{
		Use:     "history [SERVICE]",
		Short:   "List accepted changes, the latest last",
		Example: "  samphirestair history\n  samphirestair history agent-desk --limit 5",
		Args:    cobra.MaximumNArgs(1),

		ValidArgsFunction: c.complete(services),
	}
	command.Flags().IntVar(&limit, "limit", 20, "number of changes to list, 0 for all in the stored history")
	command.RunE = c.withTimeout(func(ctx context.Context, args []string) error {
		return c.history(ctx, args, limit)
	})
	return command
}

func (c *CLI) history(ctx context.Context, args []string, limit int) error {
	changer, _, err := c.changer()
	if err != nil {
		return err
	}
	_, ix, err := changer.Read(ctx)
	if err != nil {
		return err
	}
	changes := ix.Changes
	if len(args) > 0 {
		changes = slices.DeleteFunc(changes, func(entry index.Change) bool {
			return entry.Kind != string(change.Apply) || entry.Subject != args[0]
		})
	}
	if limit > 0 && len(changes) > limit {
		changes = changes[len(changes)-limit:]
	}
	if c.json {
		return c.printJSON(changes)
	}
	c.printChanges(changes)
	return nil
}

func (c *CLI) changeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "change ID",
		Short: "Find out whether a change took effect",
		Long: `Find out whether a change took effect.

If it did not, the configuration is rewritten as it is, so that the change
cannot take effect later either.`,
		Example: "  samphirestair change 0197c3c0-6a5e-7d31-9a53-0f6f4f1e8c11",
		Args:    cobra.ExactArgs(1),
		RunE: c.withTimeout(func(ctx context.Context, args []string) error {
			changer, _, err := c.changer()
			if err != nil {
				return err
			}
			return c.reportOutcome(changer.Settle(ctx, ident.ChangeID(args[0])))
		}),
	}
}
