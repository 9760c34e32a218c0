package agent

import (
	"context"
	"time"

	"github.com/samphirestair/samphirestair/internal/fleet/lease"
)

// Run runs the agent until ctx ends and then waits for its goroutines. It must be
// called only once.
func (a *Agent) Run(ctx context.Context) {
	a.ctx = ctx
	now := time.Now()
	a.started = now
	a.voter = lease.NewVoter(now, a.options.Lease)
	a.newestIncarnation[a.self.Process.VM] = a.self.Process.Incarnation
	a.calls.Go(a.watchStore)
	a.calls.Go(a.pollVMList)
	a.startJoin()
	a.rebuildRoster(now)
	a.publish(now)
	a.loop()
	close(a.stopped)
	a.calls.Wait()
}

// loop is the control goroutine. It runs tasks and periodic checks until the
// context ends. After each it sends the queued lease requests and publishes the
// view if it changed.
func (a *Agent) loop() {
	ticker := time.NewTicker(a.options.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case task := <-a.tasks:
			task()
		case <-ticker.C:
			a.tick(time.Now())
		}
		a.sendQueuedRequests(time.Now())
		if a.viewDirty {
			a.publish(time.Now())
		}
	}
}

// tick runs the checks of each CheckInterval.
func (a *Agent) tick(now time.Time) {
	a.checkLeases(now)
	a.acquirePreferred(now)
	if now.Sub(a.lastHeartbeat) >= a.options.HeartbeatInterval {
		a.lastHeartbeat = now
		a.onHeartbeat(now)
	}
	a.probeSilentMembers(now)
	a.writePendingChanges(now)
	a.checkIsolation(now)
}

// onHeartbeat runs the checks of each HeartbeatInterval.
func (a *Agent) onHeartbeat(now time.Time) {
	a.voter.Expire(now)
	a.dropStaleRoutes(now)
	a.admitMovedServers(now)
	a.queueMemberUpkeep(now)
	if a.heartbeatCount%heartbeatsPerExport == 0 {
		a.exportHandoverState()
	}
	a.sendHeartbeats(now)
	a.handOverGroups(now)
	a.maintainLeases(now)
	a.fetchNewerMembership(now)
	a.forgetGossip(now)
	if a.leaving && a.membership.Has(a.self.Process) && !a.membership.Members[a.self.Process.VM].Member.Leaving {
		a.sendLeave(now)
	}
	if a.membership.Has(a.self.Process) || a.joining || a.left {
		return
	}
	a.startJoin()
}

// sleep waits for d or until the agent stops.
func (a *Agent) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.ctx.Done():
	}
}

// runAfter runs f on the control goroutine after d.
func (a *Agent) runAfter(d time.Duration, f func()) {
	a.calls.Go(func() {
		a.sleep(d)
		a.post(f)
	})
}

// storeContext returns a context that bounds a call of the key-value service or
// of the platform's VM list.
func (a *Agent) storeContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, storeTimeout)
}
