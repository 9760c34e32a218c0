package warmth_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/owner/warmth"
)

var (
	limits = svcdoc.Limits{Slots: 4, ColdSlots: 1, WarmAfter: 10}
	start  = time.Unix(1000, 0)
)

func warmTracker() *warmth.Tracker {
	t := warmth.New(limits, start)
	t.ObserveBoot("a", start)
	for range 40 {
		t.ObserveCompletion(10*time.Millisecond, start)
	}
	return t
}

func ExampleTracker() {
	t := warmth.New(svcdoc.Limits{Slots: 4, ColdSlots: 1, WarmAfter: 2}, start)
	t.ObserveBoot("a", start)
	fmt.Println(t.State().Phase, t.ConcurrencyLimit())
	t.ObserveCompletion(time.Millisecond, start)
	fmt.Println(t.State().Phase, t.ConcurrencyLimit())
	t.ObserveCompletion(time.Millisecond, start)
	fmt.Println(t.State().Phase, t.ConcurrencyLimit())
	// Output:
	// cold 1
	// warming 1
	// warm 4
}

func TestEvidenceReturnsServerToCold(t *testing.T) {
	evidence := map[warmth.Reason]func(*warmth.Tracker){
		warmth.ReasonBootChanged: func(t *warmth.Tracker) { t.ObserveBoot("b", start) },
		warmth.ReasonReset:       func(t *warmth.Tracker) { t.ObserveReset(start) },
		warmth.ReasonShed:        func(t *warmth.Tracker) { t.ObserveShed(4, start) },
		warmth.ReasonReturned:    func(t *warmth.Tracker) { t.RequireBootConfirmation(start) },
		warmth.ReasonSlow: func(t *warmth.Tracker) {
			for range 4 {
				t.ObserveCompletion(200*time.Millisecond, start)
			}
		},
	}
	for reason, observe := range evidence {
		tracker := warmTracker()
		require.Equal(t, 4, tracker.ConcurrencyLimit())
		observe(tracker)
		require.Equal(t, reason, tracker.State().PhaseReason)
		require.Equal(t, 1, tracker.ConcurrencyLimit())
	}
}

func TestFewSlowRequestsOrShedAboveTheLimitKeepServerWarm(t *testing.T) {
	tracker := warmTracker()
	for range 3 {
		tracker.ObserveCompletion(200*time.Millisecond, start)
	}
	tracker.ObserveCompletion(10*time.Millisecond, start)
	tracker.ObserveCompletion(200*time.Millisecond, start)
	tracker.ObserveShed(5, start)
	require.Equal(t, warmth.Warm, tracker.State().Phase)
}

func TestImportedWarmthNeedsTheSameBoot(t *testing.T) {
	handover := warmTracker().Export()
	for boot, phase := range map[ident.BootID]warmth.Phase{"a": warmth.Warm, "b": warmth.Cold} {
		tracker := warmth.New(limits, start)
		tracker.Import(handover, start)
		require.Equal(t, 1, tracker.ConcurrencyLimit())
		require.Equal(t, handover, tracker.Export())
		require.False(t, tracker.ObserveBoot("", start))
		require.Equal(t, 1, tracker.ConcurrencyLimit())
		tracker.ObserveBoot(boot, start)
		require.Equal(t, phase, tracker.State().Phase)
	}
}
