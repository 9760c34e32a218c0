package sender

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/warmth"
)

// serverCarry is what one owner tells the next about one server.
type serverCarry struct {
	Warmth warmth.Carry `json:"warmth"`
	// Slots is the number of slots in use, the last of them for Left.
	Slots int           `json:"slots"`
	Left  time.Duration `json:"left"`
	Maps  string        `json:"maps"`
}

// groupCarry is what one owner tells the next about a group.
type groupCarry struct {
	Servers map[ident.ServerID]serverCarry `json:"servers"`
}

// groupImport is a carry that has not been applied yet.
type groupImport struct {
	carry groupCarry
	at    time.Time
	// previousUntil is the end of the previous owner's lease, or zero if it
	// released the lease after its last word.
	previousUntil time.Time
}

// Export returns what the next owner of the group should know, or nil if
// nothing is known.
func (s *Sender) Export(group ident.GroupID) []byte {
	now := time.Now()
	carry := groupCarry{Servers: map[ident.ServerID]serverCarry{}}
	for _, h := range s.list() {
		if known, of := h.exportOf(group, now); of {
			carry.Servers[h.id] = known
		}
	}
	s.addRetained(group, &carry)
	if len(carry.Servers) == 0 {
		return nil
	}
	data, err := json.Marshal(carry)
	if err != nil {
		panic(errors.Wrap(err, "sender: encode carry"))
	}
	return data
}

// Import takes over what the previous owner of a group told. It is called
// before the view that holds the group is published. previousUntil is the end
// of the previous owner's lease; it is zero if that owner released the lease
// after it exported the carry, or if there was none. A carry that cannot be
// decoded is dropped, which leaves the group's servers cold.
func (s *Sender) Import(group ident.GroupID, carry []byte, previousUntil time.Time) {
	imported := groupImport{at: time.Now(), previousUntil: previousUntil}
	if len(carry) > 0 {
		if err := json.Unmarshal(carry, &imported.carry); err != nil {
			s.deps.Events.Record("carry_unusable", string(group), err.Error())
			imported.carry = groupCarry{}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.imports[group] = imported
}

// addRetained adds the servers of the group whose hosts have been closed.
func (s *Sender) addRetained(group ident.GroupID, carry *groupCarry) {
	groupOf := s.deps.Views.Load().GroupOf
	s.mu.RLock()
	defer s.mu.RUnlock()
	for id, retained := range s.retained {
		if groupOf[id] == group {
			carry.Servers[id] = retained
		}
	}
}

func (s *Sender) takeImport(group ident.GroupID) (groupImport, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	imported, ok := s.imports[group]
	delete(s.imports, group)
	return imported, ok
}

// importCarry applies a carry to the host. A previous owner that did not
// release its lease may have sent work after its last word, which ends within
// beyond after the lease.
func (h *host) importCarry(imported groupImport, beyond time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.unlock()
	carry, known := imported.carry.Servers[h.id]
	if known {
		h.importKnowledge(carry, now)
	} else {
		h.tracker.Forget(now)
	}
	switch {
	case !imported.previousUntil.IsZero():
		h.queue.Carry(h.server.Limits.Slots, imported.previousUntil.Add(beyond))
	case carry.Slots > 0:
		h.queue.Carry(carry.Slots, imported.at.Add(carry.Left))
	}
	h.rebound()
	h.arm(now)
}

// importKnowledge takes over the warmth and the index maps.
func (h *host) importKnowledge(carry serverCarry, now time.Time) {
	h.tracker.Import(carry.Warmth, now)
	if err := h.maps.observe(carry.Maps); err != nil {
		h.recordBad("carried index maps", err, now)
	}
}

// exportOf returns what the next owner should know if the server belongs to the
// group.
func (h *host) exportOf(group ident.GroupID, now time.Time) (serverCarry, bool) {
	h.mu.Lock()
	defer h.unlock()
	if h.group != group {
		return serverCarry{}, false
	}
	return h.export(now), true
}

// export returns what the next owner should know. The caller holds the mutex.
func (h *host) export(now time.Time) serverCarry {
	h.queue.ExpireSlots(now)
	latest := h.queue.LatestUntil(now)
	for _, r := range h.runners {
		if r.job != nil && r.job.item.Deadline.After(latest) {
			latest = r.job.item.Deadline
		}
	}
	return serverCarry{
		Warmth: h.tracker.Export(), Slots: h.queue.InUse(), Left: latest.Sub(now), Maps: h.maps.text,
	}
}
