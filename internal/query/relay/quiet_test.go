package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

// askForQuiet makes the servers of a shard want no requests for a time.
func (w *world) askForQuiet(shard int, quiet time.Duration) {
	for _, r := range w.replicas[shardName(shard)] {
		w.env.Notices.Observe(start, r.Process(), notice.Notice{Backoff: quiet})
	}
}

func TestServerThatLeavesIsNotChosen(t *testing.T) {
	w := newWorld(t, 1, 0)
	leaving := w.replicas[shardName(0)][0]
	w.env.Notices.Observe(start, leaving.Process(), notice.Notice{Leaving: true})
	for range 20 {
		_, sends := relay.New(w.env, planOf(lookupRoute(true)), start)
		require.Len(t, sends, 1)
		require.NotEqual(t, leaving.ID, sends[0].Replica.ID)
	}
}

// All servers of a lookup want no requests for long: it is refused at once, and the
// caller is told when to come back.
func TestLookupIsRefusedWhileItsServersAreQuiet(t *testing.T) {
	w := newWorld(t, 1, 0)
	w.askForQuiet(0, 3*time.Second)
	q, sends := relay.New(w.env, planOf(lookupRoute(false)), start)
	require.Empty(t, sends)
	o := outcome(t, q)
	require.Equal(t, relay.Refused, o.Verdict)
	require.GreaterOrEqual(t, o.RetryAfter, 3*time.Second)
}

// A short quiet time is waited for.
func TestLookupWaitsForAShortQuietTime(t *testing.T) {
	w := newWorld(t, 1, 0)
	w.askForQuiet(0, 30*time.Millisecond)
	q, sends := relay.New(w.env, planOf(lookupRoute(false)), start)
	require.Empty(t, sends)
	_, decided := q.Outcome()
	require.False(t, decided)
	require.Equal(t, 1, len(q.Tick(q.Next())))
	require.LessOrEqual(t, q.Next().Sub(start), 2*time.Second)
}

// A search goes on without the shard if the others suffice.
func TestSearchGoesOnWithoutAQuietShard(t *testing.T) {
	w := newWorld(t, 4, 0)
	w.askForQuiet(2, 3*time.Second)
	q, sends := relay.New(w.env, planOf(searchRoute(4, 0.75)), start)
	require.Len(t, sends, 3)
	for _, s := range sends {
		q.Answer(after(10), s.Shard, s.Attempt, served)
	}
	o := outcome(t, q)
	require.Equal(t, relay.Success, o.Verdict)
	require.Equal(t, 1, o.Missing)
}

// A server refuses and asks for quiet while the request is under way: it is not asked
// again, and the request does not wait for its deadline.
func TestRefusalWithAQuietTimeIsNotRepeated(t *testing.T) {
	w := newWorld(t, 1, 10)
	w.replicas[shardName(0)] = w.replicas[shardName(0)][:1]
	q, sends := relay.New(w.env, planOf(lookupRoute(true)), start)
	require.Len(t, sends, 1)
	w.askForQuiet(0, 5*time.Second)
	sends, _ = q.Answer(after(2), 0, 0, relay.Reply{Kind: relay.NotRun})
	require.Empty(t, sends)
	o := outcome(t, q)
	require.Equal(t, relay.Refused, o.Verdict)
	require.GreaterOrEqual(t, o.RetryAfter, 4*time.Second)
}
