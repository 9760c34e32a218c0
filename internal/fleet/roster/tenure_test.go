package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a VM that uses a part of the fleet's limits which others already divide among
// themselves, or that gives its part up on the word of a view from before its registration.
func TestTenureEndsWhenALaterViewLacksTheRegistration(t *testing.T) {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	view := NewView(nil, nil, []Member{{VM: "vm-1", Serving: true}}, nil)
	at := start.Add
	var own tenure
	require.False(t, own.ownsShare(start, view), "it has never registered")
	own.register(start, false)
	require.False(t, own.ownsShare(start, view), "it stands by")
	own.register(start, true)
	require.True(t, own.ownsShare(start, view))
	own.recordMissed(at(-time.Millisecond))
	own.recordMissed(at(0))
	require.True(t, own.ownsShare(at(time.Minute), view), "views from before the registration lack it")
	require.True(t, own.recordMissed(at(5*time.Second)))
	require.False(t, own.recordMissed(at(6*time.Second)), "it has ended already")
	require.False(t, own.ownsShare(at(time.Minute), view))
	own.register(at(2*time.Minute), true)
	require.True(t, own.ownsShare(at(2*time.Minute), view))
	own.register(at(3*time.Minute), false)
	require.False(t, own.ownsShare(at(3*time.Minute), view))
}

// Guards against a VM that comes back after it was replaced, and uses a part that the others don't
// leave to it yet.
func TestSurplusVMWaitsUntilTheOthersCountIt(t *testing.T) {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var members []Member
	for range TargetServingCount(nil) + 1 {
		members = append(members, Member{Serving: true})
	}
	view := NewView(nil, nil, members, nil)
	var own tenure
	own.register(start, true)
	require.False(t, own.ownsShare(start.Add(joinTime-1), view))
	require.True(t, own.ownsShare(start.Add(joinTime), view))
}
