package hedge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

func newPolicy(t *testing.T, name string) hedge.Policy {
	t.Helper()
	construct, err := hedge.Policies.Lookup(name)
	require.NoError(t, err)
	return construct(hedge.Options{})
}

func TestNoneNeverHedges(t *testing.T) {
	policy := newPolicy(t, "none")
	policy.Sent("s", 1000)
	_, ok := policy.Delay("s")
	require.False(t, ok)
	require.False(t, policy.TakeHedge("s"))
	require.True(t, policy.TakeRetry("s"))
}

func TestBudgetDelaysByTheQuantile(t *testing.T) {
	policy := newPolicy(t, "budget")
	_, ok := policy.Delay("s")
	require.False(t, ok)
	for i := range 10_000 {
		policy.Observe("s", time.Duration(i%100+1)*time.Millisecond, 1, 2)
	}
	delay, ok := policy.Delay("s")
	require.True(t, ok)
	require.InEpsilon(t, 95*time.Millisecond, delay, 0.03)
}

func TestBudgetIsAShareOfTraffic(t *testing.T) {
	policy := newPolicy(t, "budget")
	policy.Sent("s", 1000)
	taken := 0
	for policy.TakeHedge("s") {
		taken++
	}
	require.Equal(t, 50, taken)
}

func TestRetriesBorrowFromHedges(t *testing.T) {
	policy := newPolicy(t, "budget")
	borrowed := 0
	for policy.TakeRetry("s") {
		borrowed++
	}
	require.Equal(t, 100, borrowed)
	policy.Sent("s", 1900)
	require.False(t, policy.TakeHedge("s"))
	policy.Sent("s", 200)
	require.True(t, policy.TakeHedge("s"))
}

func TestBudgetIsShutWhileQueuesAreLong(t *testing.T) {
	policy := newPolicy(t, "budget")
	policy.Sent("s", 1000)
	for range 1000 {
		policy.Observe("s", time.Millisecond, 9, 2)
	}
	require.False(t, policy.TakeHedge("s"))
	for range 1000 {
		policy.Observe("s", time.Millisecond, 1, 2)
	}
	require.True(t, policy.TakeHedge("s"))
}
