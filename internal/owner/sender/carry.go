package sender

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/warmth"
)

// finalAge is the longest time between the export of a final carry and the end
// of the lease. It covers the way to the voters and clocks that differ; leases
// last longer.
const finalAge = 500 * time.Millisecond

// serverCarry is what one owner tells the next about one server.
type serverCarry struct {
	Warmth warmth.Handover `json:"warmth"`
	// Slots is the number of slots in use, the last of them for Left.
	Slots int           `json:"slots"`
	Left  time.Duration `json:"left"`
	Maps  string        `json:"maps"`
}

// groupCarry is what one owner tells the next about a group.
type groupCarry struct {
	// Final is set if the exporter sent nothing after the export, and At is
	// then the time of it. Other carries have no time, so that they stay the
	// same while nothing changes and need not be sent again.
	At      time.Time                      `json:"at,omitzero"`
	Final   bool                           `json:"final,omitempty"`
	Servers map[ident.ServerID]serverCarry `json:"servers"`
}

// groupImport is a carry that has not been applied yet.
type groupImport struct {
	carry groupCarry
	at    time.Time
	// previousUntil is the end of the previous owner's lease, or zero if there
	// was none.
	previousUntil time.Time
}

// final reports whether the carry is the last word of the latest owner. A final
// carry that is much older than the end of the lease is that of an earlier one.
func (g *groupImport) final() bool {
	return g.carry.Final && g.previousUntil.Sub(g.carry.At) < finalAge
}

// Export returns what the next owner of the group should know, or nil if
// nothing is known. Once the published view does not hold the group any more,
// nothing is sent to its servers after Export.
func (s *Sender) Export(group ident.GroupID) []byte {
	carry := s.export(group)
	if len(carry.Servers) == 0 {
		return nil
	}
	data, err := json.Marshal(carry)
	if err != nil {
		panic(errors.Wrap(err, "sender: encode carry"))
	}
	return data
}

func (s *Sender) export(group ident.GroupID) groupCarry {
	if pending, ok := s.pendingImport(group); ok {
		pending.carry.Final = false
		return pending.carry
	}
	_, held := s.deps.Views.Load().Holdings[group]
	if !held {
		s.Refresh()
	}
	now := time.Now()
	carry := groupCarry{Final: !held, Servers: map[ident.ServerID]serverCarry{}}
	if carry.Final {
		carry.At = now
	}
	for _, h := range s.list() {
		if known, of := h.exportOf(group, now); of {
			carry.Servers[h.id] = known
		}
	}
	s.addRetained(group, &carry)
	return carry
}

// Import takes over what the previous owner of a group told. It is called
// before the view that holds the group is published. previousUntil is the end
// of the previous owner's lease, zero if there was none. A carry that cannot be
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

func (s *Sender) pendingImport(group ident.GroupID) (groupImport, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	imported, ok := s.imports[group]
	return imported, ok
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
		h.tracker.RequireBootConfirmation(now)
	}
	switch {
	case known && (imported.previousUntil.IsZero() || imported.final()):
		h.queue.Inherit(carry.Slots, imported.at.Add(carry.Left))
	case !imported.previousUntil.IsZero():
		h.queue.Inherit(h.server.Limits.Slots, imported.previousUntil.Add(beyond))
	}
	h.rebound()
	h.arm(now)
}

// importKnowledge takes over the warmth and the index maps.
func (h *host) importKnowledge(carry serverCarry, now time.Time) {
	if h.run.boot == "" {
		h.run.boot = carry.Warmth.Boot
	}
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
	latest := h.queue.LatestSlotEnd(now)
	for _, r := range h.runners {
		if r.job != nil && r.job.item.Deadline.After(latest) {
			latest = r.job.item.Deadline
		}
	}
	return serverCarry{
		Warmth: h.tracker.Export(), Slots: h.queue.InUse(), Left: latest.Sub(now) + slotGrace, Maps: h.maps.text,
	}
}
