package notice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
)

var (
	start = time.Unix(1000, 0)
	one   = notice.Process{ID: "i-1", Born: 5}
)

func ExampleTracker() {
	tracker := notice.NewTracker(notice.Options{})
	tracker.Observe(start, one, notice.Notice{Leaving: true})
	fmt.Println(tracker.Get(start, one).Leaving)
	fmt.Println(tracker.Get(start, notice.Process{ID: "i-1", Born: 6}).Leaving, "after it started again")
	// Output:
	// true
	// false after it started again
}

// Guards against sending requests to a leaving process again: it may stay registered for
// long, and its registration may lapse and come back.
func TestLeavingIsKeptWhenTheRegistrationLapses(t *testing.T) {
	tracker := notice.NewTracker(notice.Options{})
	tracker.Observe(start, one, notice.Notice{Leaving: true})
	tracker.Observe(start, one, notice.Notice{})
	registered := func(p notice.Process) bool { return p == one }
	gone := func(notice.Process) bool { return false }
	leavesAfter := func(after time.Duration, registered func(notice.Process) bool) bool {
		now := start.Add(after)
		tracker.Sweep(now, registered)
		return tracker.Get(now, one).Leaving
	}
	require.True(t, leavesAfter(9*time.Minute, gone))
	require.True(t, leavesAfter(9*time.Minute+30*time.Second, registered))
	require.True(t, leavesAfter(time.Hour, registered))
	require.True(t, leavesAfter(time.Hour+9*time.Minute, gone))
	require.False(t, leavesAfter(time.Hour+11*time.Minute, gone))
}

func TestBackoffEnds(t *testing.T) {
	for name, test := range map[string]struct{ requested, least, most time.Duration }{
		"seconds":         {2 * time.Second, 2 * time.Second, 2200 * time.Millisecond},
		"part of one":     {300 * time.Millisecond, 300 * time.Millisecond, 330 * time.Millisecond},
		"without a bound": {1 << 62, 5 * time.Second, 6 * time.Second},
		"negative":        {-time.Second, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := notice.NewTracker(notice.Options{MaxBackoff: 5 * time.Second})
			tracker.Observe(start, one, notice.Notice{Backoff: test.requested})
			backoff := tracker.Get(start, one).Backoff
			require.GreaterOrEqual(t, backoff, test.least)
			require.LessOrEqual(t, backoff, test.most)
			require.Zero(t, tracker.Get(start.Add(test.most), one).Backoff)
		})
	}
}

// A later, shorter backoff must not end a longer one that is in force.
func TestShorterBackoffDoesNotEndALongerOne(t *testing.T) {
	tracker := notice.NewTracker(notice.Options{})
	tracker.Observe(start, one, notice.Notice{Backoff: 3 * time.Second})
	tracker.Observe(start, one, notice.Notice{Backoff: 100 * time.Millisecond})
	require.GreaterOrEqual(t, tracker.Get(start, one).Backoff, 3*time.Second)
}

func TestLimitIsKnownUntilAnAnswerNamesNone(t *testing.T) {
	tracker := notice.NewTracker(notice.Options{})
	limitAt := func(after time.Duration) notice.Limit {
		limit, known := tracker.Get(start.Add(after), one).Limit.Get()
		require.True(t, known)
		return limit
	}
	tracker.Observe(start, one, notice.Notice{Limit: coll.Some(notice.Unlimited)})
	require.Equal(t, notice.Unlimited, limitAt(0))
	require.Empty(t, tracker.Limits())

	tracker.Observe(start, one, notice.Notice{Limit: coll.Some(notice.Limit(14.5))})
	tracker.CountSent(one)
	tracker.Observe(start.Add(time.Second), one, notice.Notice{Limit: coll.Some(notice.Limit(7))})
	tracker.Observe(start.Add(2*time.Second), one, notice.Notice{})
	tracker.CountSent(one)
	tracker.Sweep(start.Add(time.Hour), func(notice.Process) bool { return true })
	require.Equal(t, notice.Limit(7), limitAt(time.Hour))
	want := notice.LimitState{Limit: 7, Since: start, HeardAt: start.Add(time.Second), Sent: 2}
	require.Equal(t, map[ident.ServerID]notice.LimitState{"i-1": want}, tracker.Limits())

	tracker.Observe(start.Add(time.Hour), one, notice.Notice{Limit: coll.Some(notice.Unlimited)})
	require.Equal(t, notice.Unlimited, limitAt(time.Hour))
}

func TestLimitOfAnUnregisteredProcessIsForgotten(t *testing.T) {
	tracker := notice.NewTracker(notice.Options{})
	tracker.Observe(start, one, notice.Notice{Limit: coll.Some(notice.Limit(3))})
	tracker.Sweep(start, func(notice.Process) bool { return false })
	require.Empty(t, tracker.Limits())
}
