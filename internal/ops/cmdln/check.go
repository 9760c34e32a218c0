package cmdln

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/strict"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
)

func (c *CLI) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a document without applying it",
		Long:    "Check a document without applying it. All faults are listed at once. Nothing is read but the file.",
		Example: "  samphirestair check agent-desk.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			document, err := readDocument(args[0])
			if err != nil {
				return classify(err)
			}
			c.printSummary(document)
			return nil
		},
	}
}

// readDocument reads and checks a document file.
func readDocument(path string) (*svcdoc.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail(ExitUsage, "cli: %v", err)
	}
	document, err := svcdoc.Parse(data)
	return document, faultsIn(path, err)
}

// faultsIn puts the name of the file before its faults.
func faultsIn(path string, err error) error {
	var faults strict.Faults
	if !errors.As(err, &faults) {
		return err
	}
	return fail(ExitRefused, "%s has %d fault(s):\n%s", path, len(faults), faults.Error())
}

func (c *CLI) printSummary(document *svcdoc.Document) {
	zones := coll.NewSet[ident.Zone]()
	for _, server := range document.Servers {
		zones.Add(server.Zone)
	}
	c.printf("%s: %d shards, %d backend servers, %d zones, %d caller classes, %d non-idempotent actions\n",
		document.Service, document.Shards(), len(document.Servers), len(zones), len(document.Classes), len(document.NonIdempotent))
	for _, note := range weaknesses(document) {
		c.printf("note: %s\n", note)
	}
}
