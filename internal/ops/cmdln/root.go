package cmdln

import (
	"os"
	"time"

	"github.com/spf13/cobra"
)

const defaultTimeout = 10 * time.Second

const rootHelp = `samphirestair is a query tier over many shards.

Operators drive it by documents, one per service, and by taking VMs,
availability zones and backend servers in and out of service.

Exit codes:
  0  done
  1  a file has faults, or a change was rejected
  2  the command line is wrong
  3  it is unknown whether a change took effect: run "samphirestair change ID"
  4  a service or VM did not answer; nothing was changed`

// root returns the root command with all subcommands.
func (c *CLI) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "samphirestair",
		Short:         "Query tier over many shards",
		Long:          rootHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&c.storeURL, "store", os.Getenv(envStore), "URL of the key-value service, or "+envStore)
	flags.StringVar(&c.vmsURL, "vms", os.Getenv(envVMs), "URL of the VM list, or "+envVMs)
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "time limit of a command")
	flags.BoolVar(&c.json, "json", false, "print JSON")
	root.AddCommand(c.checkCommand(), c.applyCommand(), c.diffCommand(), c.showCommand(), c.historyCommand(), c.changeCommand())
	root.AddCommand(c.outInCommands()...)
	root.AddCommand(c.statusCommand(), c.fleetCommand(), c.stateCommand(), c.serveCommand(), c.forwardCommand(), c.explainCommand(), c.timelineCommand(), c.quarantineCommand())
	return root
}
