package home

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
	// attempt is the id of the last query sent, and owner and server are where
	// it went.
	attempt uint64
	owner   ident.VMID
	server  ident.ServerID
	tried   map[ident.ServerID]bool
	count   int
	// retryAt is set while no replica that may be tried has an owner.
	retryAt time.Time
	// resolved is set once the waiters were answered.
	resolved bool
}

// HandleQuery implements mesh.QueryHandler. The first item of a query for a home
// names the home's shard and no server; the others name the replicas to run the
// action at, in order of preference. Other queries go to the next handler.
func (h *Home) HandleQuery(from ident.Process, q msgs.Query) {
	if q.Kind != msgs.KindAction || len(q.Items) == 0 || q.Items[0].Server != "" {
		h.deps.Next.HandleQuery(from, q)
		return
	}
	w := claim.Waiter{From: from, Query: q.ID, Seq: q.Items[0].Seq}
	now := time.Now()
	h.mu.Lock()
	defer h.unlock()
	h.ask(w, q, now)
}

// HandleCancel implements mesh.QueryHandler. An action that has been claimed is
// not withdrawn, because others may ask for its outcome.
func (h *Home) HandleCancel(from ident.Process, c msgs.Cancel) {
	h.deps.Next.HandleCancel(from, c)
}

// ask decides on one request for an action.
func (h *Home) ask(w claim.Waiter, q msgs.Query, now time.Time) {
	v := h.deps.Views.Load()
	h.moves.observe(v, now)
	shard := ident.Shard(q.Items[0].Shard)
	group, known := homeGroup(v, ident.ServiceID(q.Service), shard)
	issued, err := claim.IssuedAt(q.Key)
	if !known || err != nil {
		h.answer(msgs.Answer{Status: msgs.StatusNotRun}, w)
		return
	}
	holding := v.Holdings[group]
	if holding == nil || !holding.Valid(now) {
		h.answer(msgs.Answer{Status: msgs.StatusWrongOwner, Owner: h.believedOwner(v, group)}, w)
		return
	}
	h.load(group, holding.Term, now)
	key := claim.Key{Group: group, ID: q.Key}
	verdict, answer := h.table.Begin(claim.Ask{
		Key: key, Issued: issued, Digest: claim.Digest(q.Service, q.Action, q.Body), Waiter: w,
		Term:  holding.Term,
		Since: later(h.deps.Claims.ClaimsCompleteSince(group), h.moves.since(ident.ServiceID(q.Service), shard)),
	}, now)
	switch verdict {
	case claim.Answer:
		h.answer(answer, w)
	case claim.Replicate:
		h.replicate(key, q, holding.Term, now)
	case claim.Wait:
	}
}

// load takes over the claims of a new lease.
func (h *Home) load(group ident.GroupID, term uint64, now time.Time) {
	if h.table.Loaded(group, term) {
		return
	}
	waiters := h.table.Load(group, term, h.deps.Claims.Claims(group), now)
	h.answer(msgs.Answer{Status: msgs.StatusLate}, waiters...)
}

// replicate replicates the claim of a new action, and then dispatches it.
func (h *Home) replicate(key claim.Key, q msgs.Query, term uint64, now time.Time) {
	a := &action{
		key: key, query: q, term: term, tried: map[ident.ServerID]bool{},
		deadline: now.Add(min(time.Duration(q.BudgetMicros)*time.Microsecond, maxBudget)),
	}
	h.actions[key] = a
	record, _ := h.table.Record(key)
	h.workers.Go(func() {
		ctx, cancel := context.WithDeadline(context.Background(), a.deadline)
		defer cancel()
		err := h.deps.Claims.Replicate(ctx, key.Group, term, key.ID, record)
		h.claimed(a, err)
	})
}

// claimed goes on with an action once its claim has been replicated, or not.
func (h *Home) claimed(a *action, err error) {
	h.mu.Lock()
	defer h.unlock()
	now := time.Now()
	v := h.deps.Views.Load()
	holding := v.Holdings[a.key.Group]
	leased := holding != nil && holding.Term == a.term && holding.Valid(now)
	if err != nil {
		h.deps.Events.Record("claim_not_replicated", a.key.ID, err.Error())
	}
	dispatch, answer, waiters := h.table.Claimed(a.key, a.term, err == nil, leased)
	if !dispatch {
		h.forget(a)
		answer.Owner = h.believedOwner(v, a.key.Group)
		h.answer(answer, waiters...)
		return
	}
	h.dispatch(a, v, msgs.Answer{Status: msgs.StatusNotRun}, now)
}

// forget drops what is kept of an action besides the table, if it is the
// present one of its key.
func (h *Home) forget(a *action) {
	delete(h.attempts, a.attempt)
	if h.actions[a.key] == a {
		delete(h.actions, a.key)
	}
}

// believedOwner returns the other VM that owns the group, or "".
func (h *Home) believedOwner(v *view.View, group ident.GroupID) string {
	if vm := v.Owners[group]; vm != h.deps.Self.VM {
		return string(vm)
	}
	return ""
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
