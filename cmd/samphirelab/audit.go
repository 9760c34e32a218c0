package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/lab/audit"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// errPropertyBroken is returned after all findings are printed, so that the process
// fails.
var errPropertyBroken = errors.New("audit: a property is broken")

func newAudit() *cobra.Command {
	var properties []string
	cmd := &cobra.Command{
		Use:   "audit FILE...",
		Short: "Check the histories of a run",
		Long: `audit reads the histories that the processes of one run recorded and checks
one property after the other. It prints a line for each,

  property: NAME held|broken|not exercised events=N

and the first violations below it. The exit code is 1 if a property is broken.`,
		Example: `  samphirelab audit servers.jsonl load.jsonl operators.jsonl
  samphirelab audit --property once,notrun servers.jsonl load.jsonl`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			return runAudit(cmd, files, properties)
		},
	}
	cmd.Flags().StringSliceVar(&properties, "property", audit.Names(), "properties to check")
	return cmd
}

func runAudit(cmd *cobra.Command, files, properties []string) error {
	events, err := trace.ReadFiles(files...)
	if err != nil {
		return err
	}
	history := audit.New(events)
	broken := false
	for _, property := range properties {
		finding, err := audit.Check(property, history)
		if err != nil {
			return err
		}
		broken = broken || finding.Verdict == audit.Broken
		if _, err := fmt.Fprintln(cmd.OutOrStdout(), finding); err != nil {
			return errors.Wrap(err, "audit")
		}
	}
	if broken {
		return errPropertyBroken
	}
	return nil
}
