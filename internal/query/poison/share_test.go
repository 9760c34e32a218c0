package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/query/poison"
)

// tell sends all changes of one VM to others, as messages.
func tell(t *testing.T, now time.Time, from *poison.Ledger, to ...*poison.Ledger) {
	t.Helper()
	messages, err := poison.Encode(from.Changes(now, 1000), maxMessage)
	require.NoError(t, err)
	for _, message := range messages {
		require.LessOrEqual(t, len(message), maxMessage)
		records, err := poison.Decode(message)
		require.NoError(t, err)
		for _, l := range to {
			l.Merge(now, records)
		}
	}
}

func newLedgers(count int) []*poison.Ledger {
	ledgers := make([]*poison.Ledger, count)
	for i := range ledgers {
		ledgers[i] = poison.NewLedger(poison.Options{Hold: time.Minute})
	}
	return ledgers
}

// Guards against VMs that each have to lose servers before they know a request.
func TestEndsOnSeveralVMsAddUp(t *testing.T) {
	vms := newLedgers(3)
	end(vms[0], start, "a", 1, false, 1)
	tell(t, start, vms[0], vms[1], vms[2])
	require.Equal(t, poison.Decision{Verdict: poison.Run, Ends: 1}, decide(vms[1], start, "a"))
	end(vms[1], start, "a", 2, false, 1)
	tell(t, start, vms[1], vms[0], vms[2])
	require.Equal(t, poison.Try, decide(vms[2], start, "a").Verdict)
	tell(t, start, vms[2], vms[0], vms[1])
	require.Equal(t, poison.Wait, decide(vms[0], start, "a").Verdict, "another VM tries it")
	end(vms[2], start, "a", 3, true, 1)
	tell(t, start, vms[2], vms[0], vms[1])
	for _, vm := range vms {
		require.Equal(t, poison.Refuse, decide(vm, start, "a").Verdict)
	}
}

// Guards against trials at busy servers, each on another VM, that never suffice for a quarantine
// because every VM counts only its own.
func TestTrialsOnSeveralVMsAddUp(t *testing.T) {
	vms := newLedgers(4)
	end(vms[0], start, "a", 1, false, 1)
	end(vms[0], start, "a", 2, false, 1)
	tell(t, start, vms[0], vms[1:]...)
	for i := 1; i <= 3; i++ {
		require.Equal(t, poison.Try, decide(vms[i], start, "a").Verdict)
		end(vms[i], start, "a", 2+i, true, 3)
		_, f := requestNamed("a")
		vms[i].EndTrial(f)
		for range 3 { // Repetition must not count a trial twice.
			tell(t, start, vms[i], vms...)
			for _, vm := range vms {
				vm.Merge(start, vms[i].All(start))
			}
		}
		if i < 3 {
			require.Equal(t, poison.Suspect, state(vms[0], start, "a"), "%d trials at servers that ran two other requests", i)
		}
	}
	for _, vm := range vms {
		require.Equal(t, poison.Refuse, decide(vm, start, "a").Verdict)
	}
}

// Guards against uncertain ends that other VMs take for certain ones.
func TestUncertainEndsOfSeveralVMsAddUp(t *testing.T) {
	vms := newLedgers(4)
	for i, vm := range vms {
		require.Equal(t, poison.Clear, state(vms[0], start, "a"), "%d ends", i)
		maybeEnd(vm, start, i, false)
		tell(t, start, vm, vms...)
	}
	for _, vm := range vms {
		require.Equal(t, poison.Suspect, state(vm, start, "a"))
	}
}

// Guards against a process that has just started and takes the trials that led to an earlier
// quarantine for those of a new one.
func TestTrialsBeforeAQuarantineDoNotCountAgain(t *testing.T) {
	vms := newLedgers(2)
	condemn(t, vms[0], start, "a")
	now := after(2 * time.Minute)
	vms[1].Merge(now, vms[0].All(now))
	require.Equal(t, poison.Suspect, state(vms[1], now, "a"))
	require.Equal(t, poison.Try, decide(vms[1], now, "a").Verdict)
}

func TestAnswerOnOneVMClearsTheRequestOnAll(t *testing.T) {
	vms := newLedgers(2)
	condemn(t, vms[0], start, "a")
	tell(t, start, vms[0], vms[1])
	later := after(time.Second)
	complete(vms[1], later, "a")
	tell(t, later, vms[1], vms[0])
	require.Equal(t, poison.Run, decide(vms[0], later, "a").Verdict)
	// What was known before must not come back.
	vms[0].Merge(later, vms[0].All(later))
	require.Equal(t, poison.Run, decide(vms[0], later, "a").Verdict)
}

