package sender

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/lane"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// healthTimeout bounds one question for the claimed health.
const healthTimeout = 500 * time.Millisecond

// barred reports whether the server may not receive new work, because
// operators took it out or because it says that it leaves.
func (h *host) barred() bool {
	return h.out.Load() || h.draining.Load()
}

// watch starts the loop that cancels work and asks for the claimed health. It
// has a connection of its own.
func (h *host) watch() {
	if h.watching || h.closed || h.server.Limits.Connections < 2 {
		return
	}
	h.watching = true
	h.sender.workers.Go(h.watchLoop)
}

func (h *host) watchLoop() {
	l := lane.New(h.dialer, 0)
	defer l.Close()
	ticker := time.NewTicker(h.sender.opts.HealthInterval)
	defer ticker.Stop()
	for {
		select {
		case j, open := <-h.cancels:
			if !open {
				return
			}
			h.cancelAtServer(l, j)
		case <-h.doubt:
			h.askHealth(l)
		case <-ticker.C:
			h.askHealth(l)
		}
	}
}

// askHealth asks the server for its claimed health while this VM owns it. The
// answer also tells the index versions of a server without work.
func (h *host) askHealth(l *lane.Lane) {
	if !h.leased(time.Now()) {
		return
	}
	deadline := time.Now().Add(healthTimeout)
	hello, fresh, err := l.Connect(deadline)
	if err != nil {
		return
	}
	claim, ok := l.Health(deadline)
	h.mu.Lock()
	defer h.unlock()
	now := time.Now()
	if fresh {
		h.observeHello(hello, now)
	}
	if ok {
		h.observeBoot(claim.Boot, claim.Maps, now)
		h.claimed(claim.State == bknd.StateDraining, now)
	}
}

// claimed applies what the server claims about itself. The claim that it leaves
// keeps new work away; no claim lets more work through than the server has
// proven to bear.
func (h *host) claimed(draining bool, now time.Time) {
	was := h.draining.Swap(draining)
	switch {
	case draining && !was:
		h.sender.deps.Events.Record("server_draining", string(h.id), "claimed by the server")
		h.refuseWaiting(msgs.Answer{Status: msgs.StatusNotRun})
	case was && !draining:
		h.sender.deps.Events.Record("server_undrained", string(h.id), "no longer claimed by the server")
		h.tracker.RequireBootConfirmation(now)
		h.rebound()
	}
}

// suspect has the health asked at once, because the server refused work.
func (h *host) suspect() {
	select {
	case h.doubt <- struct{}{}:
	default:
	}
}
