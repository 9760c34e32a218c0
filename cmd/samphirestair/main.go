// Command samphirestair runs the process of an entry VM and the commands of
// operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
	"github.com/samphirestair/samphirestair/internal/ops/admin"
	"github.com/samphirestair/samphirestair/internal/ops/cli"
	"github.com/samphirestair/samphirestair/internal/plat/store"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
)

var errNotBuilt = errors.New("samphirestair: not built in")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	command := cli.New(cli.Deps{
		Serve: func(context.Context, *vmconf.Settings) error { return errNotBuilt },
		Store: func(string) (store.Store, error) { return nil, errNotBuilt },
		VMs:   func(string) (vmlist.List, error) { return nil, errNotBuilt },
		Admin: admin.New(),
	})
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
