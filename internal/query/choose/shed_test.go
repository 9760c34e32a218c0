package choose_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/query/choose"
)

// shedLoad is a load of a large fleet on one shard: several entries, each of which
// sends few requests, so that it learns slowly.
type shedLoad struct {
	t        *testing.T
	random   *rand.Rand
	entries  []choose.Policy
	replicas []choose.Candidate
	// refuses holds the share of its requests that each replica refuses.
	refuses []float64
	now     time.Time
}

const (
	shedEntries = 9
	shedPerSec  = 5
)

func newShedLoad(t *testing.T, refuses ...float64) *shedLoad {
	l := &shedLoad{
		t: t, random: rand.New(rand.NewPCG(7, 8)), refuses: refuses, now: time.Unix(0, 0),
		replicas: []choose.Candidate{{Server: "s/a"}, {Server: "s/b"}, {Server: "s/c"}},
	}
	construct, err := choose.Policies.Lookup("expect")
	require.NoError(t, err)
	for range shedEntries {
		l.entries = append(l.entries, construct(choose.Options{IntN: l.random.IntN}))
	}
	return l
}

// play sends requests for a time. It returns how many sends each request needed
// beyond the first, and the share of the first ones that each replica got.
func (l *shedLoad) play(length time.Duration) (extra float64, first []float64) {
	first = make([]float64, len(l.replicas))
	requests, sends := 0, 0
	for end := l.now.Add(length); l.now.Before(end); {
		l.now = l.now.Add(time.Second / (shedEntries * shedPerSec))
		policy := l.entries[l.random.IntN(len(l.entries))]
		requests++
		left := slices.Clone(l.replicas)
		for try := 0; len(left) > 0; try++ {
			at := policy.Choose(l.now, left)
			id := left[at].Server
			index := int(id[len(id)-1] - 'a')
			if try == 0 {
				first[index]++
			}
			sends++
			policy.Sent(l.now, id)
			if l.random.Float64() >= l.refuses[index] {
				took := time.Duration(8+l.random.IntN(6)) * time.Millisecond
				policy.Answered(l.now.Add(took), id, choose.Sample{Completed: true, ServiceTime: took, Slots: 2})
				break
			}
			policy.Answered(l.now.Add(time.Millisecond), id, choose.Sample{Refused: true, Slots: 2})
			left = append(left[:at], left[at+1:]...)
		}
	}
	for i := range first {
		first[i] /= float64(requests)
	}
	return float64(sends-requests) / float64(requests), first
}

// extraShare is the share of extra sends that the platform grants a service.
const extraShare = 0.2

// Two of three replicas refuse most requests though they answer the others well:
// the third gets the requests.
func TestReplicasThatShedPartOfTheirRequests(t *testing.T) {
	l := newShedLoad(t, 0.6, 0.6, 0)
	l.play(5 * time.Second)
	extra, first := l.play(15 * time.Second)
	require.LessOrEqual(t, extra, extraShare)
	require.Greater(t, first[2], 0.8)
}

// All replicas refuse the same share: none is preferred.
func TestReplicasThatAllShed(t *testing.T) {
	l := newShedLoad(t, 0.6, 0.6, 0.6)
	l.play(5 * time.Second)
	_, first := l.play(15 * time.Second)
	for _, share := range first {
		require.InDelta(t, 1.0/3, share, 0.15)
	}
}

// A replica that refused for a while gets requests again.
func TestReplicaThatShedReturns(t *testing.T) {
	l := newShedLoad(t, 0.6, 0.6, 0)
	l.play(10 * time.Second)
	l.refuses = []float64{0, 0, 0}
	l.play(20 * time.Second)
	extra, first := l.play(10 * time.Second)
	require.Zero(t, extra)
	for _, share := range first {
		require.Greater(t, share, 0.05)
	}
}
