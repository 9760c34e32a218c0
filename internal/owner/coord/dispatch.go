package coord

import (
	"context"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// dispatch sends an action to the owner of an untried replica. It must only be called if
// the action certainly has not run yet. If no replica or time is left, last is the
// outcome. While no untried replica has an owner, the action is retried later.
func (c *Coordinator) dispatch(a *action, v *view.View, last msgs.Answer, now time.Time) {
	left := a.deadline.Sub(now)
	candidate, ok := c.chooseReplica(a, v)
	if !ok || left <= 0 || a.attemptCount >= maxAttempts {
		c.endAction(a, last)
		return
	}
	server := ident.ServerID(candidate.Server)
	owner, owned := v.Owner(server)
	if !owned {
		c.scheduleRetry(a, now)
		return
	}
	delete(c.attempts, a.attempt)
	c.lastAttempt++
	a.attempt = coordinatorQueryBit | c.lastAttempt
	a.owner, a.server = owner.Process.VM, server
	a.triedServers[server] = true
	a.attemptCount++
	c.attempts[a.attempt] = a
	q := a.query
	q.ID, q.BudgetMicros = a.attempt, left.Microseconds()
	q.Items = []msgs.Item{{Server: string(server), Shard: candidate.Shard}}
	c.outbox = append(c.outbox, outgoing{to: owner, query: q})
}

// chooseReplica returns the first untried candidate of the action's query that is in
// service and has an owner. If none has an owner, it returns one without.
func (c *Coordinator) chooseReplica(a *action, v *view.View) (msgs.Item, bool) {
	document := v.Config.Services[ident.ServiceID(a.query.Service)]
	if document == nil {
		return msgs.Item{}, false
	}
	var orphan msgs.Item
	for _, candidate := range a.query.Items[1:] {
		id := ident.ServerID(candidate.Server)
		if a.triedServers[id] || !listedInService(v, document, id) {
			continue
		}
		if _, owned := v.Owner(id); owned {
			return candidate, true
		}
		orphan = candidate
	}
	return orphan, orphan.Server != ""
}

// listedInService reports whether the document lists the server and the server is not
// taken out of service.
func listedInService(v *view.View, document *svcdoc.Document, id ident.ServerID) bool {
	for i := range document.Servers {
		if server := &document.Servers[i]; server.ID == id {
			return !v.Config.ServerOut(server)
		}
	}
	return false
}

// scheduleRetry dispatches the action again after ownerPollInterval.
func (c *Coordinator) scheduleRetry(a *action, now time.Time) {
	delete(c.attempts, a.attempt)
	a.attempt = 0
	a.retryAt = now.Add(ownerPollInterval)
}

// retryAfterOwnerChange retries an action whose replica now has another owner. The action
// was not sent to the backend server, so the attempt does not count.
func (c *Coordinator) retryAfterOwnerChange(a *action, now time.Time) {
	delete(a.triedServers, a.server)
	a.attemptCount--
	c.scheduleRetry(a, now)
}

// retry dispatches an action that waited for an owner.
func (c *Coordinator) retry(a *action, v *view.View, now time.Time) {
	a.retryAt = time.Time{}
	c.dispatch(a, v, msgs.Answer{Status: msgs.StatusNotRun}, now)
}

// HandleReply implements mesh.ReplyHandler. It ignores a reply that does not come from the
// owner to which the action was last sent.
func (c *Coordinator) HandleReply(from ident.Process, r msgs.Reply) {
	c.mu.Lock()
	defer c.unlockAndSend()
	// The table of claims keeps the answer itself.
	defer msgs.Release(r.Answers)
	a := c.attempts[r.ID]
	if a == nil || a.owner != from.VM || len(r.Answers) != 1 {
		c.deps.Events.Count("home_reply_unmatched")
		return
	}
	answer := r.Answers[0]
	answer.Held = nil
	c.handleAnswer(a, answer)
}

// HandleLost implements mesh.ReplyHandler. The action certainly has not run only if the
// query was not sent.
func (c *Coordinator) HandleLost(_ ident.VMID, q msgs.Query, sent bool) {
	c.mu.Lock()
	defer c.unlockAndSend()
	a := c.attempts[q.ID]
	if a == nil {
		return
	}
	status := msgs.StatusNotRun
	if sent {
		status = msgs.StatusLate
	}
	c.handleAnswer(a, msgs.Answer{Status: status})
}

// handleAnswer handles the answer to an action's last attempt: it tries another replica or
// ends the action. After the waiters were answered that the outcome is unknown, it ignores
// all answers except success.
func (c *Coordinator) handleAnswer(a *action, answer msgs.Answer) {
	if a.answered && answer.Status != msgs.StatusOK {
		return
	}
	switch answer.Status {
	case msgs.StatusNotRun, msgs.StatusWrongVersion:
		c.dispatch(a, c.deps.Views.Load(), answer, time.Now())
	case msgs.StatusWrongOwner:
		c.retryAfterOwnerChange(a, time.Now())
	default:
		c.endAction(a, answer)
	}
}

// endAction records the outcome of an action and answers its waiters. An action whose
// outcome is unknown still accepts a late answer.
func (c *Coordinator) endAction(a *action, answer msgs.Answer) {
	if answer.Status != msgs.StatusWrongVersion {
		answer.Maps = nil
	}
	answer.Owner = ""
	a.answered = true
	waiters := c.table.Resolve(a.key, answer)
	c.answer(answer, waiters...)
	switch answer.Status {
	case msgs.StatusOK:
		c.removeAction(a)
		c.replicateOutcome(a)
	case msgs.StatusNotRun, msgs.StatusWrongVersion, msgs.StatusWrongOwner:
		c.removeAction(a)
	default:
		c.deps.Events.Record("action_unknown", a.key.ID, "no definite answer from "+string(a.server))
		delete(c.actions, a.key)
	}
}

// replicateOutcome replicates the outcome of an action, so that the next lease holder can
// answer with it. If this fails, the next lease holder answers that it is unknown.
func (c *Coordinator) replicateOutcome(a *action) {
	record, ok := c.table.Record(a.key)
	if !ok {
		return
	}
	c.workers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
		defer cancel()
		if err := c.deps.Claims.Replicate(ctx, a.key.Group, a.term, a.key.ID, record); err != nil {
			c.deps.Events.Count("outcome_not_replicated")
		}
	})
}

// tick loads the claims of new leases, retries actions that wait for an owner, ends overdue
// actions and removes attempts that are too old to be answered.
func (c *Coordinator) tick(now time.Time) {
	c.mu.Lock()
	defer c.unlockAndSend()
	v := c.deps.Views.Load()
	c.changes.observe(v, now)
	for group, holding := range v.Holdings {
		if holding.Valid(now) {
			c.loadClaims(group, holding.Term, now)
		}
	}
	for _, a := range c.actions {
		if !a.retryAt.IsZero() && !now.Before(a.retryAt) {
			c.retry(a, v, now)
		}
		if a.attempt != 0 && now.After(a.deadline.Add(overdueGrace)) {
			c.endAction(a, msgs.Answer{Status: msgs.StatusLate, Server: string(a.server)})
		}
	}
	for id, a := range c.attempts {
		if now.After(a.deadline.Add(lateAnswerPeriod)) {
			delete(c.attempts, id)
		}
	}
}
