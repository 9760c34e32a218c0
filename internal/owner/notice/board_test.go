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

func ExampleBoard() {
	board := notice.NewBoard(notice.Options{})
	board.Post(start, one, notice.Notice{Leaving: true})
	fmt.Println(board.Leaving(one))
	fmt.Println(board.Leaving(notice.Process{ID: "i-1", Born: 6}), "after it started again")
	// Output:
	// true
	// false after it started again
}

func TestLeavingIsKeptWhateverTheRegistrationSays(t *testing.T) {
	b := notice.NewBoard(notice.Options{})
	b.Post(start, one, notice.Notice{Leaving: true})
	b.Post(start, one, notice.Notice{})
	b.Sweep(start.Add(9 * time.Minute))
	require.True(t, b.Leaving(one))
	b.Sweep(start.Add(11 * time.Minute))
	require.False(t, b.Leaving(one))
}

func TestQuietTimeEnds(t *testing.T) {
	for name, test := range map[string]struct{ told, least, most time.Duration }{
		"seconds":         {2 * time.Second, 2 * time.Second, 2200 * time.Millisecond},
		"part of one":     {300 * time.Millisecond, 300 * time.Millisecond, 330 * time.Millisecond},
		"without a bound": {1 << 62, 5 * time.Second, 6 * time.Second},
		"negative":        {-time.Second, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := notice.NewBoard(notice.Options{MaxQuiet: 5 * time.Second})
			b.Post(start, one, notice.Notice{Quiet: test.told})
			quiet := b.Quiet(start, one)
			require.GreaterOrEqual(t, quiet, test.least)
			require.LessOrEqual(t, quiet, test.most)
			require.Zero(t, b.Quiet(start.Add(test.most), one))
		})
	}
}

// A later, shorter wish does not end an earlier one.
func TestShorterQuietTimeEndsNothing(t *testing.T) {
	b := notice.NewBoard(notice.Options{})
	b.Post(start, one, notice.Notice{Quiet: 3 * time.Second})
	b.Post(start, one, notice.Notice{Quiet: 100 * time.Millisecond})
	require.GreaterOrEqual(t, b.Quiet(start, one), 3*time.Second)
}
