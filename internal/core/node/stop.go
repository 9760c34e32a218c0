package node

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

const (
	// connectionCloseNotice is the time before the server for callers shuts down, in
	// which each answer announces that its connection closes.
	connectionCloseNotice = 500 * time.Millisecond
	// shutdownTimeout bounds the shutdown of the servers once all requests are
	// answered.
	shutdownTimeout = 2 * time.Second
	// successorPollInterval is the time between two checks whether a VM could take
	// over what a leaving one owns.
	successorPollInterval = 100 * time.Millisecond
	// successorTimeout is the time without such a VM after which a leaving VM gives
	// up the handover.
	successorTimeout = 2 * time.Second
)

// ErrStopBound means that a planned stop took longer than the settings allow. The
// requests still in flight were cut off.
var ErrStopBound = errors.New("node: stop bound reached")

// errNoSuccessor means that no VM is left that could take over what this one owns.
var errNoSuccessor = errors.New("node: no VM is left to hand over to")

// stop performs the planned stop: the VM leaves the address lists, serves callers
// until old lists have expired, hands over what it owns, waits for every request in
// flight, and only then closes its listeners. A value on signals skips the wait for
// old lists.
func (n *Node) stop(signals <-chan os.Signal) error {
	stopCtx, cancel := context.WithTimeout(context.Background(), n.settings.Fleet.StopBound)
	defer cancel()
	n.events.Record("stop_begun", n.self.Process.String(), "signal")
	listsExpired := time.After(n.settings.Fleet.ListLifetime)
	err := n.leave(stopCtx)
	select {
	case <-listsExpired:
	case <-signals:
		n.events.Record("stop_hurried", n.self.Process.String(), "second signal")
	case <-stopCtx.Done():
	}
	n.caller.AnnounceClose()
	sleep.For(stopCtx, connectionCloseNotice)
	err = errors.CombineErrors(err, n.drain(stopCtx))
	if stopCtx.Err() != nil {
		err = errors.CombineErrors(ErrStopBound, err)
	}
	n.shutdown()
	n.recordStop(err)
	return err
}

func (n *Node) recordStop(err error) {
	reason := "all requests answered"
	if err != nil {
		reason = err.Error()
	}
	n.events.Record("stop_ended", n.self.Process.String(), reason)
}

// leave hands over what this VM owns. It gives up without an error if there is no
// successor for successorTimeout, as when the whole fleet stops at once.
func (n *Node) leave(stopCtx context.Context) error {
	ctx, cancel := context.WithCancelCause(stopCtx)
	defer cancel(nil)
	go n.watchSuccessors(ctx, cancel)
	err := n.agent.Leave(ctx)
	if errors.Is(context.Cause(ctx), errNoSuccessor) {
		n.events.Record("handover_skipped", n.self.Process.String(), errNoSuccessor.Error())
		return nil
	}
	return err
}

// watchSuccessors cancels with the cause errNoSuccessor once no VM could have taken
// over for successorTimeout.
func (n *Node) watchSuccessors(ctx context.Context, cancel context.CancelCauseFunc) {
	last := time.Now()
	for ctx.Err() == nil {
		if hasSuccessor(n.views.Load()) {
			last = time.Now()
		}
		if time.Since(last) > successorTimeout {
			cancel(errNoSuccessor)
			return
		}
		sleep.For(ctx, successorPollInterval)
	}
}

// hasSuccessor reports whether there is another member that is not leaving.
func hasSuccessor(current *view.View) bool {
	for vm, member := range current.Members {
		if vm != current.Self.Process.VM && !member.Leaving {
			return true
		}
	}
	return false
}

// drain waits until every request and sub-request is answered, or returns the error
// of ctx.
func (n *Node) drain(ctx context.Context) error {
	err := n.entry.Drain(ctx)
	err = errors.CombineErrors(err, n.coordinator.Drain(ctx))
	return errors.CombineErrors(err, n.sender.Drain(ctx))
}

// shutdown closes the servers within shutdownTimeout.
func (n *Node) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	n.logFailure("caller", n.caller.Shutdown(ctx))
	n.logFailure("mesh", n.mesh.Shutdown(ctx))
	n.logFailure("admin", n.admin.Shutdown(ctx))
}
