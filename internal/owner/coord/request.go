package coord

import (
	"context"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/claim"
)

// action is an action that has no outcome yet, or whose outcome is being
// replicated.
type action struct {
	key      claim.Key
	query    msgs.Query
	term     uint64
	deadline time.Time
	// attempt is the id of the last query sent, or 0. owner and server are the VM that
	// received it and the replica that it named.
	attempt      uint64
	owner        ident.VMID
	server       ident.ServerID
	triedServers map[ident.ServerID]bool
	attemptCount int
	// retryAt is the time of the next dispatch, set while no untried replica has an owner.
	retryAt time.Time
	// answered is set once the waiters have been answered.
	answered bool
}

// HandleQuery implements mesh.QueryHandler. The first item of a query for a coordinator
// names the action's shard and no server. The other items name the replicas that may run
// the action, in order of preference. Other queries are passed to the next handler.
func (c *Coordinator) HandleQuery(from ident.Process, q msgs.Query) {
	if q.Kind != msgs.KindAction || len(q.Items) == 0 || q.Items[0].Server != "" {
		c.deps.Next.HandleQuery(from, q)
		return
	}
	w := claim.Waiter{From: from, Query: q.ID, Seq: q.Items[0].Seq}
	now := time.Now()
	c.mu.Lock()
	defer c.unlockAndSend()
	c.handleAction(w, q, now)
}

// HandleCancel implements mesh.QueryHandler. It does not cancel a claimed action, because
// other requests may wait for its outcome.
func (c *Coordinator) HandleCancel(from ident.Process, cancel msgs.Cancel) {
	c.deps.Next.HandleCancel(from, cancel)
}

// handleAction starts an action, adds a waiter to it or answers with its outcome. The mutex
// must be held.
func (c *Coordinator) handleAction(w claim.Waiter, q msgs.Query, now time.Time) {
	v := c.deps.Views.Load()
	c.changes.observe(v, now)
	shard := ident.Shard(q.Items[0].Shard)
	group, known := coordinatorGroup(v, ident.ServiceID(q.Service), shard)
	issued, err := claim.IssuedAt(q.Key)
	if !known || err != nil {
		c.answer(msgs.Answer{Status: msgs.StatusNotRun}, w)
		return
	}
	holding := v.Holdings[group]
	if holding == nil || !holding.Valid(now) {
		c.answer(msgs.Answer{Status: msgs.StatusWrongOwner, Owner: c.believedOwner(v, group)}, w)
		return
	}
	c.loadClaims(group, holding.Term, now)
	key := claim.Key{Group: group, ID: q.Key}
	decision, answer := c.table.Begin(claim.Request{
		Key: key, Issued: issued, Digest: claim.Digest(q.Service, q.Action, q.Body), Waiter: w,
		Term:                holding.Term,
		ClaimsCompleteSince: later(c.deps.Claims.ClaimsCompleteSince(group), c.changes.lastChange(ident.ServiceID(q.Service), shard)),
	}, now)
	switch decision {
	case claim.Answer:
		c.answer(answer, w)
	case claim.Replicate:
		c.replicate(key, q, holding.Term, now)
	case claim.Wait:
	}
}

// loadClaims loads the claims of a group that were granted with a new lease, once for each
// term. Actions whose claims were not replicated under the earlier lease become unknown.
func (c *Coordinator) loadClaims(group ident.GroupID, term uint64, now time.Time) {
	if c.table.HasClaims(group, term) {
		return
	}
	waiters := c.table.LoadClaims(group, term, c.deps.Claims.Claims(group), now)
	c.answer(msgs.Answer{Status: msgs.StatusLate}, waiters...)
}

// replicate starts to replicate the claim of a new action, which is dispatched afterwards.
func (c *Coordinator) replicate(key claim.Key, q msgs.Query, term uint64, now time.Time) {
	a := &action{
		key: key, query: q, term: term, triedServers: map[ident.ServerID]bool{},
		deadline: now.Add(min(time.Duration(q.BudgetMicros)*time.Microsecond, maxTimeLeft)),
	}
	c.actions[key] = a
	record, _ := c.table.Record(key)
	c.workers.Go(func() {
		ctx, cancel := context.WithDeadline(context.Background(), a.deadline)
		defer cancel()
		err := c.deps.Claims.Replicate(ctx, key.Group, term, key.ID, record)
		c.claimReplicated(a, err)
	})
}

// claimReplicated dispatches an action after its claim was replicated. If err is set or the
// lease has been lost, it answers the waiters instead.
func (c *Coordinator) claimReplicated(a *action, err error) {
	c.mu.Lock()
	defer c.unlockAndSend()
	now := time.Now()
	v := c.deps.Views.Load()
	holding := v.Holdings[a.key.Group]
	leased := holding != nil && holding.Term == a.term && holding.Valid(now)
	if err != nil {
		c.deps.Events.Record("claim_not_replicated", a.key.ID, err.Error())
	}
	dispatch, answer, waiters := c.table.ClaimReplicated(a.key, a.term, err == nil, leased)
	if !dispatch {
		c.removeAction(a)
		answer.Owner = c.believedOwner(v, a.key.Group)
		c.answer(answer, waiters...)
		return
	}
	c.dispatch(a, v, msgs.Answer{Status: msgs.StatusNotRun}, now)
}

// removeAction removes an action and its attempt, but not its entry in the table. A later
// action with the same key is kept.
func (c *Coordinator) removeAction(a *action) {
	delete(c.attempts, a.attempt)
	if c.actions[a.key] == a {
		delete(c.actions, a.key)
	}
}

// believedOwner returns the VM that owns the group according to the view, or "" if there is
// none or it is this VM.
func (c *Coordinator) believedOwner(v *view.View, group ident.GroupID) string {
	if vm := v.Owners[group]; vm != c.deps.Self.VM {
		return string(vm)
	}
	return ""
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
