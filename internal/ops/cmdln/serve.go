package cmdln

import (
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
)

func (c *CLI) serveCommand() *cobra.Command {
	var path string
	var checkOnly bool
	command := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run the process of a VM",
		Long:    "Run the process of a VM until it is asked to stop by SIGTERM or SIGINT. With --check, only check the settings.",
		Example: "  samphirestair serve --settings vm-3.ini\n  samphirestair serve --settings vm-3.ini --check",
		Args:    cobra.NoArgs,
	}
	command.Flags().StringVar(&path, "settings", "", "file of settings")
	command.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	if err := command.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	command.RunE = func(command *cobra.Command, _ []string) error {
		settings, err := vmconf.Load(path, vmconf.Options{PolicyNames: c.deps.PolicyNames})
		if err != nil {
			return classify(faultsIn(path, err))
		}
		if checkOnly {
			c.printf("%s: VM %s in zone %s, callers at %s\n", path, settings.VM.ID, settings.VM.Zone, settings.CallerAddress())
			return nil
		}
		if err := c.deps.Serve(command.Context(), settings); err != nil {
			return fail(ExitRefused, "%v", err)
		}
		return nil
	}
	return command
}
