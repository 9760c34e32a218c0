package cmdln

import (
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
)

func (c *CLI) serveCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run the process of a VM",
		Long:    "Run the process of a VM until it is asked to stop by SIGTERM or SIGINT. With --check, only check the settings.",
		Example: "  samphirestair serve --settings vm-3.ini\n  samphirestair serve --settings vm-3.ini --check",
		Args:    cobra.NoArgs,
	}
	path, checkOnly := settingsFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		settings, err := vmconf.Load(*path, vmconf.Options{PolicyNames: c.deps.PolicyNames})
		if err != nil {
			return classify(faultsError(*path, err))
		}
		if *checkOnly {
			c.printServeSettings(*path, settings)
			return nil
		}
		if err := c.deps.Serve(command.Context(), settings); err != nil {
			return fail(ExitRefused, "%v", err)
		}
		return nil
	}
	return command
}

// settingsFlags adds the flags --settings and --check of a command that runs the process
// of a VM.
func settingsFlags(command *cobra.Command) (path *string, checkOnly *bool) {
	path = command.Flags().String("settings", "", "file of settings")
	checkOnly = command.Flags().Bool("check", false, "check the settings and exit")
	if err := command.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	return path, checkOnly
}
