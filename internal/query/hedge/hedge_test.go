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
	_, ok := policy.Delay("s", 0)
	require.False(t, ok)
	require.False(t, policy.Allow("s", hedge.Hedge))
	require.True(t, policy.Allow("s", hedge.Failed))
}

func TestBudgetDelaysByTheQuantile(t *testing.T) {
	policy := newPolicy(t, "budget")
	delay, ok := policy.Delay("s", 0)
	require.True(t, ok)
	require.Equal(t, 50*time.Millisecond, delay)
	for i := range 10_000 {
		policy.Observe("s", time.Duration(i%100+1)*time.Millisecond, 1, 2)
	}
	delay, ok = policy.Delay("s", 0)
	require.True(t, ok)
	require.InEpsilon(t, 95*time.Millisecond, delay, 0.03)
}

func TestBudgetIsAShareOfTraffic(t *testing.T) {
	policy := newPolicy(t, "budget")
	policy.Sent("s", 1000)
	hedges := 0
	for policy.Allow("s", hedge.Hedge) {
		hedges++
	}
	require.Equal(t, 50, hedges)
}

func TestRetriesMayRunUpADebt(t *testing.T) {
	policy := newPolicy(t, "budget")
	retries := 0
	for policy.Allow("s", hedge.Failed) {
		retries++
	}
	require.Equal(t, 400, retries)
	require.False(t, policy.Allow("s", hedge.Overdue))
	require.True(t, policy.Allow("s", hedge.NotRun))
	policy.Sent("s", 7900)
	require.False(t, policy.Allow("s", hedge.Hedge))
	policy.Sent("s", 200)
	require.True(t, policy.Allow("s", hedge.Hedge))
}

func TestBudgetDeniesHedgesWhileQueuesAreLong(t *testing.T) {
	policy := newPolicy(t, "budget")
	policy.Sent("s", 1000)
	for range 1000 {
		policy.Observe("s", time.Millisecond, 9, 2)
	}
	require.False(t, policy.Allow("s", hedge.Hedge))
	require.False(t, policy.Allow("s", hedge.Overdue))
	for range 1000 {
		policy.Observe("s", time.Millisecond, 1, 2)
	}
	require.True(t, policy.Allow("s", hedge.Hedge))
}
