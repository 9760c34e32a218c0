package choose_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/query/choose"
)

// simulation is the load of a large fleet on one shard: several VMs, each of which
// sends few requests, so that it learns slowly.
type simulation struct {
	t        *testing.T
	random   *rand.Rand
	vms      []choose.Policy
	replicas []choose.Candidate
	// refuses holds the share of its requests that each replica refuses.
	refuses []float64
	now     time.Time
}

const (
	simulatedVMs           = 9
	requestsPerSecondPerVM = 5
)

func newSimulation(t *testing.T, refuses ...float64) *simulation {
	l := &simulation{
		t: t, random: rand.New(rand.NewPCG(7, 8)), refuses: refuses, now: time.Unix(0, 0),
		replicas: []choose.Candidate{{Server: "s/a"}, {Server: "s/b"}, {Server: "s/c"}},
	}
	construct, err := choose.Policies.Lookup("expect")
	require.NoError(t, err)
	for range simulatedVMs {
		l.vms = append(l.vms, construct(choose.Options{IntN: l.random.IntN}))
	}
	return l
}

// run sends requests for a time. It returns the mean number of sends per request beyond
// the first, and the share of the first sends that each replica got.
func (l *simulation) run(length time.Duration) (extra float64, first []float64) {
	first = make([]float64, len(l.replicas))
	requests, sends := 0, 0
	for end := l.now.Add(length); l.now.Before(end); {
		l.now = l.now.Add(time.Second / (simulatedVMs * requestsPerSecondPerVM))
		policy := l.vms[l.random.IntN(len(l.vms))]
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

// maxExtraSends is the share of extra sends that the platform grants a service.
const maxExtraSends = 0.2

// If two of three replicas refuse most requests, although they answer the others fast,
// the third gets most requests.
func TestExpectAvoidsServersThatOftenRefuse(t *testing.T) {
	l := newSimulation(t, 0.6, 0.6, 0)
	l.run(5 * time.Second)
	extra, first := l.run(15 * time.Second)
	require.LessOrEqual(t, extra, maxExtraSends)
	require.Greater(t, first[2], 0.8)
}

// If all replicas refuse the same share, none is preferred.
func TestExpectSpreadsEvenlyIfAllServersRefuse(t *testing.T) {
	l := newSimulation(t, 0.6, 0.6, 0.6)
	l.run(5 * time.Second)
	_, first := l.run(15 * time.Second)
	for _, share := range first {
		require.InDelta(t, 1.0/3, share, 0.15)
	}
}

// A replica that refused for a while gets requests again after it stops refusing.
func TestExpectReturnsToAServerThatStopsRefusing(t *testing.T) {
	l := newSimulation(t, 0.6, 0.6, 0)
	l.run(10 * time.Second)
	l.refuses = []float64{0, 0, 0}
	l.run(20 * time.Second)
	extra, first := l.run(10 * time.Second)
	require.Zero(t, extra)
	for _, share := range first {
		require.Greater(t, share, 0.05)
	}
}
