package cmdln

import (
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/ops/logs"
)

func (c *CLI) explainCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "explain ID FILE...",
		Short:   "Tell from the logs of VMs what happened to one request",
		Long:    "Tell from the logs of VMs what was decided about the request with the given id, in the order of time. Files may be compressed by gzip; no VM is asked. For a request that was refused because its repeats ended backend servers, this shows the evidence too.",
		Example: "  samphirestair explain 9c41d07be2a35f68 vm-1.log vm-2.log.gz",
		Args:    cobra.MinimumNArgs(2),
	}
	command.RunE = func(_ *cobra.Command, args []string) error {
		var lines []logs.Line
		for _, path := range args[1:] {
			found, err := logs.ReadFile(path, args[0])
			if err != nil {
				return fail(ExitRefused, "%v", err)
			}
			lines = append(lines, found...)
		}
		if len(lines) == 0 {
			return fail(ExitRefused, "no line about request %s", args[0])
		}
		if fingerprint := logs.Fingerprint(lines); fingerprint != "" {
			for _, path := range args[1:] {
				evidence, err := logs.ReadEvidence(path, fingerprint)
				if err != nil {
					return fail(ExitRefused, "%v", err)
				}
				lines = append(lines, evidence...)
			}
		}
		return logs.Explain(c.out, args[0], lines)
	}
	return command
}
