package node

import (
	"context"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/core/guard"
	"github.com/samphirestair/samphirestair/internal/front/caller"
)

// admissionPollInterval is the time between two checks whether this VM admits
// requests.
const admissionPollInterval = 20 * time.Millisecond

// Run runs the process until a planned stop is complete. The first value on
// stop begins the stop; the second skips the wait until address lists with this
// VM have expired. Run returns nil if no request was cut off, and an error at
// once if a port can't be opened.
func (n *Node) Run(stop <-chan os.Signal) error {
	ports, err := n.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running conc.WaitGroup
	n.start(ctx, &running, ports)
	failed := make(chan error, 1)
	running.Go(func() { failed <- n.serveCallers(ctx) })
	n.events.Record("process_started", n.self.Process.String(), "settings read")
	select {
	case <-stop:
		err = n.stop(stop)
	case err = <-failed:
		n.shutdown()
	}
	cancel()
	n.client.Close()
	running.Wait()
	return err
}

// start runs all parts but the server for callers.
func (n *Node) start(ctx context.Context, running *conc.WaitGroup, ports *listeners) {
	running.Go(func() { n.agent.Run(ctx) })
	running.Go(func() { n.syncer.Run(ctx) })
	running.Go(func() { n.sender.Run(ctx) })
	running.Go(func() { n.coordinator.Run(ctx) })
	running.Go(func() { n.logFailure("control", n.control.Serve(ctx, ports.control)) })
	n.serve(running, "mesh", n.mesh.Serve, ports.peer)
	n.serve(running, "admin", n.admin.Serve, ports.admin)
}

// serveCallers opens the port for callers once this VM admits requests. Until
// then connections are refused, so that callers use another address of their
// list at once. It returns when the port can't be opened or after shutdown.
func (n *Node) serveCallers(ctx context.Context) error {
	for !n.views.Load().Admitting && ctx.Err() == nil {
		sleep.For(ctx, admissionPollInterval)
	}
	if ctx.Err() != nil {
		return errors.Wrap(ctx.Err(), "node: stopped before the VM joined the fleet")
	}
	listener, err := caller.Listen(n.settings.CallerAddress())
	if err != nil {
		return err
	}
	n.events.Record("callers_admitted", n.settings.CallerAddress(), "joined the fleet")
	return n.caller.Serve(n.memory.Bound(listener, callerPort, guard.Callers()))
}

func (n *Node) serve(running *conc.WaitGroup, part string, serve func(net.Listener) error, l net.Listener) {
	running.Go(func() { n.logFailure(part, serve(l)) })
}

// logFailure logs the failure of a part. The process goes on: callers and other
// VMs notice that the part does not answer, and operators see the log line.
func (n *Node) logFailure(part string, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	n.logger.Error("part_failed", slog.String("part", part), slog.String("reason", err.Error()))
}
