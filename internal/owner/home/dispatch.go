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

// replica chooses an untried candidate of the action's query that is in service,
// if possible one that has an owner.
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

// inService reports whether the document lists the server and it may receive
// work.
func listedInService(v *view.View, document *svcdoc.Document, id ident.ServerID) bool {
	for i := range document.Servers {
		if server := &document.Servers[i]; server.ID == id {
			return !v.Config.ServerOut(server)
		}
	}
	return false
}

// wait looks for a replica with an owner again after a while.
func (c *Coordinator) scheduleRetry(a *action, now time.Time) {
	delete(c.attempts, a.attempt)
	a.attempt = 0
	a.retryAt = now.Add(ownerPollInterval)
}

// moved goes on with an action whose replica has another owner by now. It was
// not sent to the backend server, so the replica does not count as tried.
func (c *Coordinator) retryAfterOwnerChange(a *action, now time.Time) {
	delete(a.triedServers, a.server)
	a.attemptCount--
	c.scheduleRetry(a, now)
}

// retry dispatches an action that waited.
func (c *Coordinator) retry(a *action, v *view.View, now time.Time) {
	a.retryAt = time.Time{}
	c.dispatch(a, v, msgs.Answer{Status: msgs.StatusNotRun}, now)
}

// HandleReply implements mesh.ReplyHandler.
func (c *Coordinator) HandleReply(from ident.Process, r msgs.Reply) {
	c.mu.Lock()
	defer c.unlockAndSend()
	a := c.attempts[r.ID]
	if a == nil || a.owner != from.VM || len(r.Answers) != 1 {
		c.deps.Events.Count("home_reply_unmatched")
		return
	}
	c.handleAnswer(a, r.Answers[0])
}

// HandleLost implements mesh.ReplyHandler.
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

// outcome goes on with an action after an answer to its last attempt. Once the
// waiters were told that the outcome is unknown, only success changes that.
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

// resolve ends an action. An action whose outcome is unknown still accepts a
// late answer.
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
		c.deps.Events.Record("action_unknown", a.key.ID, "no certain outcome from "+string(a.server))
		delete(c.actions, a.key)
	}
}

// replicateOutcome replicates the outcome of an action, so that a successor can
// give it. If this fails, the successor answers that the outcome is unknown.
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

// tick loads the claims of new leases and gives up overdue actions.
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
