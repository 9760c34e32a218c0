package story_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/story"
	"github.com/samphirestair/samphirestair/internal/query/engine"
)

const (
	vantaa = ident.VMID("vm-vantaa")
	lahti  = ident.VMID("vm-lahti")
)

// runScenario runs a scenario and compares its transcript with the golden file.
// Before the transcript begins, vm-lahti is warmed up with searches, so that it knows
// the servers and their latencies.
func runScenario(t *testing.T, name, title string, scenario func(t *testing.T, f *story.Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f, err := story.New()
		require.NoError(t, err)
		defer f.Close()
		f.WarmUp(lahti, 70)
		f.Begin(title)
		scenario(t, f)
		time.Sleep(50 * time.Millisecond)
		goldie.New(t).Assert(t, name, []byte(f.Transcript.Text()))
	})
}

func TestStraggler(t *testing.T) {
	runScenario(t, "straggler", "A server is slow: its shard is asked at a second replica, and the loser is cancelled",
		func(t *testing.T, f *story.Fleet) {
			f.Servers["packs/vantaa-0"].SetWorkTime(100 * time.Millisecond)
			require.Equal(t, engine.OutcomeFull, f.Search(lahti, 0).Outcome)
		})
}

func TestPartialAnswer(t *testing.T) {
	runScenario(t, "partial", "Both replicas of a shard are too slow: the answer is partial and says so",
		func(t *testing.T, f *story.Fleet) {
			f.Servers["packs/vantaa-1"].SetWorkTime(time.Second)
			f.Servers["packs/espoo-1"].SetWorkTime(time.Second)
			result := f.Search(lahti, 0)
			require.Equal(t, engine.OutcomePartial, result.Outcome)
			require.Equal(t, 1, result.AnsweredShards)
			require.Equal(t, 2, result.TotalShards)
			require.Len(t, result.Hits, 1)
		})
}

func TestRefusal(t *testing.T) {
	runScenario(t, "refusal", "A deadline that can't be met is refused at once, and the caller is told when to come back",
		func(t *testing.T, f *story.Fleet) {
			refused := f.Search(lahti, 3*time.Millisecond)
			require.Equal(t, engine.OutcomeNotRun, refused.Outcome)
			require.Positive(t, refused.RetryAfter)
			time.Sleep(refused.RetryAfter)
			require.Equal(t, engine.OutcomeFull, f.Search(lahti, 0).Outcome)
		})
}

func TestBookingWithLostReply(t *testing.T) {
	runScenario(t, "booking", "The answer to a booking is lost: asked again with the same key, it is not run again",
		func(t *testing.T, f *story.Fleet) {
			f.DropMessage = func(from, to ident.VMID, text string) bool {
				return from == vantaa && to == lahti && strings.HasPrefix(text, "answers")
			}
			key := uuid.Must(uuid.NewV7()).String()
			require.Equal(t, engine.OutcomeUnknown, f.Book(lahti, key).Outcome)
			again := f.Book("vm-espoo", key)
			require.Equal(t, engine.OutcomeDone, again.Outcome)
			require.Equal(t, `{"booking":1}`, string(again.Body))
			total := 0
			for _, server := range f.Servers {
				total += server.Actions()
			}
			require.Equal(t, 1, total)
		})
}

func TestVersionRetiredUnderSearch(t *testing.T) {
	runScenario(t, "retired", "The index version is retired under a search: the search starts again at the next version",
		func(t *testing.T, f *story.Fleet) {
			time.AfterFunc(time.Millisecond, func() {
				for _, server := range []ident.ServerID{"packs/vantaa-1", "packs/espoo-1", "packs/vantaa-0", "packs/espoo-0"} {
					f.Servers[server].ReplaceVersion(2)
				}
			})
			result := f.Search(lahti, 0)
			require.Equal(t, engine.OutcomeFull, result.Outcome)
			require.EqualValues(t, 2, result.Version)
		})
}

func TestZoneLeavesAndReturns(t *testing.T) {
	runScenario(t, "zone", "A zone is taken out under a search and brought back: all searches are complete",
		func(t *testing.T, f *story.Fleet) {
			time.AfterFunc(3*time.Millisecond, func() { f.ZoneOut("vantaa") })
			require.Equal(t, engine.OutcomeFull, f.Search(lahti, 0).Outcome)
			require.Equal(t, engine.OutcomeFull, f.Search(lahti, 0).Outcome)
			f.ZoneIn("vantaa")
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, engine.OutcomeFull, f.Search(lahti, 0).Outcome)
		})
}

func TestPlannedStop(t *testing.T) {
	runScenario(t, "stop", "A VM is stopped: it ends the search that runs and refuses the next one",
		func(t *testing.T, f *story.Fleet) {
			running := make(chan engine.Outcome, 1)
			go func() { running <- f.Search(lahti, 0).Outcome }()
			time.Sleep(2 * time.Millisecond)
			f.Leave(lahti)
			require.Equal(t, engine.OutcomeNotRun, f.Search(lahti, 0).Outcome)
			require.NoError(t, f.VMs[lahti].Entry.Drain(t.Context()))
			f.Transcript.Logf("vm-lahti", "has answered all and may stop")
			require.Equal(t, engine.OutcomeFull, <-running)
		})
}
