package budget_test

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/base/budget"
)

const unit = 16 << 10

// Guards against memory that is given away twice or is never given back.
func TestHeldNeverExceedsTheLimitAndIsGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8 * unit
		b := budget.New(limit)
		var holders [5]*budget.Holder
		for i := range holders {
			holders[i] = b.NewHolder(func() {})
		}
		held := func() (total int) {
			for _, kind := range budget.Kinds() {
				total += b.Held(kind)
			}
			return total
		}
		sums := [len(holders)]int{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
			switch size := rapid.IntRange(0, 9).Draw(t, "units") * unit; {
			case size == 0:
				holders[i].Release()
				sums[i] = 0
			case holders[i].Reserve(budget.Request, max(size, sums[i]), time.Time{}):
				sums[i] = max(size, sums[i])
			}
			total, most := 0, 0
			for _, sum := range sums {
				total, most = total+sum, max(most, sum)
			}
			require.Equal(t, total, held())
			require.True(t, total <= limit || total == most, "more than the limit, and not by one holder alone")
		}
		for _, h := range holders {
			h.Release()
		}
		require.Zero(t, held())
	})
}

// Guards against a caller that loses its connection although others hold more for longer, and
// against closing one whose request runs.
func TestTheHolderOfMostForLongestIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := budget.New(8 * unit)
		closed := make(chan string, 4)
		add := func(name string, size int) *budget.Holder {
			var h *budget.Holder
			h = b.NewHolder(func() {
				closed <- name
				go h.Release()
			})
			require.True(t, h.Reserve(budget.Request, size, time.Now().Add(time.Second)))
			return h
		}
		add("running", 4*unit).Pin()
		add("small", unit)
		time.Sleep(time.Second)
		add("large", 3*unit)
		time.Sleep(time.Second)
		add("new", 2*unit)
		require.Equal(t, "large", <-closed)
		require.True(t, b.NewHolder(nil).Reserve(budget.Answer, budget.SmallSize, time.Time{}), "a small message needs no room")
		require.Empty(t, closed)
	})
}

// Guards against a message that waits for ever although there is room, and one that gets no
// room although it is the only one.
func TestReserveWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := budget.New(2 * unit)
		first, second := b.NewHolder(nil), b.NewHolder(nil)
		require.True(t, first.Reserve(budget.Answer, 3*unit, time.Time{}), "the only one may exceed the limit")
		began := time.Now()
		require.False(t, second.Reserve(budget.Answer, unit, began.Add(time.Second)))
		require.Equal(t, time.Second, time.Since(began))
		time.AfterFunc(time.Second, first.Release)
		require.True(t, second.Reserve(budget.Answer, unit, time.Now().Add(time.Minute)))
		require.Equal(t, 2*time.Second, time.Since(began))
		second.Release()
	})
}

// Guards against an answer that is dropped without Release and leaves less room for ever.
func TestDroppedAnswerIsGivenBack(t *testing.T) {
	b := budget.New(2 * unit)
	require.True(t, b.NewHolder(nil).Reserve(budget.Answer, unit, time.Time{}))
	require.Eventually(t, func() bool {
		runtime.GC()
		return b.Held(budget.Answer) == 0
	}, 10*time.Second, time.Millisecond)
}
