package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

func draw(options Options) []arrival {
	var all []arrival
	schedule := newSchedule(options)
	for a, ok := schedule.next(); ok; a, ok = schedule.next() {
		all = append(all, a)
	}
	return all
}

func TestScheduleFollowsRatesAndSeed(t *testing.T) {
	mix, err := ParseMix("desk:search=300,action/refund=100")
	require.NoError(t, err)
	options := Options{Mixes: []Mix{mix}, Classes: []string{"a", "b"}, Duration: 100 * time.Second, Seed: 3}
	all := draw(options)
	require.Equal(t, all, draw(options))
	require.InDelta(t, 40000, len(all), 1000)
	actions := 0
	for _, a := range all {
		if a.Flow.Op == trace.OpAction {
			require.Equal(t, "refund", a.Flow.Action)
			actions++
		}
	}
	require.InDelta(t, 10000, actions, 500)
	options.Seed = 4
	require.NotEqual(t, all, draw(options))
}

func TestParseMixRejects(t *testing.T) {
	for _, text := range []string{"", "desk", ":search=1", "desk:search", "desk:search=-1", "desk:search=NaN", "desk:search/x=1", "desk:read=1", "desk:action/=1"} {
		_, err := ParseMix(text)
		require.Error(t, err, text)
	}
}

func ExampleParseMix() {
	mix, err := ParseMix("refund-desk:lookup=20,action/refund=0.5")
	fmt.Println(mix, err)
	// Output: {refund-desk [{lookup  20} {action refund 0.5}]} <nil>
}
