package tier

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/accept"
	"github.com/samphirestair/samphirestair/internal/core/guard"
)

const (
	// reservedDescriptors is the number of descriptors that are left to files, and
	// ownDescriptors the number that is left to the connections to backend servers, other VMs
	// and the store. Callers get at least half of the others.
	reservedDescriptors = 200
	ownDescriptors      = 1000
	// maxListConnections and maxProbeConnections bound the connections of callers that ask
	// for the address list, and of the platform's readiness probes.
	maxListConnections  = 512
	maxProbeConnections = 64
	// maxAdminConnections bounds the connections of operators and metrics collectors.
	maxAdminConnections = 128
	// peerStall is the time within which another VM has to take some of a response. It exceeds
	// the time for which VMs are frozen.
	peerStall = 10 * time.Second
	// defaultDescriptors is the limit of descriptors if the system doesn't tell it.
	defaultDescriptors = 1024
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
	fixed := func(limit int) func() int { return func() int { return limit } }
	for _, port := range []struct {
		name     string
		listener **accept.Listener
		address  string
		options  accept.Options
	}{
		{callersPort, &l.callers, t.settings.Listen.Callers, accept.Options{Limit: maxCallers}},
		{directoryPort, &l.directory, t.settings.Listen.Directory, accept.Options{Limit: fixed(maxListConnections)}},
		{readyPort, &l.ready, t.settings.Listen.Ready, accept.Options{Limit: fixed(maxProbeConnections)}},
		{peersPort, &l.peers, t.settings.Listen.Peers, accept.Options{Limit: maxPeers, Pinned: true, WriteStall: peerStall}},
		{adminPort, &l.admin, t.settings.Listen.Admin, accept.Options{Limit: fixed(maxAdminConnections)}},
	} {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			return nil, errors.CombineErrors(errors.Wrapf(err, "tier: listen on %s", port.address), l.close())
		}
		port.options.Failed = func(err error) { t.events.Sample("accept_failed", port.name, err.Error()) }
		port.options.Budget = t.memory
		port.options.Closed = func() { t.reporters[port.name].Closed(guard.HoldsMost) }
		// net.Listen returns this type for all TCP addresses.
		*port.listener = accept.NewListener(listener.(*net.TCPListener), port.options)
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

// descriptors returns the number of descriptors that the process may use for connections.
func descriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		limit.Cur = defaultDescriptors
	}
	return int(min(limit.Cur, 1<<30)) - reservedDescriptors
}

// maxPeers returns the maximum number of connections of other VMs. The rest is left to the
// process's own connections, whoever connects to the port.
func maxPeers() int {
	return max(descriptors()/2, 1)
}

// maxCallers returns the maximum number of connections of callers.
func maxCallers() int {
	usable := descriptors()
	return max(usable-ownDescriptors, usable/2, 1)
}
