package tier

import (
	"context"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/sleep"
)

const (
	// stopReserve is the time kept from the bound of a planned stop for the
	// requests under way and the end of the process.
	stopReserve = 900 * time.Millisecond
	// stopPoll is the time between two looks whether all callers have left.
	stopPollInterval = 100 * time.Millisecond
	// oldLists is the number of lifetimes for which some callers keep a list of
	// addresses.
	oldListLifetimes = 3
	// adminTimeout bounds the end of the admin listener.
	adminShutdownTimeout = 50 * time.Millisecond
)

// stop ends the process without cutting off a request: the VM leaves the address
// list, serves the callers that still hold an old list, and closes once they
// have left or the time is over.
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
	t.events.Record("stop_complete", string(t.settings.VM.ID), "callers left or time over")
}
