package sender

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/warmth"
)

// maxFinalAge is the longest time between the export of a final handover and the
// end of the lease. It allows for the delay of the message to the voters and for
// clock skew, and is shorter than a lease.
const maxFinalAge = 500 * time.Millisecond

// serverHandover is the state of one server that its owner hands over to the
// next.
type serverHandover struct {
	Warmth warmth.Handover `json:"warmth"`
	// Slots is the number of slots in use. They may stay in use for BusyFor.
	Slots   int           `json:"slots"`
	BusyFor time.Duration `json:"left"`
	// Maps is the text of bknd.HeaderMaps.
	Maps string `json:"maps"`
}

// groupHandover is the state of a group that its owner hands over to the next.
type groupHandover struct {
	// Final is set if the exporter sent nothing to the servers after the export,
	// and At is then the time of the export. Other handovers have no time, so
	// that they stay equal while nothing changes and need not be sent again.
	At      time.Time                         `json:"at,omitzero"`
	Final   bool                              `json:"final,omitempty"`
	Servers map[ident.ServerID]serverHandover `json:"servers"`
}

// groupImport is a handover that has not been applied yet.
type groupImport struct {
	handover   groupHandover
	importedAt time.Time
	// previousLeaseEnd is the end of the previous owner's lease, or zero if there
	// is none to wait for.
	previousLeaseEnd time.Time
}

// isFinal reports whether the previous owner sent nothing after it exported the
// handover. A final handover that is much older than the end of the previous
// owner's lease comes from an owner before that.
func (g *groupImport) isFinal() bool {
	return g.handover.Final && g.previousLeaseEnd.Sub(g.handover.At) < maxFinalAge
}

// Export returns the encoded state of a group for its next owner, or nil if there
// is none. If the published view no longer has a holding of the group, nothing is
// sent to the group's servers after Export returns.
func (s *Sender) Export(group ident.GroupID) []byte {
	handover := s.export(group)
	if len(handover.Servers) == 0 {
		return nil
	}
	data, err := json.Marshal(handover)
	if err != nil {
		panic(errors.Wrap(err, "sender: encode handover"))
	}
	return data
}

func (s *Sender) export(group ident.GroupID) groupHandover {
	if pending, ok := s.getImport(group); ok {
		pending.handover.Final = false
		return pending.handover
	}
	_, held := s.deps.Views.Load().Holdings[group]
	if !held {
		s.Refresh()
	}
	now := time.Now()
	handover := groupHandover{Final: !held, Servers: map[ident.ServerID]serverHandover{}}
	if handover.Final {
		handover.At = now
	}
	for _, e := range s.listEndpoints() {
		if server, inGroup := e.exportIfInGroup(group, now); inGroup {
			handover.Servers[e.id] = server
		}
	}
	s.addRetained(group, &handover)
	return handover
}

// Import stores the state that the previous owner of a group exported, until the
// next Refresh applies it. It must be called before the view with the new holding
// is published. previousLeaseEnd is the end of the previous owner's lease, zero if
// there is none to wait for. A handover that cannot be decoded is dropped, which
// leaves the group's servers cold.
func (s *Sender) Import(group ident.GroupID, handover []byte, previousLeaseEnd time.Time) {
	imported := groupImport{importedAt: time.Now(), previousLeaseEnd: previousLeaseEnd}
	if len(handover) > 0 {
		if err := json.Unmarshal(handover, &imported.handover); err != nil {
			s.deps.Events.Record("carry_unusable", string(group), err.Error())
			imported.handover = groupHandover{}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.imports[group] = imported
}

// addRetained adds the servers of the group whose endpoints have been closed.
func (s *Sender) addRetained(group ident.GroupID, handover *groupHandover) {
	groupOf := s.deps.Views.Load().GroupOf
	s.mu.RLock()
	defer s.mu.RUnlock()
	for id, retained := range s.retained {
		if groupOf[id] == group {
			handover.Servers[id] = retained
		}
	}
}

func (s *Sender) getImport(group ident.GroupID) (groupImport, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	imported, ok := s.imports[group]
	return imported, ok
}

func (s *Sender) popImport(group ident.GroupID) (groupImport, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	imported, ok := s.imports[group]
	delete(s.imports, group)
	return imported, ok
}

// importHandover applies a handover to the endpoint. If the handover is not final
// and the previous owner did not release its lease, that owner may have filled all
// slots since. Their requests end at most leaseGrace after its lease.
func (e *endpoint) importHandover(imported groupImport, leaseGrace time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.unlock()
	handover, known := imported.handover.Servers[e.id]
	if known {
		e.importServer(handover, now)
	} else {
		e.tracker.RequireBootConfirmation(now)
	}
	switch {
	case known && (imported.previousLeaseEnd.IsZero() || imported.isFinal()):
		e.queue.Inherit(handover.Slots, imported.importedAt.Add(handover.BusyFor))
	case !imported.previousLeaseEnd.IsZero():
		e.queue.Inherit(e.server.Limits.Slots, imported.previousLeaseEnd.Add(leaseGrace))
	}
	e.updateLimit()
	e.scheduleTimer(now)
}

// importServer applies the warmth and the index maps of a handover.
func (e *endpoint) importServer(handover serverHandover, now time.Time) {
	if e.generation.boot == "" {
		e.generation.boot = handover.Warmth.Boot
	}
	e.tracker.Import(handover.Warmth, now)
	if err := e.maps.observe(handover.Maps); err != nil {
		e.recordBadAnswer("index maps from the previous owner", err, now)
	}
}

// exportIfInGroup returns the state to hand over, and false if the server does not
// belong to the group.
func (e *endpoint) exportIfInGroup(group ident.GroupID, now time.Time) (serverHandover, bool) {
	e.mu.Lock()
	defer e.unlock()
	if e.group != group {
		return serverHandover{}, false
	}
	return e.export(now), true
}

// export returns the state to hand over. The mutex must be held.
func (e *endpoint) export(now time.Time) serverHandover {
	e.queue.ExpireSlots(now)
	latest := e.queue.LatestSlotEnd(now)
	for _, w := range e.workers {
		if w.job != nil && w.job.item.Deadline.After(latest) {
			latest = w.job.item.Deadline
		}
	}
	return serverHandover{
		Warmth: e.tracker.Export(), Slots: e.queue.InUse(), BusyFor: latest.Sub(now) + slotGrace, Maps: e.maps.text,
	}
}
