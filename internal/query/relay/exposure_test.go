package relay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roll"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

// newRollout returns a cluster in whose service server "b" has the new version, and the permit
// for it.
func newRollout(t *testing.T, clock *time.Duration) (*cluster, roll.Permit) {
	t.Helper()
	c := newCluster(t, 1, 100)
	c.replicas[shardName(0)][0].Version, c.replicas[shardName(0)][1].Version = "v1", "v2"
	c.env.Exposures = relay.NewExposures(func() time.Duration { return *clock }, func() (float64, int) { return 0, 1 }, rand.Float64)
	c.env.Exposures.Announce(map[ident.ServiceID]roll.Rollout{shardName(0): {Order: roll.Order{Version: "v2", Position: 1}}})
	return c, roll.Permit{Version: "v2", Position: 1, Seq: 1}
}

func (c *cluster) permit(p roll.Permit) {
	c.env.Exposures.SetPermits(map[ident.ServiceID]roll.Permit{shardName(0): p})
}

// lookup sends one request, and returns the query and the version that gets it.
func (c *cluster) lookup(t *testing.T) (*relay.Query, string) {
	t.Helper()
	q, sends := relay.New(c.env, requestTo(lookupRoute(true)), start)
	require.Len(t, sends, 1)
	return q, sends[0].Replica.Version
}

// A version that is not permitted must get nothing, also once a permit is too old.
func TestOnlyPermittedVersionsGetRequests(t *testing.T) {
	now := time.Duration(0)
	c, p := newRollout(t, &now)
	for _, test := range []struct {
		mode  roll.Mode
		share float64
		after time.Duration
		want  string
	}{
		{mode: roll.OthersOnly, want: "v1"},
		{mode: roll.TargetOnly, want: "v2"},
		{mode: roll.Shared, share: 1, want: "v2"},
		{mode: roll.Shared, share: 1, after: 2 * time.Second, want: "v1"},
		{mode: roll.TargetOnly, after: time.Hour, want: "v2"},
	} {
		p.Mode, p.Share, p.Until = test.mode, test.share, now+time.Second
		c.permit(p)
		now += test.after
		for range 5 {
			_, version := c.lookup(t)
			require.Equal(t, test.want, version, "%+v", test)
		}
	}
	c.env.Exposures.Announce(nil)
	require.False(t, c.env.Exposures.IsTarget(c.replicas[shardName(0)][1]))
}

// Retries and hedges must not expose a version beyond its share.
func TestRetriesGoToTheOtherVersions(t *testing.T) {
	now := time.Duration(0)
	c, p := newRollout(t, &now)
	p.Mode, p.Share, p.Until = roll.Shared, 0.5, time.Hour
	c.permit(p)
	failed := 0
	for range 20 {
		q, version := c.lookup(t)
		sends, _ := q.HandleReply(start, 0, 0, relay.Reply{Kind: relay.ServerError})
		if version == "v2" {
			failed++
			require.Len(t, sends, 1)
			require.Equal(t, "v1", sends[0].Replica.Version)
			q.HandleReply(start, 0, 1, served)
			continue
		}
		require.Empty(t, sends, "the only other server has the new version")
	}
	require.Positive(t, failed)
	report := roll.Report{Service: shardName(0), Position: 1, Seq: 7}
	c.env.Exposures.Count(&report, 0)
	require.EqualValues(t, 1, report.Seq)
	require.Zero(t, report.TargetRunning+report.OthersRunning)
	counts := report.Counts[roll.Bucket{Route: "lookup"}]
	require.EqualValues(t, failed, counts.Target.Failed)
	require.EqualValues(t, 20-failed, counts.Others.Failed)
}

// The end of a server of a new version must not count against the request.
func TestEndOfANewServerIsNotPutDownToTheRequest(t *testing.T) {
	now := time.Duration(0)
	c, p := newRollout(t, &now)
	p.Mode, p.Share, p.Until = roll.Shared, 1, time.Hour
	c.permit(p)
	q, version := c.lookup(t)
	require.Equal(t, "v2", version)
	sends, _ := q.HandleReply(start, 0, 0, relay.Reply{Kind: relay.Ambiguous, Gone: true, Ended: true})
	require.Len(t, sends, 1)
	require.False(t, q.EndsServers())
	require.True(t, q.IsExposed(0, 0))
}

// Whatever permits follow each other, the new version must not get more than the share of the
// first attempts.
func TestShareHoldsWithoutMessages(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Duration(0)
		c, p := newRollout(t, &now)
		requests, exposed, share := 0, 0, 0.3
		for range rapid.IntRange(1, 20).Draw(r, "permits") {
			p.Mode = rapid.SampledFrom([]roll.Mode{roll.OthersOnly, roll.Shared}).Draw(r, "mode")
			p.Share, p.Until = rapid.Float64Range(0, share).Draw(r, "share"), now+time.Second
			c.permit(p)
			for range rapid.IntRange(0, 50).Draw(r, "requests") {
				now += time.Duration(rapid.IntRange(0, 100).Draw(r, "ms")) * time.Millisecond
				q, version := c.lookup(t)
				if requests++; version == "v2" {
					exposed++
				}
				q.HandleReply(start, 0, 0, served)
			}
		}
		require.LessOrEqual(t, float64(exposed), share*float64(requests))
	})
}

// With many VMs, each has few requests. Their first ones must follow the share together, or a
// larger share takes effect only seconds later.
func TestFirstRequestsFollowTheShare(t *testing.T) {
	now, exposed := time.Duration(0), 0
	const vms = 100
	for vm := range vms {
		c, p := newRollout(t, &now)
		c.env.Exposures = relay.NewExposures(
			func() time.Duration { return now }, func() (float64, int) { return 50, vms }, func() float64 { return float64(vm) / vms },
		)
		c.env.Exposures.Announce(map[ident.ServiceID]roll.Rollout{shardName(0): {Order: roll.Order{Version: "v2", Position: 1}}})
		p.Mode, p.Share, p.Until = roll.Shared, 0.3, time.Hour
		c.permit(p)
		if _, version := c.lookup(t); version == "v2" {
			exposed++
		}
	}
	require.InDelta(t, 0.3*vms, exposed, 1)
}

// A server in cold start must not be found slow.
func TestColdStartIsNotCounted(t *testing.T) {
	now := time.Duration(0)
	c, p := newRollout(t, &now)
	c.replicas[shardName(0)][1].ColdUntil = start.Add(time.Second)
	p.Mode = roll.TargetOnly
	c.permit(p)
	for _, begin := range []time.Time{start, start.Add(3 * time.Second)} {
		request := requestTo(lookupRoute(true))
		request.Arrived, request.Deadline = begin, begin.Add(time.Second)
		q, sends := relay.New(c.env, request, begin)
		require.Len(t, sends, 1)
		q.HandleReply(begin.Add(200*time.Millisecond), 0, 0, served)
	}
	report := roll.Report{Service: shardName(0), Position: 1}
	c.env.Exposures.Count(&report, 0)
	total := uint32(0)
	for _, n := range report.Counts[roll.Bucket{Route: "lookup"}].Target.Times {
		total += n
	}
	require.EqualValues(t, 1, total)
}
