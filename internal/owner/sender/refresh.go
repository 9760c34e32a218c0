package sender

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// Refresh applies the current view and leases. Run calls it regularly; calling it
// after a view was published makes the view take effect at once.
func (s *Sender) Refresh() {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	v := s.deps.Views.Load()
	now := time.Now()
	owned := coll.NewSet[ident.ServerID]()
	for id, lease := range v.Holdings {
		s.applyLease(v, id, lease, owned, now)
	}
	for _, e := range s.listEndpoints() {
		if !owned.Has(e.id) {
			s.dropLease(v, e)
		}
		e.refuseWithoutLease(v, now)
	}
}

// applyLease creates or updates the endpoints of one holding, and adds its servers
// to owned.
func (s *Sender) applyLease(v *view.View, id ident.GroupID, lease *view.Holding, owned coll.Set[ident.ServerID], now time.Time) {
	servers := lease.Group.Servers
	if group, known := v.Groups[id]; known {
		servers = group.Servers
	}
	imported, hasImport := s.popImport(id)
	for _, server := range servers {
		e := s.endpointFor(id, server, now)
		if e == nil {
			continue
		}
		owned.Add(server.ID)
		if hasImport {
			e.importHandover(imported, s.opts.LeaseGrace, now)
		}
		e.applyLease(lease, server, v.Config.ServerOut(&server), hasImport, now)
	}
}

// endpointFor returns the endpoint of a server and creates it if needed. It
// returns nil after close, and while an endpoint for another address of the server
// still has work.
func (s *Sender) endpointFor(group ident.GroupID, server svcdoc.Server, now time.Time) *endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.endpoints[server.ID]; e != nil {
		if e.address == server.Address {
			return e
		}
		return nil
	}
	if s.closed {
		return nil
	}
	e := newEndpoint(s, group, server, now)
	if handover, ok := s.retained[server.ID]; ok {
		e.importServer(handover, now)
		delete(s.retained, server.ID)
	}
	s.endpoints[server.ID] = e
	return e
}

// dropLease stops work for a server that this VM does not own. The endpoint is
// removed once no request is left at the server; its state is retained.
func (s *Sender) dropLease(v *view.View, e *endpoint) {
	e.dropLease(v)
	handover, idle := e.closeIfIdle(time.Now())
	if !idle {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.endpoints, e.id)
	s.retained[e.id] = handover
	for id := range s.retained {
		if _, known := v.GroupOf[id]; !known {
			delete(s.retained, id)
		}
	}
}

func (s *Sender) listEndpoints() []*endpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	endpoints := make([]*endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// applyLease applies the current lease and configuration to the endpoint.
// imported is set if the previous owner's state has just been imported.
func (e *endpoint) applyLease(lease *view.Holding, server svcdoc.Server, outOfService, imported bool, now time.Time) {
	e.mu.Lock()
	defer e.unlock()
	if e.term != 0 && e.term != lease.Term && !imported {
		e.tracker.RequireBootConfirmation(now)
	}
	acquired := e.term != lease.Term
	if acquired {
		e.pausedUntil = time.Time{}
	}
	e.term, e.group = lease.Term, lease.Group.ID
	e.lease.Store(lease)
	if e.server.Limits != server.Limits {
		e.tracker.SetLimits(server.Limits, now)
	}
	e.server = server
	e.setOutOfService(outOfService, now)
	e.updateLimit()
	e.dispatch(now)
	e.startMonitor()
	if acquired && len(e.workers) == 0 || e.queue.AwaitsResponse(now) && !e.backoff.active(now) {
		e.startHandshake()
	}
}

// setOutOfService takes the server out of service or puts it back.
func (e *endpoint) setOutOfService(outOfService bool, now time.Time) {
	was := e.outOfService.Swap(outOfService)
	switch {
	case outOfService && !was:
		e.sender.deps.Events.Record("server_out", string(e.id), "taken out by operators")
		e.refuseWaiting(msgs.Answer{Status: msgs.StatusNotRun})
	case was && !outOfService:
		e.sender.deps.Events.Record("server_back", string(e.id), "put back by operators")
		e.tracker.RequireBootConfirmation(now)
	}
}

// dropLease removes the lease and refuses all waiting jobs.
func (e *endpoint) dropLease(v *view.View) {
	e.mu.Lock()
	defer e.unlock()
	e.lease.Store(nil)
	// The server is asked nothing without a lease, so that time alone ends the slots.
	now := time.Now()
	e.queue.ServerResponded(now, now)
	e.refuseWaiting(msgs.Answer{
		Status: msgs.StatusWrongOwner, Owner: e.sender.otherOwner(v, e.id),
	})
}

// refuseWithoutLease refuses all waiting jobs if the lease has ended.
func (e *endpoint) refuseWithoutLease(v *view.View, now time.Time) {
	if e.leased(now) {
		return
	}
	e.mu.Lock()
	defer e.unlock()
	e.refuseWaiting(msgs.Answer{
		Status: msgs.StatusWrongOwner, Owner: e.sender.otherOwner(v, e.id),
	})
}

// closeIfIdle closes the endpoint if no job waits and no request can be at the
// server any more. It returns the state to hand over, and whether it closed.
func (e *endpoint) closeIfIdle(now time.Time) (serverHandover, bool) {
	e.mu.Lock()
	defer e.unlock()
	e.queue.ExpireSlots(now)
	if e.queue.InUse() > 0 || e.queue.Waiting() > 0 {
		return serverHandover{}, false
	}
	handover := e.export(now)
	e.closeIdle()
	return handover, true
}

// close refuses all waiting jobs and closes the endpoint. Requests at the server
// are still answered.
func (e *endpoint) close() {
	e.mu.Lock()
	defer e.unlock()
	e.refuseWaiting(msgs.Answer{Status: msgs.StatusNotRun})
	e.closeIdle()
}

// closeIdle closes the idle connections and ends the monitor. The other
// connections are closed as they become idle.
func (e *endpoint) closeIdle() {
	if e.closed {
		return
	}
	e.closed = true
	for _, w := range e.idleWorkers {
		close(w.jobs)
	}
	e.idleWorkers = nil
	close(e.cancels)
	if e.timer != nil {
		e.timer.Stop()
	}
}
