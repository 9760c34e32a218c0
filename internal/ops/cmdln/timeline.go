package cmdln

import (
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/ops/logs"
)

func (c *CLI) timelineCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "timeline FILE...",
		Short:   "Tell from the logs of VMs what the fleet did and believed, second by second",
		Long:    "Tell from the logs of VMs how many requests were refused, late or repeated in each second, and what changed on which VM. If the configuration had tenants, a table tells how many requests of each were over its quota, refused, failed or late. Files may be compressed by gzip; no VM is asked.",
		Example: "  samphirestair timeline vm-1.log vm-2.log.gz",
		Args:    cobra.MinimumNArgs(1),
	}
	command.RunE = func(_ *cobra.Command, args []string) error {
		var line logs.Timeline
		for _, path := range args {
			if err := line.AddFile(path); err != nil {
				return fail(ExitRefused, "%v", err)
			}
		}
		return line.Write(c.out)
	}
	return command
}
