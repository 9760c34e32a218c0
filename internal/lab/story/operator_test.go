package story_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/conf/change"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/conf/memkv"
	"github.com/samphirestair/samphirestair/internal/lab/story"
)

// operators are two operators at one key-value service; veikko has the higher latency
// to it.
type operators struct {
	kv           *memkv.Store
	aino, veikko *story.Operator
}

// runOperators runs a scenario of two operators and compares its transcript with the
// golden file.
func runOperators(t *testing.T, name, title string, scenario func(t *testing.T, d operators)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		kv, transcript := memkv.New(), &story.Transcript{}
		transcript.Begin(title)
		scenario(t, operators{
			kv:     kv,
			aino:   story.NewOperator(transcript, "aino", kv, time.Millisecond),
			veikko: story.NewOperator(transcript, "veikko", kv, 1250*time.Microsecond),
		})
		goldie.New(t).Assert(t, name, []byte(transcript.Text()))
	})
}

// doConcurrently lets aino request one change and, 100 µs later, veikko another.
func doConcurrently(t *testing.T, d operators, first, second change.Request) (aino, veikko change.Outcome) {
	t.Helper()
	outcomes := make(chan change.Outcome, 1)
	go func() {
		time.Sleep(100 * time.Microsecond)
		outcomes <- d.veikko.Do(t.Context(), second)
	}()
	aino = d.aino.Do(t.Context(), first)
	return aino, <-outcomes
}

func zoneOut(name string) change.Request {
	return change.Request{Kind: change.ZoneOut, Subject: name, Force: true}
}

func TestOperatorsTakeOutTwoZones(t *testing.T) {
	runOperators(t, "race_two_zones", "Two operators take out two zones at once: the loser of the write tries again on top",
		func(t *testing.T, d operators) {
			aino, veikko := doConcurrently(t, d, zoneOut("espoo"), zoneOut("lahti"))
			require.Equal(t, change.Accepted, aino.Status)
			require.Equal(t, change.Accepted, veikko.Status)
		})
}

func TestOperatorsRaceForOneZone(t *testing.T) {
	runOperators(t, "race_one_zone", "Two operators take out one zone at once: one is accepted and the other told of it",
		func(t *testing.T, d operators) {
			aino, veikko := doConcurrently(t, d, zoneOut("espoo"), zoneOut("espoo"))
			require.Equal(t, change.Accepted, aino.Status)
			require.NotEqual(t, change.Accepted, veikko.Status)
		})
}

func TestLostAnswerOfTheStore(t *testing.T) {
	runOperators(t, "lost_write", "The answer to a write is lost: the change is found by its id",
		func(t *testing.T, d operators) {
			lost := false
			d.kv.SetPlan(func(op memkv.Op, key string) memkv.Effect {
				if op == memkv.Swap && key == index.Key && !lost {
					lost = true
					return memkv.AnswerLost
				}
				return memkv.Served
			})
			require.Equal(t, change.Accepted, d.aino.Do(t.Context(), zoneOut("espoo")).Status)
		})
}
