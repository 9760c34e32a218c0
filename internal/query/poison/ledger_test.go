package poison_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/query/poison"
)

var start = time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)

// maxMessage is the size of the messages between VMs in bytes.
const maxMessage = 1200

func after(d time.Duration) time.Time {
	return start.Add(d)
}

// requestNamed returns the head and the fingerprint of a request.
func requestNamed(name string) (head []byte, f poison.Fingerprint) {
	head = []byte("GET /" + name + " HTTP/1.1\r\nHost: desk.example\r\n")
	return head, poison.NewIdentity(nil).Of(head, nil)
}

// end records that a server ended while it ran a request.
func end(l *poison.Ledger, now time.Time, name string, server int, trial bool, shared int) {
	head, f := requestNamed(name)
	l.ServerEnded(now, f, head, poison.End{
		Process: notice.Process{ID: ident.ServerID(fmt.Sprint("i-", server)), Born: 1}, Shared: shared, Trial: trial,
	})
}

// maybeEnd records that a server ended that may have run request "a".
func maybeEnd(l *poison.Ledger, now time.Time, server int, trial bool) {
	head, f := requestNamed("a")
	l.ServerEnded(now, f, head, poison.End{
		Process: notice.Process{ID: ident.ServerID(fmt.Sprint("i-", server)), Born: 1}, Shared: 1, Trial: trial, Uncertain: true,
	})
}

func decide(l *poison.Ledger, now time.Time, name string) poison.Decision {
	_, f := requestNamed(name)
	return l.Decide(now, f)
}

func state(l *poison.Ledger, now time.Time, name string) poison.State {
	_, f := requestNamed(name)
	return l.State(now, f)
}

func complete(l *poison.Ledger, now time.Time, name string) {
	_, f := requestNamed(name)
	l.Completed(now, f)
}

// condemn lets a request end three servers, the last one in a trial.
func condemn(t *testing.T, l *poison.Ledger, now time.Time, name string) {
	t.Helper()
	end(l, now, name, 1, false, 1)
	end(l, now, name, 2, false, 1)
	require.Equal(t, poison.Try, decide(l, now, name).Verdict)
	end(l, now, name, 3, true, 1)
	require.Equal(t, poison.Quarantined, state(l, now, name))
}

func TestRequestThatEndsServersIsTriedOnceAndThenRefused(t *testing.T) {
	l := poison.NewLedger(poison.Options{Hold: time.Minute})
	require.True(t, l.Empty())
	end(l, start, "a", 1, false, 1)
	require.Equal(t, poison.Decision{Verdict: poison.Run, Ends: 1}, decide(l, start, "a"))
	end(l, start, "a", 1, false, 1)
	require.Equal(t, poison.Clear, state(l, start, "a"), "one server ended, not two")
	end(l, start, "a", 2, false, 1)
	require.Equal(t, poison.Try, decide(l, start, "a").Verdict)
	waiting := decide(l, start, "a")
	require.Equal(t, poison.Wait, waiting.Verdict)
	end(l, start, "a", 3, true, 1)
	require.Equal(t, poison.Refuse, decide(l, start, "a").Verdict)
	select {
	case <-waiting.Changed:
	default:
		require.Fail(t, "requests that wait are not woken")
	}
	require.Equal(t, 40*time.Second, decide(l, after(20*time.Second), "a").RetryAfter)
	require.Equal(t, poison.Decision{}, decide(l, start, "b"), "another request")
}

func TestFailedTrialDoublesTheQuarantine(t *testing.T) {
	l := poison.NewLedger(poison.Options{Hold: time.Minute})
	condemn(t, l, start, "a")
	now := after(time.Minute)
	require.Equal(t, poison.Try, decide(l, now, "a").Verdict)
	require.Equal(t, poison.Wait, decide(l, now, "a").Verdict, "one trial at a time")
	end(l, now, "a", 4, true, 1)
	require.Equal(t, 2*time.Minute, decide(l, now, "a").RetryAfter)
	now = now.Add(2 * time.Minute)
	require.Equal(t, poison.Try, decide(l, now, "a").Verdict)
	complete(l, now, "a")
	require.Equal(t, poison.Run, decide(l, now, "a").Verdict)
}

