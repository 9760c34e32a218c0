package tier

import (
	"context"
	"log/slog"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/sleep"
)

const (
	// answerReserve and exitReserve are the parts of a planned stop's time limit that are
	// left after the last answer and after the end of the process.
	answerReserve = 500 * time.Millisecond
	exitReserve   = 200 * time.Millisecond
	// stopPollInterval is the time between two checks whether all callers have
	// disconnected.
	stopPollInterval = 100 * time.Millisecond
	// oldListLifetimes is the number of lifetimes for which some callers keep using
	// an old address list.
	oldListLifetimes = 3
	// adminShutdownTimeout bounds the shutdown of the admin server.
	adminShutdownTimeout = 50 * time.Millisecond
)

// stop performs the planned stop, in which each request that was read gets an answer: the VM
// leaves the address list, serves the callers that still use an old list as long as their
// requests can be answered in time, and closes its listeners once they have disconnected or
// the time limit is reached.
func (t *Tier) stop(ctx context.Context) {
	began, bound := time.Now(), t.current.Load().VM.StopBound
	answerBy, exitBy := began.Add(bound-answerReserve), began.Add(bound-exitReserve)
	t.events.Record("stop_begun", string(t.settings.VM.ID), "signal")
	t.gate.Drain(answerBy)
	t.registrar.Leave()
	minWait := oldListLifetimes*t.addressListLifetime() + stopPollInterval
	for time.Now().Before(answerBy) {
		if time.Since(began) > minWait && t.gate.OpenConnections() == 0 {
			break
		}
		sleep.For(ctx, min(stopPollInterval, time.Until(answerBy)))
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		t.closeListeners()
	}()
	if !waitUntil(closed, answerBy) {
		if abandoned := t.gate.Abandon(); abandoned > 0 {
			t.events.Record("requests_abandoned", string(t.settings.VM.ID), "the planned stop has no time left for them", slog.Int("requests", abandoned))
		}
		waitUntil(closed, exitBy)
	}
	stopCtx, cancel := context.WithTimeout(ctx, adminShutdownTimeout)
	defer cancel()
	if err := t.admin.Shutdown(stopCtx); err != nil {
		t.events.Record("stop_failed", "admin", err.Error())
	}
	t.events.Record("stop_complete", string(t.settings.VM.ID), "all callers disconnected or the time limit was reached", slog.Int("connections", t.gate.OpenConnections()))
}

// closeListeners closes the listeners for callers and other VMs, and waits until the requests
// in flight are answered.
func (t *Tier) closeListeners() {
	var closing conc.WaitGroup
	closing.Go(func() {
		if err := t.gate.Shutdown(); err != nil {
			t.events.Record("stop_failed", "callers", err.Error())
		}
	})
	closing.Go(func() {
		if err := t.peerServer.Shutdown(); err != nil {
			t.events.Record("stop_failed", "peers", err.Error())
		}
	})
	closing.Wait()
}

// waitUntil waits for done until a time at most, and reports whether it is done.
func waitUntil(done <-chan struct{}, end time.Time) bool {
	select {
	case <-done:
		return true
	case <-time.After(time.Until(end)):
		return false
	}
}