func TestLiftAndPinReachAllVMs(t *testing.T) {
	vms := newLedgers(2)
	_, f := requestNamed("a")
	vms[0].Pin(start, f)
	tell(t, start, vms[0], vms[1])
	require.Equal(t, poison.Refuse, decide(vms[1], after(24*time.Hour), "a").Verdict)
	later := after(25 * time.Hour)
	require.True(t, vms[1].Lift(later, f))
	tell(t, later, vms[1], vms[0])
	require.Equal(t, poison.Run, decide(vms[0], later, "a").Verdict)
}

// Ages in messages are wrong by the time that messages take. Repetition must not add this up.
func TestRepetitionDoesNotProlongAQuarantine(t *testing.T) {
	vms := newLedgers(2)
	condemn(t, vms[0], start, "a")
	now := start
	for range 100 {
		now = now.Add(300 * time.Millisecond)
		records := vms[0].Page(now, 10)
		now = now.Add(50 * time.Millisecond)
		vms[1].Merge(now, records)
		vms[0], vms[1] = vms[1], vms[0]
	}
	for _, vm := range vms {
		left := decide(vm, now, "a").RetryAfter
		require.InDelta(t, (time.Minute - now.Sub(start)).Seconds(), left.Seconds(), 0.25)
	}
}

func TestPageReturnsAllInTurn(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	for i := range 25 {
		end(l, start, fmt.Sprint("r", i), 1, false, 1)
	}
	seen := map[string]int{}
	for range 5 {
		for _, r := range l.Page(start, 10) {
			seen[r.Label]++
		}
	}
	require.Len(t, seen, 25)
	require.Empty(t, poison.NewLedger(poison.Options{}).Page(start, 10))
}

// A search ends a server of each shard. What it ended has to fit into a message.
func TestQuarantineOfALargeSearchFitsIntoAMessage(t *testing.T) {
	vms := newLedgers(2)
	complete(vms[1], start, "popular")
	for i := range 600 {
		end(vms[0], start, "deadly", i, false, 1)
	}
	now := after(time.Second)
	for i := range 100 {
		end(vms[1], now, "popular", i, false, 1)
	}
	require.Equal(t, poison.Suspect, state(vms[1], now, "popular"))
	require.Equal(t, poison.Try, decide(vms[0], now, "deadly").Verdict)
	end(vms[0], now, "deadly", 1000, true, 1)
	tell(t, now, vms[0], vms[1])
	require.Equal(t, poison.Refuse, decide(vms[1], now, "deadly").Verdict)
	require.Equal(t, poison.Clear, state(vms[1], now, "popular"))
}

func FuzzDecode(f *testing.F) {
	l := poison.NewLedger(poison.Options{})
	end(l, start, "a", 1, false, 1)
	messages, err := poison.Encode(l.All(start), maxMessage)
	require.NoError(f, err)
	f.Add(messages[0])
	f.Add([]byte("\x81\xa1r\x91\x81\xa1f\xc4\x10"))
	f.Fuzz(func(t *testing.T, message []byte) {
		records, err := poison.Decode(message)
		if err != nil {
			return
		}
		l := poison.NewLedger(poison.Options{MaxEntries: 10})
		condemn(t, l, start, "known")
		l.Merge(start, records)
		l.List(start)
		l.Sweep(after(time.Hour))
	})
}

// Guards against a process that has just started, and has not seen a popular request answered
// yet, and condemns it for the whole fleet.
func TestVMsThatKnowARequestContestItsQuarantine(t *testing.T) {
	vms := newLedgers(3)
	complete(vms[0], start, "popular")
	now := after(time.Second)
	condemn(t, vms[2], now, "popular")
	tell(t, now, vms[2], vms[0], vms[1])
	require.Equal(t, poison.Refuse, decide(vms[1], now, "popular").Verdict)
	require.NotEqual(t, poison.Quarantined, state(vms[0], now, "popular"))
	tell(t, now, vms[0], vms[1], vms[2])
	for _, vm := range vms {
		require.NotEqual(t, poison.Quarantined, state(vm, now, "popular"))
	}
	vms[0].Merge(now, vms[2].All(now))
	require.NotEqual(t, poison.Quarantined, state(vms[0], now, "popular"))
}
