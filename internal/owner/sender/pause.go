package sender

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Pause starts no new work at the servers of a group until the given time, so that
// running requests can end before the group is handed over. Work that arrives in
// the meantime waits. It reports whether no request runs at the servers.
func (s *Sender) Pause(group ident.GroupID, until time.Time) bool {
	idle := true
	for _, e := range s.listEndpoints() {
		if !e.pause(group, until) {
			idle = false
		}
	}
	return idle
}

// pause pauses the endpoint if it belongs to the group. It returns false if the
// endpoint belongs to the group and has slots in use.
func (e *endpoint) pause(group ident.GroupID, until time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.group != group {
		return true
	}
	if until.After(e.pausedUntil) {
		e.pausedUntil = until
		time.AfterFunc(time.Until(until), e.onTimer)
	}
	return e.queue.InUse() == 0
}

// paused reports whether new work has to wait for a handover.
func (e *endpoint) paused(now time.Time) bool {
	return now.Before(e.pausedUntil)
}
