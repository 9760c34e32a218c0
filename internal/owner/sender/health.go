package sender

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/client"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// healthTimeout is the timeout of one health check.
const healthTimeout = 500 * time.Millisecond

// refusesNewWork reports whether the server may not receive new work, because
// operators took it out of service or because it reports that it is draining.
func (e *endpoint) refusesNewWork() bool {
	return e.outOfService.Load() || e.draining.Load()
}

// startMonitor starts the goroutine that sends cancels and health checks, unless
// it runs already. It uses a connection of its own, so servers that are limited to
// one connection have none.
func (e *endpoint) startMonitor() {
	if e.monitoring || e.closed || e.server.Limits.Connections < 2 {
		return
	}
	e.monitoring = true
	e.sender.goroutines.Go(e.monitorLoop)
}

func (e *endpoint) monitorLoop() {
	serverClient := client.New(e.dialer, e.sender.clientOptions())
	defer serverClient.Close()
	ticker := time.NewTicker(e.sender.opts.HealthInterval)
	defer ticker.Stop()
	for {
		select {
		case j, open := <-e.cancels:
			if !open {
				return
			}
			e.cancelAtServer(serverClient, j)
		case <-e.healthRequests:
			e.checkHealth(serverClient)
		case <-ticker.C:
			e.checkHealth(serverClient)
		}
	}
}

// checkHealth asks the server for its health if this VM owns it. The answer also
// carries the boot identity and the index maps, which a server without work
// reports nowhere else.
func (e *endpoint) checkHealth(serverClient *client.Client) {
	if !e.leased(time.Now()) {
		return
	}
	askedAt := time.Now()
	deadline := askedAt.Add(healthTimeout)
	hello, fresh, err := serverClient.Connect(deadline)
	if err != nil {
		return
	}
	health, ok := serverClient.Health(deadline)
	e.mu.Lock()
	defer e.unlock()
	now := time.Now()
	if fresh {
		e.observeHello(hello, now)
	}
	if ok {
		e.observeBoot(health.Boot, health.Maps, now)
		e.applyHealth(health.State == bknd.StateDraining, now)
		e.queue.ServerResponded(askedAt, now)
		e.dispatch(now)
	}
}

// applyHealth applies the health that the server reports. A draining server
// receives no new work. A healthy report never raises the concurrency limit: only
// completed requests do.
func (e *endpoint) applyHealth(draining bool, now time.Time) {
	was := e.draining.Swap(draining)
	switch {
	case draining && !was:
		e.sender.deps.Events.Record("server_draining", string(e.id), "reported by the server")
		e.refuseWaiting(msgs.Answer{Status: msgs.StatusNotRun})
	case was && !draining:
		e.sender.deps.Events.Record("server_undrained", string(e.id), "no longer reported by the server")
		e.tracker.RequireBootConfirmation(now)
		e.updateLimit()
	}
}

// requestHealthCheck triggers a health check at once. It is called when the server
// has shed a request.
func (e *endpoint) requestHealthCheck() {
	select {
	case e.healthRequests <- struct{}{}:
	default:
	}
}
