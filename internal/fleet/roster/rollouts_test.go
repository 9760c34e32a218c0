package roster_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/fleet/roll"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

const orderKey = "rollout:desk"

var order = roll.Order{Version: "v2", Duration: time.Minute}

// rolloutOf returns what the view says about the roll-out of service "desk".
func (state *stateUnderTest) rolloutOf() (roll.Rollout, bool) {
	r, ok := state.View().Rollouts["desk"]
	return r, ok
}

// A stage must not be taken for the registration of a VM, nor survive its order.
func TestRolloutFollowsItsOrderAndStage(t *testing.T) {
	state := newStateUnderTest()
	record := roll.Record{Order: order, Phase: roll.Exposing, Seq: 1}
	state.apply(start, state.put(roster.RollKey("desk"), record))
	require.Nil(t, state.View().Rollouts, "there is no order")
	require.Empty(t, state.View().Members)
	state.apply(start, state.put(orderKey, order))
	r, ok := state.rolloutOf()
	require.True(t, ok)
	require.Equal(t, depot.Position(2), r.Order.Position)
	require.Equal(t, roll.Exposing, r.Record.Phase)
	require.Equal(t, depot.Position(1), r.Revision)

	state.apply(start, state.put(orderKey, "unreadable"))
	_, ok = state.rolloutOf()
	require.True(t, ok, "an order that can't be read changes nothing")
	state.apply(start, state.put(orderKey, order))
	r, _ = state.rolloutOf()
	require.Equal(t, depot.Position(4), r.Order.Position, "the operator repeats the order")
	state.apply(start, state.del(orderKey))
	_, ok = state.rolloutOf()
	require.False(t, ok)
}

// An older copy of the store without the order must not end a roll-out that operators write
// again.
func TestOrderMissingInAnOlderCopyIsKept(t *testing.T) {
	state := newLoadedState(start)
	state.apply(start, state.put(orderKey, order))
	state.loadCopy(t, start)
	_, ok := state.rolloutOf()
	require.True(t, ok)
	state.RemoveExpired(start.Add(time.Minute))
	_, ok = state.rolloutOf()
	require.False(t, ok)
}

// Guards against requests to a version that was rolled back: operators stop its servers after they read
// the result, which may be written while the store, back from an older copy, lacks the order.
func TestLostOrderIsKeptUntilLosingServersAreGone(t *testing.T) {
	for _, test := range []struct {
		phase  roll.Phase
		losing string
		kept   bool
	}{
		{roll.RolledBack, "v2", true},
		{roll.DrainingNew, "v2", true},
		{roll.Completed, "v1", true},
		{roll.DrainingOld, "v1", true},
		{roll.RolledBack, "v1", false},
		{roll.Completed, "v2", false},
		{roll.Exposing, "v2", false},
		{roll.Moving, "v1", false},
	} {
		t.Run(fmt.Sprint(test.phase, " with servers of ", test.losing), func(t *testing.T) {
			state := newLoadedState(start)
			server := roster.Server{Service: "desk", Address: "10.0.0.9:80", Zone: "vantaa", Slots: 2, Version: test.losing}
			state.apply(start, state.put(orderKey, order), state.put("server:i-9", server))
			r, _ := state.rolloutOf()
			items := []depot.Item{state.put("server:i-9", server)}
			state.loadCopy(t, start, items...)
			items = append(items, state.put(roster.RollKey("desk"), roll.Record{Order: r.Order, Phase: test.phase, Seq: 3}))
			state.apply(start, items[1])

			later := start.Add(time.Minute)
			state.RemoveExpired(later)
			_, ok := state.rolloutOf()
			require.Equal(t, test.kept, ok)
			state.Load(later, "", depot.Batch{Items: items, Revision: state.revision})
			_, ok = state.rolloutOf()
			require.Equal(t, test.kept, ok, "after another read without the order")
			state.apply(later, state.del("server:i-9"))
			_, ok = state.rolloutOf()
			require.False(t, ok)
		})
	}
}

// An older copy of the store must not take a roll-out back to an earlier stage: a version that was found
// to be bad would get requests again.
func TestOlderCopyTakesNoStageBack(t *testing.T) {
	for name, copied := range map[string][]roll.Record{"earlier_stage": {{Order: order, Phase: roll.Exposing, Seq: 1}}, "no_stage": nil} {
		t.Run(name, func(t *testing.T) {
			state := newLoadedState(start)
			state.apply(start, state.put(orderKey, order))
			r, _ := state.rolloutOf()
			bad := roll.Record{Order: r.Order, Phase: roll.DrainingNew, Seq: 2}
			state.apply(start, state.put(roster.RollKey("desk"), bad))
			items := []depot.Item{state.put(orderKey, order)}
			for _, record := range copied {
				record.Position = r.Order.Position
				items = append(items, state.put(roster.RollKey("desk"), record))
			}
			state.loadCopy(t, start, items...)
			r, ok := state.rolloutOf()
			require.True(t, ok)
			require.Equal(t, &bad, r.Record)
			require.True(t, r.Behind)
			require.Equal(t, len(copied) > 0, r.Revision == state.revision, "writes need the position of what the store holds")

			next := roll.Record{Order: r.Order, Phase: roll.DrainingNew, Seq: 3}
			state.apply(start, state.put(roster.RollKey("desk"), next))
			r, _ = state.rolloutOf()
			require.Equal(t, &next, r.Record)
			require.False(t, r.Behind)
		})
	}
}

// A VM that starts without the store must not use all versions alike.
func TestSnapshotHoldsRollouts(t *testing.T) {
	state := newStateUnderTest()
	state.apply(start, state.put("config:", 1), state.put(orderKey, order), state.put(roster.RollKey("desk"), roll.Record{Order: order, Phase: roll.DrainingOld, Seq: 2}))
	var snapshot roster.Snapshot
	require.NoError(t, json.Unmarshal(encode(state.View().Snapshot(start)), &snapshot))
	other := newStateUnderTest()
	require.True(t, other.AdoptSnapshot(start, &snapshot))
	r, ok := other.rolloutOf()
	require.True(t, ok)
	require.Equal(t, roll.DrainingOld, r.Record.Phase)
}
