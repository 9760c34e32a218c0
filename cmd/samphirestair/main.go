// Command samphirestair runs the process of an entry VM and the commands of
// operators.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/samphirestair/samphirestair/internal/conf/fwconf"
	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/core/node"
	"github.com/samphirestair/samphirestair/internal/core/tier"
	"github.com/samphirestair/samphirestair/internal/ops/cmdln"
	"github.com/samphirestair/samphirestair/internal/ops/fetch"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
	"github.com/samphirestair/samphirestair/internal/plat/store"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/platform"
)

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit code of the process.
func run() int {
	signals := catchSignals()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := cmdln.New(cmdln.Deps{
		Serve: func(_ context.Context, settings *vmconf.Settings) error { return serve(signals, settings) },
		Forward: func(settings *fwconf.Settings, load func() (*fwconf.Settings, error)) error {
			return forward(signals, settings, load)
		},
		Store:       newStore,
		VMs:         newVMList,
		Fetch:       fetch.New(),
		Routing:     platform.Facts{}.Config,
		PolicyNames: policyNames,
	})
	return command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// stopSignalBuffer is the number of stop signals that can have an effect: the first begins
// a planned stop, and the second makes serve skip the wait for callers to move to other VMs.
const stopSignalBuffer = 2

// processSignals receives the signals that the process of a VM handles.
type processSignals struct {
	stop, reload chan os.Signal
}

// catchSignals starts to catch signals. It is called first in run, so that no signal
// ends a starting process, and signals that arrive meanwhile are handled after the start.
func catchSignals() *processSignals {
	s := &processSignals{stop: make(chan os.Signal, stopSignalBuffer), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// outliveLogReader keeps the process running if whoever reads its output ends. Otherwise the
// next log line would end it, too.
func outliveLogReader() {
	signal.Ignore(syscall.SIGPIPE)
}

// serve runs the process of a VM until a planned stop is complete.
func serve(signals *processSignals, settings *vmconf.Settings) error {
	outliveLogReader()
	process, err := node.New(settings, newLogger(settings.Log))
	if err != nil {
		return err
	}
	return process.Run(signals.stop)
}

// logCloseTimeout limits how long the last log lines are written when the process ends.
const logCloseTimeout = 100 * time.Millisecond

// forward runs the process of a VM that forwards requests by the routes in the
// platform's store, until a planned stop is complete.
func forward(signals *processSignals, settings *fwconf.Settings, load func() (*fwconf.Settings, error)) error {
	outliveLogReader()
	output := events.NewWriter(os.Stdout)
	defer output.Close(logCloseTimeout)
	logger := events.NewLogger(output, settings.Log.Level)
	client, err := httpc.New(settings.Depot.URL, httpc.Options{})
	if err != nil {
		return err
	}
	eras := &depot.EraTracker{}
	process, err := tier.New(settings, load, tier.Adapter{
		Depot:         platform.NewDepot(client, eras),
		Eras:          eras,
		Reader:        platform.Facts{},
		RolloutStatus: platform.Facts{}.RolloutStatus,
		Names:         platform.Headers(),
		Ready:         platform.Ready,
		Directory:     platform.Directory,
	}, logger)
	if err != nil {
		return err
	}
	return process.Run(signals.stop, signals.reload)
}

func newLogger(settings vmconf.Log) *slog.Logger {
	options := &slog.HandlerOptions{Level: settings.Level}
	if settings.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}

func newStore(url string) (store.Store, error) {
	return store.NewHTTP(url, metrics.NewSet(), store.HTTPOptions{})
}

func newVMList(url string) (vmlist.List, error) {
	return vmlist.NewHTTP(url, httpc.Options{})
}

// policyNames returns the names of the registered policies of a kind, and none for an
// unknown kind.
func policyNames(kind string) []string {
	switch kind {
	case vmconf.KindReplica:
		return choose.Policies.Names()
	case vmconf.KindHedge:
		return hedge.Policies.Names()
	case vmconf.KindAdmission:
		return admit.Policies.Names()
	default:
		return nil
	}
}
