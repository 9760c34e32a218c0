package node

import (
	"context"
	"log/slog"
	"net"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Run runs the process until a planned stop is complete. The first value on
// stop begins it; the second skips the wait for callers to move to other VMs.
// Run returns nil if no request was cut off.
func (n *Node) Run(stop <-chan os.Signal) error {
	ports, err := n.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running conc.WaitGroup
	n.start(ctx, &running, ports)
	n.events.Record("process_started", n.self.Process.String(), "settings read")
	<-stop
	err = n.stop(stop)
	cancel()
	n.client.Close()
	running.Wait()
	return err
}

func (n *Node) start(ctx context.Context, running *conc.WaitGroup, ports *listeners) {
	running.Go(func() { n.agent.Run(ctx) })
	running.Go(func() { n.spreader.Run(ctx) })
	running.Go(func() { n.sender.Run(ctx) })
	running.Go(func() { n.home.Run(ctx) })
	running.Go(func() { n.report("control", n.control.Serve(ctx, ports.control)) })
	n.serve(running, "mesh", n.mesh.Serve, ports.peer)
	n.serve(running, "caller", n.caller.Serve, ports.caller)
	n.serve(running, "admin", n.admin.Serve, ports.admin)
}

func (n *Node) serve(running *conc.WaitGroup, part string, serve func(net.Listener) error, l net.Listener) {
	running.Go(func() { n.report(part, serve(l)) })
}

// report logs the failure of a part. The process goes on: callers and peers
// notice what is missing, and operators see the log line.
func (n *Node) report(part string, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	n.logger.Error("part_failed", slog.String("part", part), slog.String("reason", err.Error()))
}
