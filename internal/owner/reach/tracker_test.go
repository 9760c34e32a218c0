package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/reach"
)

func serverID(i int) ident.ServerID {
	return ident.ServerID(fmt.Sprint("i-", i))
}

// observe records a new connection to each of the servers below reached, and a failure to
// connect to those from there to total.
func observe(tracker *reach.Tracker, now time.Time, reached, total int) {
	for i := range total {
		if i < reached {
			tracker.Reached(now, serverID(i))
		} else {
			tracker.Unreached(now, now, serverID(i))
		}
	}
}

// Guards against a VM that mistakes its own partition for the failure of servers, and the
// other way round.
func TestPartitionedByTheShareOfServers(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		reached, total int
		partitioned    bool
	}{
		{0, 2, false}, {0, 3, true}, {1, 3, false}, {2, 10, true}, {3, 10, false}, {40, 50, false}, {0, 0, false},
	} {
		tracker := reach.NewTracker()
		observe(tracker, now, c.reached, c.total)
		require.Equal(t, reach.State{Reached: c.reached, Unreached: c.total - c.reached, Partitioned: c.partitioned}, tracker.Update(now))
	}
}

func TestPartitionEndsOnlyWithServersReached(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := reach.NewTracker()
	observe(tracker, now, 0, 10)
	require.True(t, tracker.Update(now).Partitioned)
	now = now.Add(time.Minute)
	require.True(t, tracker.Update(now).Partitioned, "nothing was observed since")
	observe(tracker, now, 5, 10)
	require.True(t, tracker.Update(now).Partitioned)
	observe(tracker, now, 6, 10)
	require.False(t, tracker.Update(now).Partitioned)
	require.False(t, tracker.State().Partitioned)
}

func TestLatestObservationCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := reach.NewTracker()
	tracker.Reached(now, serverID(0))
	tracker.Unreached(now.Add(-time.Second), now, serverID(0))
	require.Equal(t, 1, tracker.Update(now).Reached, "data arrived while the connection attempt failed")
	tracker.Unreached(now.Add(time.Millisecond), now.Add(time.Millisecond), serverID(0))
	require.Equal(t, 1, tracker.Update(now.Add(time.Millisecond)).Unreached)
	require.Equal(t, reach.State{}, tracker.Update(now.Add(3*time.Second)), "too old")
}

// Guards against a partition that shows only once connection attempts have timed out: open
// connections fall silent first.
func TestSuspectsAreSilentServersWhileNoneAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := reach.NewTracker()
	observe(tracker, now, 4, 4)
	for i := range 4 {
		tracker.Sent(now.Add(time.Duration(i)*time.Millisecond), serverID(i))
	}
	now = now.Add(200 * time.Millisecond)
	require.Empty(t, tracker.Suspects(now), "they may be slow")
	now = now.Add(200 * time.Millisecond)
	require.Len(t, tracker.Suspects(now), 4)
	require.True(t, tracker.Update(now).Suspected)
	tracker.Reached(now, serverID(0))
	require.Empty(t, tracker.Suspects(now), "a server answers")
	require.False(t, tracker.Update(now).MayBePartitioned())
	now = now.Add(400 * time.Millisecond)
	require.Empty(t, tracker.Suspects(now), "the others were silent before, and are down")
	for i := range 3 {
		tracker.Sent(now, serverID(10+i))
	}
	now = now.Add(400 * time.Millisecond)
	require.Len(t, tracker.Suspects(now), 3)
	tracker.Retain(func(id ident.ServerID) bool { return id != serverID(10) })
	require.Empty(t, tracker.Suspects(now), "too few")
}