func TestTrialWithoutAResultIsFollowedByAnother(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	end(l, start, "a", 1, false, 1)
	end(l, start, "a", 2, false, 1)
	require.Equal(t, poison.Try, decide(l, start, "a").Verdict)
	_, f := requestNamed("a")
	l.EndTrial(f)
	require.Equal(t, poison.Try, decide(l, start, "a").Verdict)
	require.Equal(t, poison.Wait, decide(l, start, "a").Verdict)
	require.Equal(t, poison.Try, decide(l, after(time.Second), "a").Verdict, "the VM that tried it is gone")
}

func TestAnswerClearsASuspectRequest(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	for i := range 20 {
		end(l, start, "a", i, false, 2)
	}
	require.Equal(t, poison.Suspect, state(l, start, "a"))
	complete(l, after(time.Millisecond), "a")
	require.True(t, l.Empty(), "nothing is kept of a request that no other VM knows of")
}

// Guards against a popular request that is refused because it is found wherever a server ends.
func TestPopularRequestIsServedOnWhileServersEndForOtherReasons(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	server := 0
	for second := range 60 {
		now := after(time.Duration(second) * time.Second)
		complete(l, now, "popular")
		for range 3 {
			server++
			end(l, now.Add(100*time.Millisecond), "popular", server, false, 1)
		}
		require.Equal(t, poison.Run, decide(l, now.Add(200*time.Millisecond), "popular").Verdict, "second %d", second)
	}
	// A zone loses all servers at once.
	now := after(time.Minute + 100*time.Millisecond)
	for range 200 {
		server++
		end(l, now, "popular", server, false, 1)
	}
	require.Equal(t, poison.Try, decide(l, now, "popular").Verdict)
	server++
	end(l, now, "popular", server, true, 1)
	require.NotEqual(t, poison.Quarantined, state(l, now, "popular"), "the trial's server may be the next victim")
	complete(l, now.Add(time.Millisecond), "popular")
	require.Equal(t, poison.Run, decide(l, now.Add(time.Millisecond), "popular").Verdict)
}

// Guards against a popular request that is refused because it ran at the same servers as one
// that ended them.
func TestPopularRequestIsNotBlamedForWhatAnotherEnded(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	complete(l, start, "popular")
	now := after(time.Second)
	for server := range 6 {
		end(l, now, "popular", server, false, 1)
		if server < 5 {
			end(l, now, "deadly", server, false, 1)
		}
	}
	require.Equal(t, poison.Suspect, state(l, now, "popular"))
	require.Equal(t, poison.Try, decide(l, now, "deadly").Verdict)
	end(l, now, "deadly", 5, true, 1)
	require.Equal(t, poison.Quarantined, state(l, now, "deadly"))
	require.Equal(t, poison.Clear, state(l, now, "popular"))
	end(l, now.Add(time.Millisecond), "popular", 5, true, 1)
	require.Equal(t, poison.Run, decide(l, now.Add(time.Millisecond), "popular").Verdict, "its evidence came late")
}

// Guards against trials of a request that servers have answered lately that wait for those of one that
// none has answered.
func TestTrialTellsWhetherServersHaveAnswered(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	complete(l, start, "popular")
	for server := range 4 {
		end(l, after(time.Second), "popular", server, false, 1)
		end(l, after(time.Second), "deadly", server, false, 1)
	}
	popular, deadly := decide(l, after(time.Second), "popular"), decide(l, after(time.Second), "deadly")
	require.Equal(t, poison.Try, popular.Verdict)
	require.True(t, popular.Trusted)
	require.Equal(t, poison.Try, deadly.Verdict)
	require.False(t, deadly.Trusted)
}

// A request that servers answered before becomes deadly with their next version.
func TestPopularRequestThatBecomesDeadlyIsQuarantined(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	complete(l, start, "popular")
	now, trials := after(time.Second), 0
	for server := 0; state(l, now, "popular") != poison.Quarantined; server++ {
		require.Less(t, server, 12)
		trial := decide(l, now, "popular").Verdict == poison.Try
		if trial {
			trials++
		}
		end(l, now, "popular", server, trial, 1)
		now = now.Add(600 * time.Millisecond)
	}
	require.LessOrEqual(t, trials, 3)
}

