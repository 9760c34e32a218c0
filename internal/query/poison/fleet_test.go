package poison_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/query/poison"
)

// Times and rates of a simulated fleet.
const (
	// workTime is how long a deadly request runs before its server ends, and messageTime the
	// longest time that a message between VMs takes.
	workTime    = 40 * time.Millisecond
	messageTime = 20 * time.Millisecond
	batchTime   = 2 * time.Millisecond
	// lossShare is the share of messages that are lost. What is known is repeated every
	// repeatTime, repeatRecords at a time.
	lossShare     = 0.02
	repeatTime    = time.Second
	repeatRecords = 8
	repeatPeers   = 3
	// repeatGap is the mean time between two repeats of a deadly request.
	repeatGap = 300 * time.Millisecond
)

// event is something that happens at a time of a simulation.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// agenda holds events in the order of time.
type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simFleet simulates VMs that get deadly requests and tell each other what they learn.
type simFleet struct {
	t      *testing.T
	rng    *rand.Rand
	events agenda
	vms    []*poison.Ledger
	// shards is the number of servers that get a request at once.
	shards int
	// lost counts the servers that each request ended, and late the repeats that reached
	// servers later than lateAfter after the third.
	lost, late map[string]int
	thirdAt    map[string]time.Time
	lateAfter  time.Duration
	servers    int
	bytes      int
	// collecting holds the VMs that will soon broadcast what changed.
	collecting map[int]bool
}

func newSimFleet(t *testing.T, vms, shards int) *simFleet {
	t.Helper()
	f := &simFleet{
		t: t, rng: rand.New(rand.NewPCG(7, 0)), shards: shards, vms: newLedgers(vms),
		lost: map[string]int{}, late: map[string]int{}, thirdAt: map[string]time.Time{}, lateAfter: 4 * time.Second, collecting: map[int]bool{},
	}
	for i := range f.vms {
		f.at(start.Add(f.upTo(repeatTime)), func(now time.Time) { f.repeat(now, i) })
	}
	return f
}

func (f *simFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(d)))
}

func (f *simFleet) at(at time.Time, run func(now time.Time)) {
	heap.Push(&f.events, event{at, run})
}

// play runs the events up to end.
func (f *simFleet) play(end time.Time) {
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		next := heap.Pop(&f.events).(event)
		next.run(next.at)
	}
}

// deliver sends records of one VM to others.
func (f *simFleet) deliver(now time.Time, from int, to []int, records []poison.Record) {
	if len(records) == 0 {
		return
	}
	messages, err := poison.Encode(records, maxMessage)
	require.NoError(f.t, err)
	for _, message := range messages {
		require.LessOrEqual(f.t, len(message), maxMessage)
	}
	for _, i := range to {
		vm := f.vms[i]
		for _, message := range messages {
			f.bytes += len(message)
			if i == from || f.rng.Float64() < lossShare {
				continue
			}
			f.at(now.Add(f.upTo(messageTime)), func(now time.Time) {
				decoded, err := poison.Decode(message)
				require.NoError(f.t, err)
				vm.Merge(now, decoded)
			})
		}
	}
}

// broadcast sends what changed on a VM, a moment later.
func (f *simFleet) broadcast(now time.Time, vm int) {
	if f.collecting[vm] {
		return
	}
	f.collecting[vm] = true
	f.at(now.Add(batchTime), func(now time.Time) {
		f.collecting[vm] = false
		f.deliver(now, vm, f.rng.Perm(len(f.vms)), f.vms[vm].Changes(now, 64))
	})
}

// repeat repeats what a VM knows, again and again.
func (f *simFleet) repeat(now time.Time, vm int) {
	to := make([]int, repeatPeers)
	for i := range to {
		to[i] = f.rng.IntN(len(f.vms))
	}
	f.deliver(now, vm, to, f.vms[vm].Page(now, repeatRecords))
	f.at(now.Add(repeatTime), func(now time.Time) { f.repeat(now, vm) })
}

// request lets a deadly request arrive at a random VM, and repeats it.
func (f *simFleet) request(now time.Time, name string) {
	vm := f.rng.IntN(len(f.vms))
	decision := decide(f.vms[vm], now, name)
	count := 0
	switch decision.Verdict {
	case poison.Run:
		count = f.shards
	case poison.Try:
		count = 1
	default:
	}
	if third := f.thirdAt[name]; count > 0 && !third.IsZero() && now.Sub(third) > f.lateAfter {
		f.late[name]++
	}
	for range count {
		server := f.servers
		f.servers++
		f.at(now.Add(workTime/2+f.upTo(workTime)), func(now time.Time) {
			if f.lost[name]++; f.lost[name] == 3 {
				f.thirdAt[name] = now
			}
			end(f.vms[vm], now, name, server, decision.Verdict == poison.Try, 1)
			f.broadcast(now, vm)
		})
	}
	f.broadcast(now, vm)
	f.at(now.Add(f.upTo(2*repeatGap)), func(now time.Time) { f.request(now, name) })
}

// knownEverywhere returns how many VMs refuse a request.
func (f *simFleet) knownEverywhere(now time.Time, name string) int {
	count := 0
	for _, vm := range f.vms {
		if state(vm, now, name) == poison.Quarantined {
			count++
		}
	}
	return count
}

// Pattern: queries of death at a large fleet. Searches over 210 of 2,000 servers, at 460 VMs,
// each repeated several times a second at any VM.
func TestDeadlySearchesAreQuarantinedOn460VMs(t *testing.T) {
	const vms, shards, requests = 460, 210, 3
	f := newSimFleet(t, vms, shards)
	for i := range requests {
		f.at(start.Add(f.upTo(time.Second)), func(now time.Time) { f.request(now, fmt.Sprint("deadly-", i)) })
	}
	var everywhere time.Duration
	for elapsed := time.Second; elapsed <= 12*time.Second; elapsed += 250 * time.Millisecond {
		f.play(after(elapsed))
		known := 0
		for i := range requests {
			known += f.knownEverywhere(after(elapsed), fmt.Sprint("deadly-", i))
		}
		if known == vms*requests && everywhere == 0 {
			everywhere = elapsed
		}
	}
	t.Logf("servers ended %v, repeats that came late %v, quarantined everywhere after %v, %.1f MB in all", f.lost, f.late, everywhere, float64(f.bytes)/1e6)
	require.Positive(t, everywhere)
	require.LessOrEqual(t, everywhere, 5*time.Second)
	for name, servers := range f.lost {
		require.LessOrEqual(t, servers, 2*shards+4, name)
		require.LessOrEqual(t, f.late[name], 3, name)
	}
}

// Pattern: a caller that varies its requests, each of which ends servers. More than the ledgers
// hold come at once.
func TestTenThousandDeadlyLookupsEachEndFewServers(t *testing.T) {
	const vms, requests = 8, 10000
	f := newSimFleet(t, vms, 1)
	for i := range requests {
		f.at(start.Add(f.upTo(2*time.Second)), func(now time.Time) { f.request(now, fmt.Sprint("deadly-", i)) })
	}
	f.play(after(4 * time.Second))
	total, most := 0, 0
	for _, servers := range f.lost {
		total += servers
		most = max(most, servers)
	}
	t.Logf("%d servers ended by %d requests, %d at most by one", total, len(f.lost), most)
	require.LessOrEqual(t, total, 5*requests)
	for _, vm := range f.vms {
		counts := vm.Counts(after(4 * time.Second))
		require.LessOrEqual(t, counts[poison.Clear]+counts[poison.Suspect]+counts[poison.Quarantined], 8192)
	}
}
