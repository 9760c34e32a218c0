package tier

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/accept"
	"github.com/samphirestair/samphirestair/internal/core/guard"
)

const (
	// maxListConnections and maxProbeConnections bound the connections of callers that ask
	// for the address list, and of the platform's readiness probes.
	maxListConnections  = 512
	maxProbeConnections = 64
)

// Names of the listeners.
const (
	callersPort, directoryPort, readyPort, peersPort, adminPort = "callers", "directory", "ready", "peers", "admin"
)

// listeners are the listeners of a running process.
type listeners struct {
	callers, directory, ready, peers, admin *accept.Listener
}

// listen opens all listeners, or none if one fails.
func (t *Tier) listen() (*listeners, error) {
	l := &listeners{}
	for _, port := range []struct {
		name     string
		listener **accept.Listener
		address  string
		options  accept.Options
	}{
		{callersPort, &l.callers, t.settings.Listen.Callers, guard.Callers()},
		{directoryPort, &l.directory, t.settings.Listen.Directory, guard.AtMost(maxListConnections)},
		{readyPort, &l.ready, t.settings.Listen.Ready, guard.AtMost(maxProbeConnections)},
		{peersPort, &l.peers, t.settings.Listen.Peers, guard.Peers()},
		{adminPort, &l.admin, t.settings.Listen.Admin, guard.Operators()},
	} {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			return nil, errors.CombineErrors(errors.Wrapf(err, "tier: listen on %s", port.address), l.close())
		}
		*port.listener = t.memory.Bound(listener, port.name, port.options)
	}
	return l, nil
}

// all returns the open listeners by name.
func (l *listeners) all() map[string]*accept.Listener {
	open := map[string]*accept.Listener{}
	for name, listener := range map[string]*accept.Listener{
		callersPort: l.callers, directoryPort: l.directory, readyPort: l.ready, peersPort: l.peers, adminPort: l.admin,
	} {
		if listener != nil {
			open[name] = listener
		}
	}
	return open
}

func (l *listeners) close() error {
	var err error
	for _, listener := range l.all() {
		err = errors.CombineErrors(err, listener.Close())
	}
	return err
}

// stats returns the numbers of connections by listener.
func (l *listeners) stats() map[string]accept.Stats {
	stats := map[string]accept.Stats{}
	for name, listener := range l.all() {
		stats[name] = listener.Stats()
	}
	return stats
}

// isAccepting reports whether callers can open connections to this VM.
func (t *Tier) isAccepting() bool {
	ports := t.ports.Load()
	return ports != nil && !ports.callers.Failing(time.Now())
}

// closeIdleCallers closes the connections of callers that have been idle for longer than the
// configuration allows.
func (t *Tier) closeIdleCallers(now time.Time) {
	table := t.follower.View().Table
	if table == nil {
		return
	}
	if limit := table.Config().Limits.IdleTimeout; limit > 0 {
		t.ports.Load().callers.CloseIdle(now.Add(-limit))
	}
}
