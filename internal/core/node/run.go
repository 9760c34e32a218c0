package node

import (
	"context"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// closingTime is the time for which callers are told on each answer that
	// their connection ends, before it does.
	closingTime = 500 * time.Millisecond
	// lastAnswers bounds the end of the listeners once all work is done.
	lastAnswers = 2 * time.Second
)

// ErrStopBound means that a planned stop took longer than the settings allow;
// what was still under way was cut off.
var ErrStopBound = errors.New("node: stop bound reached")

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

// stop performs the planned stop: the VM leaves the address lists, serves on
// for their lifetime, hands over what it owns, finishes every request, and only
// then closes its listeners.
func (n *Node) stop(again <-chan os.Signal) error {
	bound, cancel := context.WithTimeout(context.Background(), n.settings.Fleet.StopBound)
	defer cancel()
	n.events.Record("stop_begun", n.self.Process.String(), "signal")
	moved := time.After(n.settings.Fleet.ListLifetime)
	err := n.agent.Leave(bound)
	select {
	case <-moved:
	case <-again:
		n.events.Record("stop_hurried", n.self.Process.String(), "second signal")
	case <-bound.Done():
	}
	n.caller.Close()
	sleep(bound, closingTime)
	err = errors.CombineErrors(err, n.drain(bound))
	if bound.Err() != nil {
		err = errors.CombineErrors(ErrStopBound, err)
	}
	n.shutdown()
	n.events.Record("stop_ended", n.self.Process.String(), "all requests answered")
	return err
}

// drain waits until every request and sub-request has its answer.
func (n *Node) drain(ctx context.Context) error {
	err := n.entry.Drain(ctx)
	err = errors.CombineErrors(err, n.home.Drain(ctx))
	return errors.CombineErrors(err, n.sender.Drain(ctx))
}

func (n *Node) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	n.report("caller", n.caller.Shutdown(ctx))
	n.report("mesh", n.mesh.Shutdown(ctx))
	n.report("admin", n.admin.Shutdown(ctx))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