func TestTrialAtABusyServerNeedsASecondOne(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	end(l, start, "a", 1, false, 1)
	end(l, start, "a", 2, false, 1)
	require.Equal(t, poison.Try, decide(l, start, "a").Verdict)
	end(l, start, "a", 3, true, 2)
	require.Equal(t, poison.Suspect, state(l, start, "a"))
	_, f := requestNamed("a")
	l.EndTrial(f)
	require.Equal(t, poison.Try, decide(l, start, "a").Verdict)
	end(l, start, "a", 4, true, 2)
	require.Equal(t, poison.Quarantined, state(l, start, "a"))
}

// A caller that varies its requests must neither fill the memory nor push out what is known of
// others.
func TestManyRequestsDoNotPushOutQuarantinedOnes(t *testing.T) {
	l := poison.NewLedger(poison.Options{MaxEntries: 1000})
	condemn(t, l, start, "deadly")
	for i := range 20000 {
		end(l, after(time.Duration(i)*time.Millisecond), fmt.Sprint("varied-", i), i, false, 1)
	}
	now := after(20 * time.Second)
	require.Equal(t, poison.Quarantined, state(l, now, "deadly"))
	counts := l.Counts(now)
	require.LessOrEqual(t, counts[poison.Clear]+counts[poison.Suspect]+counts[poison.Quarantined], 1000)
}

func TestOldEvidenceIsForgotten(t *testing.T) {
	l := poison.NewLedger(poison.Options{Hold: time.Minute})
	end(l, start, "single", 1, false, 1)
	end(l, start, "suspect", 1, false, 1)
	end(l, start, "suspect", 2, false, 1)
	condemn(t, l, start, "deadly")
	l.Sweep(after(30 * time.Minute))
	require.Equal(t, map[poison.State]int{poison.Suspect: 2}, l.Counts(after(30*time.Minute)))
	l.Sweep(after(3 * time.Hour))
	require.True(t, l.Empty())
}

func TestOperatorsLiftAndPin(t *testing.T) {
	l := poison.NewLedger(poison.Options{Hold: time.Minute})
	condemn(t, l, start, "deadly")
	_, f := requestNamed("deadly")
	require.True(t, l.Lift(after(time.Second), f))
	require.Equal(t, poison.Run, decide(l, after(time.Second), "deadly").Verdict)
	_, unknown := requestNamed("unknown")
	require.False(t, l.Lift(start, unknown))
	l.Pin(after(2*time.Second), f)
	complete(l, after(3*time.Second), "deadly")
	require.Equal(t, poison.Refuse, decide(l, after(24*time.Hour), "deadly").Verdict, "pinned until it is lifted")
	require.True(t, l.Lift(after(25*time.Hour), f))
	require.Equal(t, poison.Run, decide(l, after(25*time.Hour), "deadly").Verdict)
}

func TestList(t *testing.T) {
	l := poison.NewLedger(poison.Options{Hold: time.Minute})
	condemn(t, l, start, "deadly?q=sofa")
	end(l, start, "suspect", 7, false, 1)
	end(l, start, "suspect", 8, false, 1)
	end(l, start, "single", 9, false, 1)
	_, f := requestNamed("pinned")
	l.Pin(start, f)
	for range 3 {
		decide(l, after(time.Second), "deadly?q=sofa")
	}
	encoded, err := json.MarshalIndent(l.List(after(10*time.Second)), "", "  ")
	require.NoError(t, err)
	goldie.New(t).Assert(t, "list", append(encoded, '\n'))
}

func TestNilLedgerLetsAllRun(t *testing.T) {
	var l *poison.Ledger
	end(l, start, "a", 1, false, 1)
	complete(l, start, "a")
	l.Merge(start, nil)
	l.Sweep(start)
	require.True(t, l.Empty())
	require.Equal(t, poison.Run, decide(l, start, "a").Verdict)
}

