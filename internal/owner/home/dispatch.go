package home

import (
	"context"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// dispatch sends an action to the owner of a replica that was not tried yet.
// The action was certainly not run so far; if there is no replica left, last is
// the outcome. While no untried replica has an owner, the action waits.
func (h *Home) dispatch(a *action, v *view.View, last msgs.Answer, now time.Time) {
	left := a.deadline.Sub(now)
	candidate, ok := h.replica(a, v)
	if !ok || left <= 0 || a.count >= maxAttempts {
		h.resolve(a, last)
		return
	}
	server := ident.ServerID(candidate.Server)
	owner, owned := v.Owner(server)
	if !owned {
		h.wait(a, now)
		return
	}
	delete(h.attempts, a.attempt)
	h.lastID++
	a.attempt = queryBit | h.lastID
	a.owner, a.server = owner.Process.VM, server
	a.tried[server] = true
	a.count++
	h.attempts[a.attempt] = a
	q := a.query
	q.ID, q.BudgetMicros = a.attempt, left.Microseconds()
	q.Items = []msgs.Item{{Server: string(server), Shard: candidate.Shard}}
	h.outbox = append(h.outbox, outgoing{to: owner, query: q})
}

// replica chooses an untried candidate of the action's query that is in service,
// if possible one that has an owner.
func (h *Home) replica(a *action, v *view.View) (msgs.Item, bool) {
	document := v.Config.Services[ident.ServiceID(a.query.Service)]
	if document == nil {
		return msgs.Item{}, false
	}
	var orphan msgs.Item
	for _, candidate := range a.query.Items[1:] {
		id := ident.ServerID(candidate.Server)
		if a.tried[id] || !inService(v, document, id) {
			continue
		}
		if _, owned := v.Owner(id); owned {
			return candidate, true
		}
		orphan = candidate
	}
	return orphan, orphan.Server != ""
}

// inService reports whether the document lists the server and it may receive
// work.
func inService(v *view.View, document *svcdoc.Document, id ident.ServerID) bool {
	for i := range document.Servers {
		if server := &document.Servers[i]; server.ID == id {
			return !v.Config.ServerOut(server)
		}
	}
	return false
}

// wait looks for a replica with an owner again after a while.
func (h *Home) wait(a *action, now time.Time) {
	delete(h.attempts, a.attempt)
	a.attempt = 0
	a.retryAt = now.Add(ownerPoll)
}

// moved goes on with an action whose replica has another owner by now. It was
// not sent to the backend server, so the replica does not count as tried.
func (h *Home) moved(a *action, now time.Time) {
	delete(a.tried, a.server)
	a.count--
	h.wait(a, now)
}

// retry dispatches an action that waited.
func (h *Home) retry(a *action, v *view.View, now time.Time) {
	a.retryAt = time.Time{}
	h.dispatch(a, v, msgs.Answer{Status: msgs.StatusNotRun}, now)
}

// HandleReply implements mesh.ReplyHandler.
func (h *Home) HandleReply(from ident.Process, r msgs.Reply) {
	h.mu.Lock()
	defer h.unlock()
	a := h.attempts[r.ID]
	if a == nil || a.owner != from.VM || len(r.Answers) != 1 {
		h.deps.Events.Count("home_reply_unmatched")
		return
	}
	h.outcome(a, r.Answers[0])
}

// HandleLost implements mesh.ReplyHandler.
func (h *Home) HandleLost(_ ident.VMID, q msgs.Query, sent bool) {
	h.mu.Lock()
	defer h.unlock()
	a := h.attempts[q.ID]
	if a == nil {
		return
	}
	status := msgs.StatusNotRun
	if sent {
		status = msgs.StatusLate
	}
	h.outcome(a, msgs.Answer{Status: status})
}

// outcome goes on with an action after an answer to its last attempt. Once the
// waiters were told that the outcome is unknown, only success changes that.
func (h *Home) outcome(a *action, answer msgs.Answer) {
	if a.resolved && answer.Status != msgs.StatusOK {
		return
	}
	switch answer.Status {
	case msgs.StatusNotRun, msgs.StatusWrongVersion:
		h.dispatch(a, h.deps.Views.Load(), answer, time.Now())
	case msgs.StatusWrongOwner:
		h.moved(a, time.Now())
	default:
		h.resolve(a, answer)
	}
}

// resolve ends an action. An action whose outcome is unknown still accepts a
// late answer.
func (h *Home) resolve(a *action, answer msgs.Answer) {
	if answer.Status != msgs.StatusWrongVersion {
		answer.Maps = nil
	}
	answer.Owner = ""
	a.resolved = true
	waiters := h.table.Resolve(a.key, answer)
	h.answer(answer, waiters...)
	switch answer.Status {
	case msgs.StatusOK:
		h.forget(a)
		h.replicateOutcome(a)
	case msgs.StatusNotRun, msgs.StatusWrongVersion, msgs.StatusWrongOwner:
		h.forget(a)
	default:
		h.deps.Events.Record("action_unknown", a.key.ID, "no certain outcome from "+string(a.server))
		delete(h.actions, a.key)
	}
}

// replicateOutcome replicates the outcome of an action, so that a successor can
// give it. If this fails, the successor answers that the outcome is unknown.
func (h *Home) replicateOutcome(a *action) {
	record, ok := h.table.Record(a.key)
	if !ok {
		return
	}
	h.workers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := h.deps.Claims.Replicate(ctx, a.key.Group, a.term, a.key.ID, record); err != nil {
			h.deps.Events.Count("outcome_not_replicated")
		}
	})
}

// tick loads the claims of new leases and gives up overdue actions.
func (h *Home) tick(now time.Time) {
	h.mu.Lock()
	defer h.unlock()
	v := h.deps.Views.Load()
	h.moves.observe(v, now)
	for group, holding := range v.Holdings {
		if holding.Valid(now) {
			h.load(group, holding.Term, now)
		}
	}
	for _, a := range h.actions {
		if !a.retryAt.IsZero() && !now.Before(a.retryAt) {
			h.retry(a, v, now)
		}
		if a.attempt != 0 && now.After(a.deadline.Add(overdueGrace)) {
			h.resolve(a, msgs.Answer{Status: msgs.StatusLate, Server: string(a.server)})
		}
	}
	for id, a := range h.attempts {
		if now.After(a.deadline.Add(lateAnswers)) {
			delete(h.attempts, id)
		}
	}
}
