package admit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/admit"
)

func newSharedLimit(t *testing.T) admit.QueuingPolicy {
	t.Helper()
	queue, ok := newPolicy(t, "room", admit.Options{}).(admit.QueuingPolicy)
	require.True(t, ok)
	return queue
}

// fill admits requests until one has to wait, and returns the number of admitted ones.
func fill(t *testing.T, queue admit.QueuingPolicy, now time.Time) (admitted int, waiter *admit.Waiter) {
	t.Helper()
	for admitted < 1000 {
		decision := queue.Admit(now, request(now, 0))
		if !decision.Admitted {
			require.NotNil(t, decision.Waiter)
			return admitted, decision.Waiter
		}
		admitted++
	}
	require.Fail(t, "the limit is never reached")
	return 0, nil
}

func TestRequestWaitsForAdmission(t *testing.T) {
	queue, now := newSharedLimit(t), time.Unix(0, 0)
	_, waiter := fill(t, queue, now)
	require.Greater(t, waiter.Until, now)
	require.Less(t, waiter.Until.Sub(now), 200*time.Millisecond/4, "a refusal leaves time to retry")
	before := queue.State()["s"]
	require.Equal(t, 1, before.Waiting)
	require.LessOrEqual(t, float64(before.Running), before.Bound)
	queue.Done(now, request(now, 0), admit.Outcome{})
	queue.Done(now, request(now, 0), admit.Outcome{})
	select {
	case <-waiter.Granted:
	default:
		require.Fail(t, "not granted")
	}
	require.True(t, queue.EndWait(waiter))
}

func TestRequestIsRefusedAfterWaiting(t *testing.T) {
	queue, now := newSharedLimit(t), time.Unix(0, 0)
	_, waiter := fill(t, queue, now)
	for {
		decision := queue.Admit(now, request(now, 0))
		require.False(t, decision.Admitted)
		require.Positive(t, decision.RetryAfter)
		if decision.Waiter == nil {
			break
		}
	}
	require.False(t, queue.EndWait(waiter))
}

// Full servers reduce the limit; requests that are only slow don't.
func TestOnlyFullServersReduceTheLimit(t *testing.T) {
	queue, now := newSharedLimit(t), time.Unix(0, 0)
	before, waiter := fill(t, queue, now)
	require.False(t, queue.EndWait(waiter))
	for range before {
		queue.Done(now.Add(time.Minute), request(now, 0), admit.Outcome{Took: time.Second, Late: true})
	}
	now = now.Add(time.Hour)
	after, waiter := fill(t, queue, now)
	require.False(t, queue.EndWait(waiter))
	require.GreaterOrEqual(t, after, before)
	for range after {
		now = now.Add(time.Second)
		queue.Done(now, request(now, 0), admit.Outcome{Took: time.Millisecond, Overloaded: true})
	}
	cut, _ := fill(t, queue, now)
	require.Less(t, cut, before)
}

// However often servers were full, a request is admitted when none is running.
func TestIdleServiceAdmitsARequest(t *testing.T) {
	queue, now := newSharedLimit(t), time.Unix(0, 0)
	for range 200 {
		now = now.Add(time.Second)
		require.True(t, queue.Admit(now, request(now, 0)).Admitted)
		queue.Done(now, request(now, 0), admit.Outcome{Took: time.Millisecond, Overloaded: true})
	}
}

// Two classes send more requests than the limit allows: both are served, the more
// important one no less often.
func TestClassesShareTheLimit(t *testing.T) {
	queue, now := newSharedLimit(t), time.Unix(0, 0)
	asked, got := [2]int{}, [2]int{}
	var running []admit.Request
	type wait struct {
		class  int
		waiter *admit.Waiter
	}
	var waiting []wait
	for step := range 4000 {
		now = now.Add(time.Millisecond)
		for class := range 2 {
			r := request(now, ident.Class(class))
			asked[class]++
			switch decision := queue.Admit(now, r); {
			case decision.Admitted:
				got[class]++
				running = append(running, r)
			case decision.Waiter != nil:
				waiting = append(waiting, wait{class, decision.Waiter})
			}
		}
		if step%4 == 0 && len(running) > 0 {
			queue.Done(now, running[0], admit.Outcome{Took: 5 * time.Millisecond, Overloaded: step%40 == 0})
			running = running[1:]
		}
		var left []wait
		for _, w := range waiting {
			select {
			case <-w.waiter.Granted:
				require.True(t, queue.EndWait(w.waiter))
				got[w.class]++
				running = append(running, request(now, ident.Class(w.class)))
				continue
			default:
			}
			if now.After(w.waiter.Until) {
				require.False(t, queue.EndWait(w.waiter))
				continue
			}
			left = append(left, w)
		}
		waiting = left
	}
	important, less := float64(got[0])/float64(asked[0]), float64(got[1])/float64(asked[1])
	require.GreaterOrEqual(t, important, less)
	require.Greater(t, less, important/4)
}

// A service that was removed is forgotten once none of its requests runs or waits.
func TestRetainForgetsIdleServices(t *testing.T) {
	queue, now := newSharedLimit(t), time.Unix(0, 0)
	require.True(t, queue.Admit(now, request(now, 0)).Admitted)
	gone := func(ident.ServiceID) bool { return false }
	queue.Retain(gone)
	require.Equal(t, 1, queue.State()["s"].Running)
	queue.Done(now, request(now, 0), admit.Outcome{})
	queue.Retain(func(id ident.ServiceID) bool { return id == "s" })
	require.Contains(t, queue.State(), ident.ServiceID("s"))
	queue.Retain(gone)
	require.Empty(t, queue.State())
}