// A request that crashes only some servers, such as cold ones or those of one version, is
// answered by the others. Refusing it would harm its caller more than it harms the servers.
func TestRequestThatEndsOnlySomeServersIsNotQuarantined(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	for i := range 200 {
		now := after(time.Duration(i) * 200 * time.Millisecond)
		verdict := decide(l, now, "a").Verdict
		require.Contains(t, []poison.Verdict{poison.Run, poison.Try}, verdict, "repeat %d", i)
		end(l, now, "a", i, verdict == poison.Try, 1)
		complete(l, now.Add(time.Millisecond), "a")
	}
}

// Guards against a request that servers have answered in many trials, and that is never quarantined
// once it has become deadly.
func TestRequestThatBecomesDeadlyAfterManyTrialsIsQuarantined(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	now := start
	// The request is known to other VMs, so that its entry is kept.
	condemn(t, l, now, "a")
	l.All(now)
	for server := range 300 {
		now = now.Add(time.Second)
		complete(l, now, "a")
		end(l, now.Add(time.Millisecond), "a", 10+server, true, 1)
	}
	for server := range 6 {
		now = now.Add(time.Second)
		end(l, now, "a", 1000+server, decide(l, now, "a").Verdict == poison.Try, 1)
	}
	require.Equal(t, poison.Quarantined, state(l, now, "a"))
}

// Guards against a request that ends server after server because nothing tells whether they ended
// before: its repeats are run with care, and a trial whose end is certain condemns it.
func TestUncertainEndsMakeARequestSuspectOnly(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	for server := range 3 {
		maybeEnd(l, start, server, false)
		require.Equal(t, poison.Clear, state(l, start, "a"))
	}
	maybeEnd(l, start, 3, false)
	require.Equal(t, poison.Suspect, state(l, start, "a"))
	now := start
	for server := range 20 {
		now = now.Add(time.Second)
		require.Equal(t, poison.Try, decide(l, now, "a").Verdict)
		maybeEnd(l, now, 10+server, true)
	}
	require.Equal(t, poison.Suspect, state(l, now, "a"), "no trial has proven anything")
	now = now.Add(time.Second)
	require.Equal(t, poison.Try, decide(l, now, "a").Verdict)
	end(l, now, "a", 100, true, 1)
	require.Equal(t, poison.Quarantined, state(l, now, "a"))
}

// Guards against harmless requests that are refused because they ran into the ends of servers.
func TestUncertainEndsSayNothingAboutAnsweredRequests(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	for server := range 20 {
		maybeEnd(l, start, server, false)
	}
	complete(l, after(time.Second), "a")
	require.Equal(t, poison.Clear, state(l, after(time.Second), "a"))
	for server := range 20 {
		maybeEnd(l, after(2*time.Second), 20+server, false)
	}
	require.Equal(t, poison.Clear, state(l, after(2*time.Second), "a"))
}

// Guards against an end that counts as uncertain although another VM, or a later sign, is sure of it.
func TestCertainEndReplacesAnUncertainOne(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	maybeEnd(l, start, 1, false)
	maybeEnd(l, start, 2, false)
	require.Equal(t, poison.Clear, state(l, start, "a"))
	end(l, start, "a", 1, false, 1)
	end(l, start, "a", 2, false, 1)
	maybeEnd(l, start, 2, false)
	require.Equal(t, poison.Suspect, state(l, start, "a"))
}

// Servers that are replaced one after the other end under whatever runs there at the moment.
func TestRollOfServersQuarantinesNothing(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	for server := range 500 {
		now := after(time.Duration(server) * 50 * time.Millisecond)
		for slot := range 4 {
			end(l, now, fmt.Sprint("r", 4*server+slot), server, false, 4)
			if slot%2 == 0 {
				complete(l, now.Add(10*time.Millisecond), fmt.Sprint("r", 4*server+slot))
			}
		}
	}
	require.Zero(t, l.Counts(after(time.Minute))[poison.Suspect])
	require.Zero(t, l.Counts(after(time.Minute))[poison.Quarantined])
}
