package main

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/change"
	"github.com/samphirestair/samphirestair/internal/lab/chaos"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
	"github.com/samphirestair/samphirestair/internal/lab/watch"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

// chaosFlags are the flags of the chaos command.
type chaosFlags struct {
	folder    string
	seed      uint64
	length    time.Duration
	faults    []string
	history   string
	dry       bool
	mutant    string
	endpoints chaos.Endpoints
}

func newChaos() *cobra.Command {
	var flags chaosFlags
	cmd := &cobra.Command{
		Use:   "chaos",
		Short: "Inject a schedule of faults into a running fleet",
		Long: `chaos draws a schedule of faults from the seed, carries it out on the fleet that
scripts/lib runs in a folder, and undoes every fault at the end. Meanwhile it
records which configuration is in force on the VMs. It prints the number of
steps by kind.

"--fault none" injects nothing and only records.`,
		Example: `  samphirelab chaos --run /tmp/run --seed 7 --for 60s --history chaos.jsonl
  samphirelab chaos --run /tmp/run --seed 7 --for 60s --fault kill-vm --fault cut
  samphirelab chaos --run /tmp/run --seed 7 --for 60s --dry`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runChaos(cmd, flags) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.folder, "run", "", "folder of the run")
	f.Uint64Var(&flags.seed, "seed", 1, "seed of the schedule")
	f.DurationVar(&flags.length, "for", time.Minute, "length of the schedule")
	f.StringSliceVar(&flags.faults, "fault", nil, "kinds of faults; all if none is given")
	f.StringVar(&flags.history, "history", "", "file for the history")
	f.BoolVar(&flags.dry, "dry", false, "only print the schedule")
	f.StringVar(&flags.mutant, "mutant", "", "deliberate defect that the checkers must detect: hard-stop or pretend")
	f.StringVar(&flags.endpoints.Store, "store", "http://127.0.10.1:7400", "URL of the key-value service")
	f.StringVar(&flags.endpoints.List, "vms", "http://127.0.10.2:7401", "URL of the VM list")
	f.StringVar(&flags.endpoints.Servers, "servers", "http://127.0.10.3:7402", "control URL of the backend servers")
	_ = cmd.MarkFlagRequired("run")
	return cmd
}

func runChaos(cmd *cobra.Command, flags chaosFlags) error {
	kinds, err := parseFaults(flags.faults)
	if err != nil {
		return err
	}
	deps, err := readRunFolder(&flags)
	if err != nil {
		return err
	}
	var steps []chaos.Step
	if len(kinds) > 0 {
		steps = chaos.Plan(flags.seed, flags.length, kinds, deps.Targets())
	}
	if flags.dry {
		return printSteps(cmd, steps)
	}
	remote, err := chaos.NewRemote(flags.endpoints)
	if err != nil {
		return err
	}
	defer remote.Close()
	kv, err := store.NewHTTP(flags.endpoints.Store, metrics.NewSet(), store.HTTPOptions{})
	if err != nil {
		return err
	}
	defer kv.Close()
	if deps.Recorder, err = trace.NewFileRecorder(flags.history, "chaos"); err != nil {
		return err
	}
	deps.Logger = slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil))
	deps.Controls, deps.Operator = remote, change.New(kv, change.Options{})
	if deps, err = chaos.Mutate(deps, chaos.Mutant(flags.mutant)); err != nil {
		return err
	}
	report := injectAndWatch(cmd.Context(), deps, flags, steps)
	return errors.CombineErrors(printCounts(cmd, report), deps.Recorder.Close())
}

// parseFaults returns the kinds of faults with the given names. Without names it returns
// all kinds. The name "none" adds no kind.
func parseFaults(names []string) ([]chaos.Fault, error) {
	if len(names) == 0 {
		return chaos.All(), nil
	}
	var kinds []chaos.Fault
	for _, name := range names {
		if name == "none" {
			continue
		}
		kind, err := chaos.Parse(name)
		if err != nil {
			return nil, err
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

// readRunFolder reads the VMs, their admin addresses and the documents from the folder of
// the run.
func readRunFolder(flags *chaosFlags) (chaos.Deps, error) {
	folder := chaos.Folder(flags.folder)
	deps := chaos.Deps{Processes: folder}
	var err error
	if deps.VMs, flags.endpoints.Admins, err = folder.VMs(); err != nil {
		return deps, err
	}
	deps.Documents, err = folder.Documents()
	return deps, err
}

// injectAndWatch carries out the steps, and records which configuration is in force on
// the VMs until the schedule ends. It stops early if ctx ends.
func injectAndWatch(ctx context.Context, deps chaos.Deps, flags chaosFlags, steps []chaos.Step) chaos.Report {
	watchCtx, stop := context.WithCancel(ctx)
	var group conc.WaitGroup
	group.Go(func() {
		watch.Run(watchCtx, watch.Options{Targets: watchTargets(flags.endpoints.Admins), Recorder: deps.Recorder})
	})
	end := time.NewTimer(flags.length)
	defer end.Stop()
	report := chaos.New(deps).Run(ctx, steps)
	select {
	case <-end.C:
	case <-ctx.Done():
	}
	stop()
	group.Wait()
	return report
}

func watchTargets(admins map[ident.VMID]string) []watch.Target {
	var targets []watch.Target
	for vm, admin := range admins {
		targets = append(targets, watch.Target{VM: vm, AdminAddress: admin})
	}
	return targets
}

func printSteps(cmd *cobra.Command, steps []chaos.Step) error {
	for _, step := range steps {
		if _, err := fmt.Fprintln(cmd.OutOrStdout(), step); err != nil {
			return errors.Wrap(err, "chaos")
		}
	}
	return nil
}

func printCounts(cmd *cobra.Command, report chaos.Report) error {
	for _, fault := range chaos.All() {
		injected, failed := report.Injected[fault], report.Failed[fault]
		if injected+failed == 0 {
			continue
		}
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "fault: %s injected=%d failed=%d\n", fault, injected, failed)
		if err != nil {
			return errors.Wrap(err, "chaos")
		}
	}
	return nil
}
