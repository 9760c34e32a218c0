package server

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
)

const second = time.Second

// fixedServiceTime gives service times that are practically equal to the mean.
var fixedServiceTime = Options{Mean: second, Sigma: 1e-9, Queue: 2}

func newTestEngine(limits svcdoc.Limits) *engine {
	return newEngine(svcdoc.Server{ID: "desk/a", Limits: limits}, fixedServiceTime)
}

// runJob accepts and executes one job and returns its outcome and duration.
func runJob(t *testing.T, e *engine, id string, deadline time.Duration) (outcome, time.Duration) {
	begin := time.Now()
	j, result := e.accept(e.run(), id, begin.Add(deadline))
	require.Equal(t, accepted, result)
	end := e.execute(j)
	e.finish(j, end)
	return end, time.Since(begin).Round(time.Millisecond)
}

func TestSlotsLimitConcurrencyAndFullQueueSheds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(svcdoc.Limits{Slots: 2})
		var group conc.WaitGroup
		times := make([]time.Duration, 4)
		for i := range times {
			group.Go(func() { _, times[i] = runJob(t, e, string(rune('a'+i)), time.Minute) })
		}
		synctest.Wait()
		_, result := e.accept(e.run(), "late", time.Now().Add(second))
		require.Equal(t, shed, result)
		group.Wait()
		require.ElementsMatch(t, []time.Duration{second, second, 2 * second, 2 * second}, times)
		require.Equal(t, 2, e.stats().SlotExcess)
		require.Equal(t, 4, e.stats().SlotPeak)
	})
}

func TestOverloadedColdServerRestartsAndWarmsUpByCompletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(svcdoc.Limits{Slots: 2, ColdSlots: 1, WarmAfter: 2})
		boot := e.boot()
		var group conc.WaitGroup
		group.Go(func() {
			end, _ := runJob(t, e, "first", time.Minute)
			require.Equal(t, processEnded, end)
		})
		synctest.Wait()
		_, result := e.accept(e.run(), "second", time.Now().Add(time.Minute))
		require.Equal(t, coldOverload, result)
		group.Wait()
		require.NotEqual(t, boot, e.boot())
		require.Equal(t, 1, e.stats().ColdOverloads)

		for range 2 {
			_, took := runJob(t, e, "again", time.Minute)
			require.Equal(t, coldFactor*second, took)
		}
		require.False(t, e.stats().Cold)
		_, took := runJob(t, e, "warm", time.Minute)
		require.Equal(t, second, took)
	})
}

func TestDeadlineAndCancellationFreeTheSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(svcdoc.Limits{Slots: 1})
		end, _ := runJob(t, e, "short", second/2)
		require.Equal(t, expired, end)
		var group conc.WaitGroup
		group.Go(func() {
			end, _ := runJob(t, e, "gone", time.Minute)
			require.Equal(t, cancelled, end)
		})
		synctest.Wait()
		e.cancel("gone")
		group.Wait()
		end, took := runJob(t, e, "next", time.Minute)
		require.Equal(t, completed, end)
		require.Equal(t, second, took)
	})
}

// Guards against a cancel that is acknowledged while its job is still counted as in
// flight, so that the next request to the server counts as too many.
func TestCancelIsAcknowledgedOnceTheJobHasEnded(t *testing.T) {
	e := newTestEngine(svcdoc.Limits{Slots: 1})
	j, result := e.accept(e.run(), "gone", time.Now().Add(time.Minute))
	require.Equal(t, accepted, result)
	for range 2 {
		select {
		case <-e.cancel("gone"):
			require.Fail(t, "acknowledged while the job is in flight")
		default:
		}
	}
	end := e.execute(j)
	require.Equal(t, cancelled, end)
	e.finish(j, end)
	<-e.cancel("gone")
	require.Zero(t, e.health().Running)
}

func TestConnectionsCostSlotTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(svcdoc.Limits{Slots: 1, ConnectCost: 3 * second})
		var group conc.WaitGroup
		group.Go(e.chargeConnection)
		synctest.Wait()
		_, took := runJob(t, e, "behind", time.Minute)
		require.Equal(t, 4*second, took)
		group.Wait()
	})
}

func TestRestartFreesAllSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(svcdoc.Limits{Slots: 1})
		var group conc.WaitGroup
		for _, id := range []string{"a", "b", "c"} {
			group.Go(func() {
				end, _ := runJob(t, e, id, time.Minute)
				require.Equal(t, processEnded, end)
			})
		}
		synctest.Wait()
		e.restart()
		group.Wait()
		end, took := runJob(t, e, "next", time.Minute)
		require.Equal(t, completed, end)
		require.Equal(t, second, took)
	})
}

func TestRequestOnConnectionOfEarlierRunIsRejected(t *testing.T) {
	e := newTestEngine(svcdoc.Limits{Slots: 2, ColdSlots: 1, WarmAfter: 2})
	run := e.run()
	e.restart()
	_, result := e.accept(run, "late", time.Now().Add(time.Minute))
	require.Equal(t, staleConnection, result)
	require.Zero(t, e.stats().Accepted)
}
