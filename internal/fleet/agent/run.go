package agent

import (
	"context"
	"time"

	"github.com/samphirestair/samphirestair/internal/fleet/lease"
)

// Run drives the agent until ctx ends. It is called once.
func (a *Agent) Run(ctx context.Context) {
	a.ctx = ctx
	now := time.Now()
	a.started = now
	a.voter = lease.NewVoter(now, a.options.Lease)
	a.newest[a.self.Process.VM] = a.self.Process.Incarnation
	a.calls.Go(a.watchStore)
	a.calls.Go(a.watchList)
	a.startJoin()
	a.rebuild(now)
	a.publish(now)
	a.loop()
	close(a.stopped)
	a.calls.Wait()
}

// loop runs tasks and ticks until the context ends.
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
		a.sendAsks(time.Now())
		if a.dirty {
			a.publish(time.Now())
		}
	}
}

func (a *Agent) tick(now time.Time) {
	a.checkTenures(now)
	a.contend(now)
	if now.Sub(a.lastBeat) >= a.options.HeartbeatInterval {
		a.lastBeat = now
		a.everyHeartbeat(now)
	}
	a.probeOverdue(now)
	a.writeChanges(now)
	a.checkIsolation(now)
}

func (a *Agent) everyHeartbeat(now time.Time) {
	a.voter.Expire(now)
	a.dropRoutes(now)
	a.admitMoved(now)
	a.removeDead(now)
	if a.beats%carryBeats == 0 {
		a.exportCarry()
	}
	a.sendBeats(now)
	a.handOver(now)
	a.reportSettled(now)
	a.catchUp(now)
	a.forgetRumors(now)
	if a.leaving && a.value.Has(a.self.Process) && !a.value.Members[a.self.Process.VM].Member.Leaving {
		a.sendLeave(now)
	}
	if a.value.Has(a.self.Process) || a.joining || a.left {
		return
	}
	a.startJoin()
}

// pause waits for d or until the agent stops.
func (a *Agent) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.ctx.Done():
	}
}

// after runs f on the control goroutine once d has passed.
func (a *Agent) after(d time.Duration, f func()) {
	a.calls.Go(func() {
		a.pause(d)
		a.post(f)
	})
}

// storeContext bounds one call of the key-value service.
func (a *Agent) storeContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, storeTimeout)
}
