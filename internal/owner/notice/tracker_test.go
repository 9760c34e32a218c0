package notice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/owner/notice"
)

var (
	start = time.Unix(1000, 0)
	one   = notice.Process{ID: "i-1", Born: 5}
)

func ExampleTracker() {
	board := notice.NewTracker(notice.Options{})
	board.Observe(start, one, notice.Notice{Leaving: true})
	fmt.Println(board.Get(start, one).Leaving)
	fmt.Println(board.Get(start, notice.Process{ID: "i-1", Born: 6}).Leaving, "after it started again")
	// Output:
	// true
	// false after it started again
}

// A process that leaves may stay registered for long, and its registration may lapse and
// come back.
func TestLeavingIsKeptWhateverTheRegistrationSays(t *testing.T) {
	b := notice.NewTracker(notice.Options{})
	b.Observe(start, one, notice.Notice{Leaving: true})
	b.Observe(start, one, notice.Notice{})
	registered := func(p notice.Process) bool { return p == one }
	gone := func(notice.Process) bool { return false }
	leavesAfter := func(after time.Duration, registered func(notice.Process) bool) bool {
		now := start.Add(after)
		b.Sweep(now, registered)
		return b.Get(now, one).Leaving
	}
	require.True(t, leavesAfter(9*time.Minute, gone))
	require.True(t, leavesAfter(9*time.Minute+30*time.Second, registered))
	require.True(t, leavesAfter(time.Hour, registered))
	require.True(t, leavesAfter(time.Hour+9*time.Minute, gone))
	require.False(t, leavesAfter(time.Hour+11*time.Minute, gone))
}

func TestQuietTimeEnds(t *testing.T) {
	for name, test := range map[string]struct{ told, least, most time.Duration }{
		"seconds":         {2 * time.Second, 2 * time.Second, 2200 * time.Millisecond},
		"part of one":     {300 * time.Millisecond, 300 * time.Millisecond, 330 * time.Millisecond},
		"without a bound": {1 << 62, 5 * time.Second, 6 * time.Second},
		"negative":        {-time.Second, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := notice.NewTracker(notice.Options{MaxBackoff: 5 * time.Second})
			b.Observe(start, one, notice.Notice{Backoff: test.told})
			quiet := b.Get(start, one).Backoff
			require.GreaterOrEqual(t, quiet, test.least)
			require.LessOrEqual(t, quiet, test.most)
			require.Zero(t, b.Get(start.Add(test.most), one).Backoff)
		})
	}
}

// A later, shorter wish does not end an earlier one.
func TestShorterQuietTimeEndsNothing(t *testing.T) {
	b := notice.NewTracker(notice.Options{})
	b.Observe(start, one, notice.Notice{Backoff: 3 * time.Second})
	b.Observe(start, one, notice.Notice{Backoff: 100 * time.Millisecond})
	require.GreaterOrEqual(t, b.Get(start, one).Backoff, 3*time.Second)
}
