package cmdln

import (
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/conf/fwconf"
)

func (c *CLI) forwardCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "forward --settings FILE",
		Short:   "Run the process of a VM that forwards requests by routes",
		Long:    "Run the process of a VM that forwards requests by the routes in the platform's store, until it is asked to stop by SIGTERM or SIGINT. With --check, only check the settings.",
		Example: "  samphirestair forward --settings vm-3.ini\n  samphirestair forward --settings vm-3.ini --check",
		Args:    cobra.NoArgs,
	}
	path, checkOnly := settingsFlags(command)
	command.RunE = func(*cobra.Command, []string) error {
		load := func() (*fwconf.Settings, error) { return fwconf.Load(*path) }
		settings, err := load()
		if err != nil {
			return classify(faultsError(*path, err))
		}
		if *checkOnly {
			c.printForwardSettings(*path, settings)
			return nil
		}
		if err := c.deps.Forward(settings, load); err != nil {
			return fail(ExitRefused, "%v", err)
		}
		return nil
	}
	return command
}
