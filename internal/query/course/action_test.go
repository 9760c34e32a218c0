package course_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/course"
)

func newAction(t tb) *world {
	w := newWorld(t, "none")
	w.machine = course.NewAction(w.deps(t, "none"), w.spec(msgs.KindAction))
	w.known()
	return w
}

func TestActionLearnsTheVersionAndIsDone(t *testing.T) {
	w := newWorld(t, "none")
	w.machine = course.NewAction(w.deps(t, "none"), w.spec(msgs.KindAction))
	w.apply(w.machine.Start(w.now))
	w.deliverAll()
	require.Len(t, w.results, 1)
	require.Equal(t, course.OutcomeDone, w.results[0].Outcome)
	require.Equal(t, 1, w.ran)
}

func TestActionIsOfferedAgainOnlyIfItDidNotReachTheHome(t *testing.T) {
	w := newAction(t)
	lost := w.take(0)
	w.apply(w.machine.OnLost(w.now, lost.vm, *lost.query, false))
	require.Empty(t, w.results)
	w.tick()
	require.Len(t, w.parcels, 1)
	lost = w.take(0)
	w.apply(w.machine.OnLost(w.now, lost.vm, *lost.query, true))
	require.Equal(t, course.OutcomeUnknown, w.results[0].Outcome)
}

func TestActionFollowsTheHome(t *testing.T) {
	w := newAction(t)
	p := w.take(0)
	reply := w.answer(p)
	reply.Answers[0].Status, reply.Answers[0].Owner = msgs.StatusWrongOwner, "vm1"
	w.apply(w.machine.OnReply(w.now, p.vm, *reply))
	require.Len(t, w.parcels, 1)
	require.Equal(t, ident.VMID("vm1"), w.parcels[0].vm)
}

func TestActionOutlastsAHandover(t *testing.T) {
	w := newAction(t)
	handedOver := w.now.Add(worldDeadline / 2)
	sent := 0
	for len(w.results) == 0 {
		if len(w.parcels) == 0 {
			w.tick()
			continue
		}
		p := w.take(0)
		if !w.now.Before(handedOver) {
			w.deliver(p)
			continue
		}
		sent++
		answer := msgs.Answer{Seq: p.query.Items[0].Seq, Status: msgs.StatusWrongOwner, Owner: "vm1"}
		w.apply(w.machine.OnReply(w.now, p.vm, msgs.Reply{ID: p.query.ID, Answers: []msgs.Answer{answer}}))
	}
	require.Equal(t, course.OutcomeDone, w.results[0].Outcome)
	require.Less(t, sent, 20)
	require.Equal(t, 1, w.ran)
}

func TestActionFollowsTheVersionOfItsHome(t *testing.T) {
	w := newAction(t)
	for _, server := range w.doc.Servers {
		w.migrate(string(server.ID), false)
	}
	w.deliverAll()
	require.Equal(t, course.OutcomeDone, w.results[0].Outcome)
	require.Equal(t, ident.Version(2), w.results[0].Version)
	require.Equal(t, 1, w.ran)
}

func TestActionNamesTheReplicasOfThePinnedVersionToTheSameHome(t *testing.T) {
	w := newAction(t)
	before := w.take(0)
	require.Equal(t, w.candidates(), before.query.Items[1:])
	for _, server := range w.doc.Servers {
		w.migrate(string(server.ID), false)
	}
	w.deliver(before)
	for len(w.parcels) > 0 && (w.parcels[0].query == nil || w.parcels[0].query.Kind != msgs.KindAction) {
		w.deliver(w.take(0))
	}
	after := w.take(0)
	require.Equal(t, before.vm, after.vm)
	require.Equal(t, before.query.Items[0].Shard, after.query.Items[0].Shard)
	require.Equal(t, uint64(2), after.query.Version)
	require.Equal(t, w.candidates(), after.query.Items[1:])
	require.Zero(t, w.ran)
}

func TestActionComesBackToReplicasThatStillHoldTheVersion(t *testing.T) {
	w := newAction(t)
	p := w.take(0)
	answer := msgs.Answer{Seq: p.query.Items[0].Seq, Status: msgs.StatusWrongVersion}
	w.apply(w.machine.OnReply(w.now, p.vm, msgs.Reply{ID: p.query.ID, Answers: []msgs.Answer{answer}}))
	for _, probe := range w.parcels {
		require.Equal(t, msgs.KindSearch, probe.query.Kind)
	}
	w.deliverAll()
	require.Empty(t, w.results)
	for len(w.results) == 0 {
		w.tick()
		w.deliverAll()
	}
	require.Equal(t, course.OutcomeDone, w.results[0].Outcome)
	require.Equal(t, 1, w.ran)
}

func TestActionWithoutAnOwnerIsNotRun(t *testing.T) {
	w := newWorld(t, "none")
	clear(w.view.Owners)
	w.machine = course.NewAction(w.deps(t, "none"), w.spec(msgs.KindAction))
	w.apply(w.machine.Start(w.now))
	for len(w.results) == 0 {
		w.tick()
	}
	require.Equal(t, course.OutcomeNotRun, w.results[0].Outcome)
}

func TestActionUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newAction(t)
		t.Repeat(map[string]func(*rapid.T){
			"deliver":   func(t *rapid.T) { w.deliver(w.take(w.pick(t))) },
			"drop":      func(t *rapid.T) { w.take(w.pick(t)) },
			"duplicate": func(t *rapid.T) { w.duplicate(w.pick(t)) },
			"lose": func(t *rapid.T) {
				if p := w.take(w.pick(t)); p.query != nil {
					w.apply(w.machine.OnLost(w.now, p.vm, *p.query, p.copied))
				}
			},
			"tick": func(*rapid.T) { w.tick() },
		})
		for len(w.results) == 0 {
			w.tick()
		}
		require.Len(t, w.results, 1)
		if w.results[0].Outcome == course.OutcomeNotRun {
			require.Zero(t, w.ran)
		}
	})
}
