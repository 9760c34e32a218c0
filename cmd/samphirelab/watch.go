package main

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
	"github.com/samphirestair/samphirestair/internal/lab/watch"
)

func newWatch() *cobra.Command {
	var admins []string
	var history string
	var options watch.Options
	cmd := &cobra.Command{
		Use:     "watch",
		Short:   "Record which configuration is in force on entry VMs",
		Example: `  samphirelab watch --admin vm-a=127.0.1.1:8002 --admin vm-b=127.0.1.2:8002 --history watch.jsonl`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			targets, err := parseTargets(admins)
			if err != nil {
				return err
			}
			recorder, err := trace.NewFileRecorder(history, "watch")
			if err != nil {
				return err
			}
			options.Targets, options.Recorder = targets, recorder
			watch.Run(cmd.Context(), options)
			return recorder.Close()
		},
	}
	f := cmd.Flags()
	f.StringArrayVar(&admins, "admin", nil, "VM=ip:port of an admin listener; may be given more than once")
	f.StringVar(&options.Section, "section", "config", `section of the state dump that holds "serial"`)
	f.DurationVar(&options.Interval, "interval", 200*time.Millisecond, "time between two observations of a process")
	f.StringVar(&history, "history", "", "file for the history")
	return cmd
}

// parseTargets parses "VM=ip:port" texts.
func parseTargets(texts []string) ([]watch.Target, error) {
	targets := make([]watch.Target, 0, len(texts))
	for _, text := range texts {
		vm, admin, ok := strings.Cut(text, "=")
		if !ok || vm == "" || admin == "" {
			return nil, errors.Newf("watch: %q is not VM=ip:port", text)
		}
		targets = append(targets, watch.Target{VM: ident.VMID(vm), AdminAddress: admin})
	}
	return targets, nil
}
