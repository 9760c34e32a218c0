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
	caught := catchSignals()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := cmdln.New(cmdln.Deps{
		Serve: func(_ context.Context, settings *vmconf.Settings) error { return serve(caught, settings) },
		Forward: func(settings *fwconf.Settings, load func() (*fwconf.Settings, error)) error {
			return forward(caught, settings, load)
		},
		Store:       newStore,
		VMs:         newList,
		Fetch:       fetch.New(),
		PolicyNames: policyNames,
	})
	return command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// signalsKept is the number of stop signals that a process acts upon.
const signalsKept = 2

// signals are those to the process of a VM.
type signals struct {
	stop, reload chan os.Signal
}

// catchSignals catches signals from the first moment on, so that none ends a process
// that starts, or is lost to it.
func catchSignals() *signals {
	s := &signals{stop: make(chan os.Signal, signalsKept), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// serve runs the process of a VM until a planned stop is complete.
func serve(caught *signals, settings *vmconf.Settings) error {
	process, err := node.New(settings, newLogger(settings.Log))
	if err != nil {
		return err
	}
	return process.Run(caught.stop)
}

// logCloseTimeout bounds the writing of the last log lines.
const logCloseTimeout = 100 * time.Millisecond

// forward runs the process of a VM that forwards requests by routes on the
// users' platform.
func forward(caught *signals, settings *fwconf.Settings, load func() (*fwconf.Settings, error)) error {
	output := events.NewWriter(os.Stdout)
	defer output.Close(logCloseTimeout)
	logger := events.NewLogger(output, settings.Log.Level)
	client, err := httpc.New(settings.Depot.URL, httpc.Options{})
	if err != nil {
		return err
	}
	process, err := tier.New(settings, load, tier.Adapter{
		Depot:     platform.NewDepot(client),
		Reader:    platform.Facts{},
		Names:     platform.Headers(),
		Ready:     platform.Ready,
		Directory: platform.Directory,
	}, logger)
	if err != nil {
		return err
	}
	return process.Run(caught.stop, caught.reload)
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

func newList(url string) (vmlist.List, error) {
	return vmlist.NewHTTP(url, httpc.Options{})
}

// policyNames returns the registered policies of a kind.
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
