// Command samphirestair runs the process of an entry VM and the commands of
// operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
	"github.com/samphirestair/samphirestair/internal/ops/cli"
	"github.com/samphirestair/samphirestair/internal/ops/fetch"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
	"github.com/samphirestair/samphirestair/internal/plat/store"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

var errNotBuilt = errors.New("samphirestair: not built in")

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit code of the process.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := cli.New(cli.Deps{
		Serve:       func(context.Context, *vmconf.Settings) error { return errNotBuilt },
		Store:       newStore,
		VMs:         newList,
		Fetch:       fetch.New(),
		PolicyNames: policyNames,
	})
	return command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
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
