package home

import (
	"context"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// dispatch sends an action to the owner of a replica that was not tried yet.
// The action was certainly not run so far; if there is no replica left, last is
// the outcome.
func (h *Home) dispatch(a *action, v *view.View, last msgs.Answer, now time.Time) {
	server, owner, ok := h.replica(a, v)
	left := a.deadline.Sub(now)
	if !ok || left <= 0 || a.count >= maxAttempts {
		h.resolve(a, last)
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
	q.Items = []msgs.Item{{Server: string(server), Shard: a.query.Items[0].Shard}}
	h.outbox = append(h.outbox, outgoing{to: owner, query: q})
}

// replica chooses a replica of the action's shard that can receive work.
func (h *Home) replica(a *action, v *view.View) (ident.ServerID, view.Member, bool) {
	document := v.Config.Services[ident.ServiceID(a.query.Service)]
	if document == nil {
		return "", view.Member{}, false
	}
	for i := range document.Servers {
		server := &document.Servers[i]
		if server.Shard != ident.Shard(a.query.Items[0].Shard) || a.tried[server.ID] || v.Config.ServerOut(server) {
			continue
		}
		if owner, ok := v.Owner(server.ID); ok {
			return server.ID, owner, true
		}
	}
	return "", view.Member{}, false
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
		h.dispatch(a, h.deps.Views.Load(), msgs.Answer{Status: msgs.StatusNotRun}, time.Now())
	default:
		h.resolve(a, answer)
	}
}

// resolve ends an action. An action whose outcome is unknown still accepts a
// late answer.
func (h *Home) resolve(a *action, answer msgs.Answer) {
	answer.Maps = nil
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
