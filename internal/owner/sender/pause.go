package sender

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Pause keeps new work from the servers of a group until the given time, so
// that what runs there can end before the group is handed over. Work that
// arrives meanwhile waits. It reports whether nothing runs there any more.
func (s *Sender) Pause(group ident.GroupID, until time.Time) bool {
	idle := true
	for _, h := range s.list() {
		if !h.pause(group, until) {
			idle = false
		}
	}
	return idle
}

// pause pauses the host if it belongs to the group, and reports whether nothing
// of the group runs.
func (h *host) pause(group ident.GroupID, until time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.group != group {
		return true
	}
	if until.After(h.pausedUntil) {
		h.pausedUntil = until
		time.AfterFunc(time.Until(until), h.tick)
	}
	return h.queue.InUse() == 0
}

// paused reports whether no new work may start.
func (h *host) paused(now time.Time) bool {
	return now.Before(h.pausedUntil)
}
