package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

// askForBackoff makes the servers of a shard ask for no requests for a while.
func (c *cluster) askForBackoff(shard int, backoff time.Duration) {
	for _, r := range c.replicas[shardName(shard)] {
		c.env.Notices.Observe(start, r.Process(), notice.Notice{Backoff: backoff})
	}
}

func TestLeavingServerIsNotChosen(t *testing.T) {
	c := newCluster(t, 1, 0)
	leaving := c.replicas[shardName(0)][0]
	c.env.Notices.Observe(start, leaving.Process(), notice.Notice{Leaving: true})
	for range 20 {
		_, sends := relay.New(c.env, requestTo(lookupRoute(true)), start)
		require.Len(t, sends, 1)
		require.NotEqual(t, leaving.ID, sends[0].Replica.ID)
	}
}

// All servers of a lookup asked for a long backoff: the lookup is refused at once, with a
// RetryAfter that is no shorter than the backoff.
func TestLookupIsRefusedDuringLongBackoff(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.askForBackoff(0, 3*time.Second)
	q, sends := relay.New(c.env, requestTo(lookupRoute(false)), start)
	require.Empty(t, sends)
	o := outcome(t, q)
	require.Equal(t, relay.Refused, o.Verdict)
	require.GreaterOrEqual(t, o.RetryAfter, 3*time.Second)
}

func TestLookupWaitsForShortBackoff(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.askForBackoff(0, 30*time.Millisecond)
	q, sends := relay.New(c.env, requestTo(lookupRoute(false)), start)
	require.Empty(t, sends)
	_, decided := q.Outcome()
	require.False(t, decided)
	require.Equal(t, 1, len(q.Tick(q.Next())))
	require.LessOrEqual(t, q.Next().Sub(start), 2*time.Second)
}

// A search is answered without a shard whose servers asked for a backoff, if the other
// shards reach the coverage.
func TestSearchIsAnsweredWithoutShardInBackoff(t *testing.T) {
	c := newCluster(t, 4, 0)
	c.askForBackoff(2, 3*time.Second)
	q, sends := relay.New(c.env, requestTo(searchRoute(4, 0.75)), start)
	require.Len(t, sends, 3)
	for _, s := range sends {
		q.HandleReply(after(10), s.Shard, s.Attempt, served)
	}
	o := outcome(t, q)
	require.Equal(t, relay.Success, o.Verdict)
	require.Equal(t, 1, o.Missing)
}

// The only server refuses a request and asks for a backoff: the request is not sent to it
// again, and is refused at once rather than at its deadline.
func TestRefusalWithBackoffIsNotRetried(t *testing.T) {
	c := newCluster(t, 1, 10)
	c.replicas[shardName(0)] = c.replicas[shardName(0)][:1]
	q, sends := relay.New(c.env, requestTo(lookupRoute(true)), start)
	require.Len(t, sends, 1)
	c.askForBackoff(0, 5*time.Second)
	sends, _ = q.HandleReply(after(2), 0, 0, relay.Reply{Kind: relay.NotRun})
	require.Empty(t, sends)
	o := outcome(t, q)
	require.Equal(t, relay.Refused, o.Verdict)
	require.GreaterOrEqual(t, o.RetryAfter, 4*time.Second)
}
