package cmdln

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/fwconf"
	"github.com/samphirestair/samphirestair/internal/conf/strict"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
)

func (c *CLI) checkCommand() *cobra.Command {
	var against string
	command := &cobra.Command{
		Use:   "check FILE|-",
		Short: "Check a document, the settings of a VM or a routing configuration",
		Long: `Check a document without applying it, the settings of a VM that serves or
forwards without starting it, or a routing configuration before it is sent. What the
file is follows from its content; "-" reads standard input. All faults are listed at
once.

With --against, the version of a routing configuration that is in force is read from a
file or from the admin address of a VM, and what differs is shown with its effect on
requests under way. Keys of tenants are shown as fingerprints.

The exit code is 0 if there are at most warnings, 1 if there are errors, 2 if the file
can't be read, and 4 if the VM does not answer.`,
		Example: `  samphirestair check agent-desk.ini
  samphirestair check vm-3.ini
  samphirestair check next.json --against 10.0.0.7:9140`,
		Args: cobra.ExactArgs(1),
	}
	command.Flags().StringVar(&against, "against", "", "`FILE|ADDR` of the routing configuration in force")
	command.RunE = c.withTimeout(func(ctx context.Context, args []string) error {
		return c.check(ctx, args[0], against)
	})
	return command
}

// Sections that distinguish the kinds of files: documents have neither, the settings of
// VMs have the first, and those of VMs that forward requests have both.
const (
	settingsSection   = "vm"
	forwardingSection = "depot"
)

// readInput reads the file at path, or standard input if path is "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// check detects the kind of the file at path by its content and checks it. It prints a
// summary of a valid file, and fails with all faults of an invalid one.
func (c *CLI) check(ctx context.Context, path, against string) error {
	data, err := readInput(path)
	if err != nil {
		return fail(ExitUsage, "cli: %v", err)
	}
	if isRouting(data) {
		return c.checkRouting(ctx, path, data, against)
	}
	if against != "" {
		return fail(ExitUsage, "cli: --against is for routing configurations, and %s is none", path)
	}
	switch file := strict.Parse(data); {
	case file.Has(forwardingSection):
		settings, err := fwconf.Parse(data)
		if err != nil {
			return faultsError(path, err)
		}
		c.printForwardSettings(path, settings)
	case file.Has(settingsSection):
		settings, err := vmconf.Parse(data, vmconf.Options{PolicyNames: c.deps.PolicyNames})
		if err != nil {
			return faultsError(path, err)
		}
		c.printServeSettings(path, settings)
	default:
		document, err := svcdoc.Parse(data)
		if err != nil {
			return faultsError(path, err)
		}
		c.printSummary(document)
	}
	return nil
}

func (c *CLI) printForwardSettings(path string, settings *fwconf.Settings) {
	c.printf("%s: VM %s in zone %s, callers at %s\n", path, settings.VM.ID, settings.VM.Zone, settings.Listen.Callers)
}

func (c *CLI) printServeSettings(path string, settings *vmconf.Settings) {
	c.printf("%s: VM %s in zone %s, callers at %s\n", path, settings.VM.ID, settings.VM.Zone, settings.CallerAddress())
}

// readDocument reads, parses and checks a document file.
func readDocument(path string) (*svcdoc.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail(ExitUsage, "cli: %v", err)
	}
	document, err := svcdoc.Parse(data)
	return document, faultsError(path, err)
}

// faultsError turns strict.Faults into an error that begins with the path of the file.
// It returns any other error, and nil, as it is.
func faultsError(path string, err error) error {
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
	for _, note := range availabilityNotes(document) {
		c.printf("note: %s\n", note)
	}
}
