package sender

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// Refresh applies the present view and leases. Run calls it regularly; calling
// it after a view was published makes the view take effect at once.
func (s *Sender) Refresh() {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	v := s.deps.Views.Load()
	now := time.Now()
	owned := coll.NewSet[ident.ServerID]()
	for id, holding := range v.Holdings {
		s.own(v, id, holding, owned, now)
	}
	for _, h := range s.list() {
		if !owned.Has(h.id) {
			s.disown(v, h)
		}
		h.checkLease(v, now)
	}
}

// own makes the hosts of one holding, and adds its servers to owned.
func (s *Sender) own(v *view.View, id ident.GroupID, holding *view.Holding, owned coll.Set[ident.ServerID], now time.Time) {
	servers := holding.Group.Servers
	if group, known := v.Groups[id]; known {
		servers = group.Servers
	}
	imported, fresh := s.takeImport(id)
	for _, server := range servers {
		h := s.ensure(id, server, now)
		if h == nil {
			continue
		}
		owned.Add(server.ID)
		if fresh {
			h.importCarry(imported, s.opts.LeaseGrace, now)
		}
		h.own(holding, server, v.Config.ServerOut(&server), fresh, now)
	}
}

// ensure returns the host of a server and makes it if needed. It returns nil
// while a host for another address of the server still has work.
func (s *Sender) ensure(group ident.GroupID, server svcdoc.Server, now time.Time) *host {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[server.ID]; h != nil {
		if h.address == server.Address {
			return h
		}
		return nil
	}
	if s.closed {
		return nil
	}
	h := newHost(s, group, server, now)
	if carry, ok := s.retained[server.ID]; ok {
		h.importKnowledge(carry, now)
		delete(s.retained, server.ID)
	}
	s.hosts[server.ID] = h
	return h
}

// disown takes a server that this VM does not own from service. Its host goes
// once its work has ended.
func (s *Sender) disown(v *view.View, h *host) {
	h.disown(v)
	carry, idle := h.closeIfIdle(time.Now())
	if !idle {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hosts, h.id)
	s.retained[h.id] = carry
	for id := range s.retained {
		if _, known := v.GroupOf[id]; !known {
			delete(s.retained, id)
		}
	}
}

func (s *Sender) list() []*host {
	s.mu.RLock()
	defer s.mu.RUnlock()
	hosts := make([]*host, 0, len(s.hosts))
	for _, h := range s.hosts {
		hosts = append(hosts, h)
	}
	return hosts
}

// own applies the present holding and document to the host. imported says that
// the previous owner's knowledge has just been taken over.
func (h *host) own(holding *view.Holding, server svcdoc.Server, out, imported bool, now time.Time) {
	h.mu.Lock()
	defer h.unlock()
	if h.term != 0 && h.term != holding.Term && !imported {
		h.tracker.RequireBootConfirmation(now)
	}
	acquired := h.term != holding.Term
	if acquired {
		h.pausedUntil = time.Time{}
	}
	h.term, h.group = holding.Term, holding.Group.ID
	h.holding.Store(holding)
	if h.server.Limits != server.Limits {
		h.tracker.SetLimits(server.Limits, now)
	}
	h.server = server
	h.applyOut(out, now)
	h.rebound()
	h.advance(now)
	h.watch()
	if acquired && len(h.runners) == 0 || h.queue.AwaitsResponse() && !h.down.active(now) {
		h.probe()
	}
}

// applyOut takes the server out of service or back in.
func (h *host) applyOut(out bool, now time.Time) {
	was := h.out.Swap(out)
	switch {
	case out && !was:
		h.sender.deps.Events.Record("server_out", string(h.id), "taken out by operators")
		h.refuseWaiting(msgs.Answer{Status: msgs.StatusNotRun})
	case was && !out:
		h.sender.deps.Events.Record("server_back", string(h.id), "put back by operators")
		h.tracker.RequireBootConfirmation(now)
	}
}

// disown refuses all waiting jobs and sends no more.
func (h *host) disown(v *view.View) {
	h.mu.Lock()
	defer h.unlock()
	h.holding.Store(nil)
	h.queue.ServerResponded(time.Now())
	h.refuseWaiting(msgs.Answer{
		Status: msgs.StatusWrongOwner, Owner: h.sender.believedOwner(v, h.id),
	})
}

// checkLease refuses waiting jobs if the lease has ended.
func (h *host) checkLease(v *view.View, now time.Time) {
	if h.leased(now) {
		return
	}
	h.mu.Lock()
	defer h.unlock()
	h.refuseWaiting(msgs.Answer{
		Status: msgs.StatusWrongOwner, Owner: h.sender.believedOwner(v, h.id),
	})
}

// closeIfIdle closes the host if no work of it can be at the server any more,
// and returns what the next owner should know.
func (h *host) closeIfIdle(now time.Time) (serverCarry, bool) {
	h.mu.Lock()
	defer h.unlock()
	h.queue.ExpireSlots(now)
	if h.queue.InUse() > 0 || h.queue.Waiting() > 0 {
		return serverCarry{}, false
	}
	carry := h.export(now)
	h.shut()
	return carry, true
}

// close closes the host. Work at the server is still answered.
func (h *host) close() {
	h.mu.Lock()
	defer h.unlock()
	h.refuseWaiting(msgs.Answer{Status: msgs.StatusNotRun})
	h.shut()
}

// shut closes all idle connections, and the others as they become idle.
func (h *host) shut() {
	if h.closed {
		return
	}
	h.closed = true
	for _, r := range h.idle {
		close(r.jobs)
	}
	h.idle = nil
	close(h.cancels)
	if h.timer != nil {
		h.timer.Stop()
	}
}
