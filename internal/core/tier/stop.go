package tier

import (
	"context"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/sleep"
)

const (
	// stopReserve is the part of a planned stop's time limit that is reserved for
	// requests in flight and the exit of the process.
	stopReserve = 900 * time.Millisecond
	// stopPollInterval is the time between two checks whether all callers have
	// disconnected.
	stopPollInterval = 100 * time.Millisecond
	// oldListLifetimes is the number of lifetimes for which some callers keep using
	// an old address list.
	oldListLifetimes = 3
	// adminShutdownTimeout bounds the shutdown of the admin server.
	adminShutdownTimeout = 50 * time.Millisecond
)

// stop performs the planned stop, which cuts off no request: the VM leaves the
// address list, serves the callers that still use an old list, and closes its
// listeners once they have disconnected or the time limit is reached.
func (t *Tier) stop(ctx context.Context) {
	began := time.Now()
	t.events.Record("stop_begun", string(t.settings.VM.ID), "signal")
	t.gate.Drain()
	t.registrar.Leave()
	minWait := oldListLifetimes*t.addressListLifetime() + stopPollInterval
	maxWait := t.current.Load().VM.StopBound - stopReserve
	for time.Since(began) < maxWait {
		if time.Since(began) > minWait && t.gate.OpenConnections() == 0 {
			break
		}
		sleep.For(ctx, stopPollInterval)
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		if err := t.gate.Shutdown(); err != nil {
			t.events.Record("stop_failed", "callers", err.Error())
		}
		if err := t.peerServer.Shutdown(); err != nil {
			t.events.Record("stop_failed", "peers", err.Error())
		}
	}()
	select {
	case <-closed:
	case <-time.After(stopReserve / 2):
	}
	stopCtx, cancel := context.WithTimeout(ctx, adminShutdownTimeout)
	defer cancel()
	if err := t.admin.Shutdown(stopCtx); err != nil {
		t.events.Record("stop_failed", "admin", err.Error())
	}
	t.events.Record("stop_complete", string(t.settings.VM.ID), "all callers disconnected or the time limit was reached")
}
