package admit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/admit"
)

func newPolicy(t *testing.T, name string, options admit.Options) admit.Policy {
	t.Helper()
	construct, err := admit.Policies.Lookup(name)
	require.NoError(t, err)
	return construct(options)
}

func request(now time.Time, class ident.Class) admit.Request {
	return admit.Request{Service: "s", Class: class, Deadline: now.Add(200 * time.Millisecond)}
}

func TestPoliciesLimitConcurrency(t *testing.T) {
	for _, name := range []string{"queue", "feasible"} {
		policy, now := newPolicy(t, name, admit.Options{Concurrency: 2}), time.Unix(0, 0)
		require.True(t, policy.Admit(now, request(now, 0)).Admitted)
		require.True(t, policy.Admit(now, request(now, 0)).Admitted)
		refused := policy.Admit(now, request(now, 0))
		require.False(t, refused.Admitted)
		require.Positive(t, refused.RetryAfter)
		policy.Done(now, request(now, 0), admit.Outcome{})
		require.True(t, policy.Admit(now, request(now, 0)).Admitted)
	}
}

func TestFeasibleRefusesRequestsThatWouldBeLate(t *testing.T) {
	policy, now := newPolicy(t, "feasible", admit.Options{}), time.Unix(0, 0)
	for range 100 {
		policy.Observe(now, "s", 1, 400*time.Millisecond, 5*time.Millisecond)
		policy.Observe(now, "s", 0, time.Millisecond, 5*time.Millisecond)
	}
	refused := policy.Admit(now, request(now, 1))
	require.Equal(t, "deadline cannot be met", refused.Reason)
	require.Greater(t, refused.RetryAfter, 300*time.Millisecond)
	require.True(t, policy.Admit(now, request(now, 0)).Admitted)

	later := now.Add(time.Second)
	require.True(t, policy.Admit(later, request(later, 1)).Admitted)
}

// overload offers requests of two classes to a service with a capacity of 20 requests
// per 50 ms, and returns the number of requests of each class that were answered in
// time.
func overload(policy admit.Policy, now time.Time, offered [2]int, rounds int) (good [2]int) {
	const capacity = 20
	for range rounds {
		free := capacity
		for class := range offered {
			var admitted []admit.Request
			for range offered[class] {
				r := request(now, ident.Class(class))
				if policy.Admit(now, r).Admitted {
					admitted = append(admitted, r)
				}
			}
			for i, r := range admitted {
				inTime := i < free
				policy.Observe(now, "s", r.Class, waitOf(inTime), time.Millisecond)
				policy.Done(now.Add(50*time.Millisecond), r, admit.Outcome{Took: 50 * time.Millisecond, Late: !inTime})
				if inTime {
					good[class]++
				}
			}
			free = max(free-len(admitted), 0)
		}
		now = now.Add(50 * time.Millisecond)
	}
	return good
}

func TestFeasibleRaisesTheLimitWithoutOverload(t *testing.T) {
	policy, now := newPolicy(t, "feasible", admit.Options{}), time.Unix(0, 0)
	running := 0
	for range 20 {
		for policy.Admit(now, request(now, 0)).Admitted {
			running++
		}
		now = now.Add(100 * time.Millisecond)
	}
	require.Equal(t, 512, running)
}

func TestFeasibleToleratesASingleFailure(t *testing.T) {
	policy, now := newPolicy(t, "feasible", admit.Options{}), time.Unix(0, 0)
	require.True(t, policy.Admit(now, request(now, 0)).Admitted)
	policy.Done(now, request(now, 0), admit.Outcome{Overloaded: true})
	for range 20 {
		require.True(t, policy.Admit(now, request(now, 0)).Admitted)
	}
}

// waitOf returns the queueing time of a sub-request at the simulated service.
func waitOf(inTime bool) time.Duration {
	if inTime {
		return time.Millisecond
	}
	return 100 * time.Millisecond
}

func TestFeasibleAdmitsWhileServersAreUnreachable(t *testing.T) {
	policy, now := newPolicy(t, "feasible", admit.Options{}), time.Unix(0, 0)
	for range 1000 {
		require.True(t, policy.Admit(now, request(now, 0)).Admitted)
		policy.Observe(now, "s", 0, time.Millisecond, time.Millisecond)
		late := now.Add(200 * time.Millisecond)
		policy.Done(late, request(now, 0), admit.Outcome{Took: 200 * time.Millisecond, Late: true})
		now = late
	}
}

func TestFeasibleShedsTheLeastImportantClass(t *testing.T) {
	policy := newPolicy(t, "feasible", admit.Options{})
	good := overload(policy, time.Unix(0, 0), [2]int{15, 60}, 200)
	require.Equal(t, 15*200, good[0])
	require.Positive(t, good[1])
}

func TestFeasibleRecoversAfterABurst(t *testing.T) {
	policy := newPolicy(t, "feasible", admit.Options{})
	overload(policy, time.Unix(0, 0), [2]int{200, 200}, 100)
	good := overload(policy, time.Unix(8, 0), [2]int{10, 8}, 100)
	require.Equal(t, [2]int{1000, 800}, good)
}
