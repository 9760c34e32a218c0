package choose_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/choose"
)

var replicas = []choose.Candidate{{Server: "s/a"}, {Server: "s/b"}}

func newPolicy(t *testing.T, name string) choose.Policy {
	t.Helper()
	construct, err := choose.Policies.Lookup(name)
	require.NoError(t, err)
	return construct(choose.Options{IntN: rand.New(rand.NewPCG(1, 2)).IntN})
}

// share returns how many of 1000 choices fall on the first replica if the service times
// of the two replicas are first and second.
func share(policy choose.Policy, first, second time.Duration) int {
	now, count := time.Unix(0, 0), 0
	times := []time.Duration{first, second}
	for range 1000 {
		i := policy.Choose(now, replicas)
		policy.Sent(now, replicas[i].Server)
		now = now.Add(times[i])
		policy.Answered(now, replicas[i].Server, choose.Sample{Completed: true, ServiceTime: times[i], Queued: 0, Slots: 2})
		if i == 0 {
			count++
		}
	}
	return count
}

func TestRandomSpreadsEvenly(t *testing.T) {
	require.InDelta(t, 500, share(newPolicy(t, "random"), time.Millisecond, 20*time.Millisecond), 60)
}

func TestExpectAvoidsTheSlowServer(t *testing.T) {
	require.Greater(t, share(newPolicy(t, "expect"), 5*time.Millisecond, 100*time.Millisecond), 980)
}

func TestExpectAvoidsTheLongQueue(t *testing.T) {
	policy, now := newPolicy(t, "expect"), time.Unix(0, 0)
	policy.Answered(now, "s/a", choose.Sample{Completed: true, ServiceTime: 5 * time.Millisecond, Queued: 8, Slots: 2})
	policy.Answered(now, "s/b", choose.Sample{Completed: true, ServiceTime: 5 * time.Millisecond, Queued: 1, Slots: 2})
	require.Equal(t, 1, policy.Choose(now, replicas))
}

func TestExpectReturnsToAServerThatWasSlowLongAgo(t *testing.T) {
	policy := newPolicy(t, "expect")
	share(policy, 5*time.Millisecond, 100*time.Millisecond)
	now := time.Unix(600, 0)
	policy.Sent(now, "s/a")
	require.Equal(t, 1, policy.Choose(now, replicas))
}

func TestExpectAvoidsASilentServer(t *testing.T) {
	policy, now := newPolicy(t, "expect"), time.Unix(0, 0)
	sample := choose.Sample{Completed: true, ServiceTime: 5 * time.Millisecond, Slots: 4}
	policy.Answered(now, "s/a", sample)
	policy.Answered(now, "s/b", sample)
	policy.Sent(now, "s/a")
	policy.Sent(now, "s/b")
	now = now.Add(40 * time.Millisecond)
	policy.Answered(now, "s/b", sample)
	policy.Sent(now, "s/b")
	policy.Sent(now, "s/b")
	require.Equal(t, 1, policy.Choose(now, replicas))
}

func TestExpectAvoidsAServerThatRefuses(t *testing.T) {
	policy, now := newPolicy(t, "expect"), time.Unix(0, 0)
	sample := choose.Sample{Completed: true, ServiceTime: 5 * time.Millisecond, Queued: 20, Slots: 2}
	policy.Answered(now, "s/b", sample)
	policy.Answered(now, "s/a", choose.Sample{Refused: true, RetryAfter: 100 * time.Millisecond, Slots: 2})
	require.Equal(t, 1, policy.Choose(now.Add(99*time.Millisecond), replicas))
	require.Equal(t, 0, policy.Choose(now.Add(101*time.Millisecond), replicas))
}

func TestExpectAvoidsAServerThatNeverAnswers(t *testing.T) {
	policy, now := newPolicy(t, "expect"), time.Unix(0, 0)
	policy.Answered(now, "s/b", choose.Sample{Completed: true, ServiceTime: 5 * time.Millisecond, Queued: 20, Slots: 2})
	for range 3 {
		policy.Sent(now, "s/a")
		policy.Abandoned(now, "s/a", time.Millisecond)
	}
	require.Equal(t, 1, policy.Choose(now, replicas))
	require.Equal(t, 0, policy.Choose(now.Add(21*time.Millisecond), replicas))
}

// A server that is removed and comes back under the same name is judged without its
// history.
func TestRetainForgetsRemovedServers(t *testing.T) {
	policy := newPolicy(t, "expect")
	share(policy, 50*time.Millisecond, time.Millisecond)
	now := time.Unix(60, 0)
	policy.Answered(now, "s/b", choose.Sample{Refused: true, RetryAfter: 400 * time.Millisecond})
	require.Zero(t, policy.Choose(now, replicas))
	policy.Retain(func(id ident.ServerID) bool { return id == "s/a" })
	require.Equal(t, 1, policy.Choose(now, replicas), "the slow server still counts as slow")
}
