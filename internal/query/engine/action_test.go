package engine_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/engine"
)

func newAction(t tb) *harness {
	h := newHarness(t, "none")
	h.machine = engine.NewAction(h.deps(t, "none"), h.spec(msgs.KindAction))
	h.startWithKnownVersions()
	return h
}

func TestActionLearnsTheVersionAndIsDone(t *testing.T) {
	h := newHarness(t, "none")
	h.machine = engine.NewAction(h.deps(t, "none"), h.spec(msgs.KindAction))
	h.collect(h.machine.Start(h.now))
	h.deliverAll()
	require.Len(t, h.results, 1)
	require.Equal(t, engine.OutcomeDone, h.results[0].Outcome)
	require.Equal(t, 1, h.executions)
}

func TestActionIsSentAgainOnlyIfItDidNotReachTheOwner(t *testing.T) {
	h := newAction(t)
	lost := h.remove(0)
	h.collect(h.machine.OnLost(h.now, lost.vm, *lost.query, false))
	require.Empty(t, h.results)
	h.advance()
	require.Len(t, h.inTransit, 1)
	lost = h.remove(0)
	h.collect(h.machine.OnLost(h.now, lost.vm, *lost.query, true))
	require.Equal(t, engine.OutcomeUnknown, h.results[0].Outcome)
}

func TestActionIsRedirectedToTheNamedOwner(t *testing.T) {
	h := newAction(t)
	p := h.remove(0)
	reply := h.replyTo(p)
	reply.Answers[0].Status, reply.Answers[0].Owner = msgs.StatusWrongOwner, "vm1"
	h.collect(h.machine.OnReply(h.now, p.vm, *reply))
	require.Len(t, h.inTransit, 1)
	require.Equal(t, ident.VMID("vm1"), h.inTransit[0].vm)
}

func TestActionSucceedsAfterAHandover(t *testing.T) {
	h := newAction(t)
	handedOver := h.now.Add(testDeadline / 2)
	sent := 0
	for len(h.results) == 0 {
		if len(h.inTransit) == 0 {
			h.advance()
			continue
		}
		p := h.remove(0)
		if !h.now.Before(handedOver) {
			h.deliver(p)
			continue
		}
		sent++
		answer := msgs.Answer{Seq: p.query.Items[0].Seq, Status: msgs.StatusWrongOwner, Owner: "vm1"}
		h.collect(h.machine.OnReply(h.now, p.vm, msgs.Reply{ID: p.query.ID, Answers: []msgs.Answer{answer}}))
	}
	require.Equal(t, engine.OutcomeDone, h.results[0].Outcome)
	require.Less(t, sent, 20)
	require.Equal(t, 1, h.executions)
}

func TestActionRetriesAtTheNewVersion(t *testing.T) {
	h := newAction(t)
	for _, server := range h.doc.Servers {
		h.migrate(string(server.ID), false)
	}
	h.deliverAll()
	require.Equal(t, engine.OutcomeDone, h.results[0].Outcome)
	require.Equal(t, ident.Version(2), h.results[0].Version)
	require.Equal(t, 1, h.executions)
}

func TestActionListsTheReplicasOfThePinnedVersionToTheSameOwner(t *testing.T) {
	h := newAction(t)
	before := h.remove(0)
	require.Equal(t, h.replicaItems(), before.query.Items[1:])
	for _, server := range h.doc.Servers {
		h.migrate(string(server.ID), false)
	}
	h.deliver(before)
	for len(h.inTransit) > 0 && (h.inTransit[0].query == nil || h.inTransit[0].query.Kind != msgs.KindAction) {
		h.deliver(h.remove(0))
	}
	after := h.remove(0)
	require.Equal(t, before.vm, after.vm)
	require.Equal(t, before.query.Items[0].Shard, after.query.Items[0].Shard)
	require.Equal(t, uint64(2), after.query.Version)
	require.Equal(t, h.replicaItems(), after.query.Items[1:])
	require.Zero(t, h.executions)
}

func TestActionRetriesReplicasThatStillHoldTheVersion(t *testing.T) {
	h := newAction(t)
	p := h.remove(0)
	answer := msgs.Answer{Seq: p.query.Items[0].Seq, Status: msgs.StatusWrongVersion}
	h.collect(h.machine.OnReply(h.now, p.vm, msgs.Reply{ID: p.query.ID, Answers: []msgs.Answer{answer}}))
	for _, probe := range h.inTransit {
		require.Equal(t, msgs.KindSearch, probe.query.Kind)
	}
	h.deliverAll()
	require.Empty(t, h.results)
	for len(h.results) == 0 {
		h.advance()
		h.deliverAll()
	}
	require.Equal(t, engine.OutcomeDone, h.results[0].Outcome)
	require.Equal(t, 1, h.executions)
}

func TestActionWithoutAnOwnerIsNotRun(t *testing.T) {
	h := newHarness(t, "none")
	clear(h.view.Owners)
	h.machine = engine.NewAction(h.deps(t, "none"), h.spec(msgs.KindAction))
	h.collect(h.machine.Start(h.now))
	for len(h.results) == 0 {
		h.advance()
	}
	require.Equal(t, engine.OutcomeNotRun, h.results[0].Outcome)
}

func TestActionUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newAction(t)
		t.Repeat(map[string]func(*rapid.T){
			"deliver":   func(t *rapid.T) { h.deliver(h.remove(h.drawIndex(t))) },
			"drop":      func(t *rapid.T) { h.remove(h.drawIndex(t)) },
			"duplicate": func(t *rapid.T) { h.duplicate(h.drawIndex(t)) },
			"connection lost": func(t *rapid.T) {
				if p := h.remove(h.drawIndex(t)); p.query != nil {
					h.collect(h.machine.OnLost(h.now, p.vm, *p.query, p.duplicated))
				}
			},
			"advance": func(*rapid.T) { h.advance() },
		})
		for len(h.results) == 0 {
			h.advance()
		}
		require.Len(t, h.results, 1)
		if h.results[0].Outcome == engine.OutcomeNotRun {
			require.Zero(t, h.executions)
		}
	})
}
