package hedge

import (
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("fleet", func(o Options) Policy {
		o = o.withDefaults()
		return &fleet{options: o, start: o.Now(), accounts: map[ident.ServiceID]*spending{}}
	})
}

// spendBuckets is the number of parts into which the window of a budget is
// divided.
const spendBuckets = 10

// fleet keeps the extra sub-requests of all VMs to a service within a share of
// the requests plus a slack in every window of time, without a message between
// VMs: each spends its share of its own requests and its part of the slack.
type fleet struct {
	options Options
	// start is the origin of the steady time.
	start time.Time

	mu       sync.Mutex
	accounts map[ident.ServiceID]*spending
}

// spending counts what was sent for one service. Bucket i covers the time
// [i, i+1) in units of a tenth of the window.
type spending struct {
	latency *window
	latest  int64
	firsts  [spendBuckets]int
	extras  [spendBuckets + 1]int
}

func (f *fleet) Delay(service ident.ServiceID) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.account(service)
	if s.latency == nil {
		return f.options.InitialDelay, true
	}
	delay, known := s.latency.quantile()
	if !known {
		delay = f.options.InitialDelay
	}
	return delay, true
}

func (f *fleet) Sent(service ident.ServiceID, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.account(service)
	bucket := f.advance(s)
	s.firsts[bucket%spendBuckets] += count
}

// Take spends one extra sub-request if there is room. Hedges leave a part of
// the room to retries, which restore an answer.
func (f *fleet) Take(service ident.ServiceID, reason Reason) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.account(service)
	bucket := f.advance(s)
	room := f.room(s)
	if reason == Hedge || reason == Overdue {
		room *= hedgePart
	}
	if float64(sum(s.extras[:])+1) > room {
		return false
	}
	s.extras[bucket%(spendBuckets+1)]++
	return true
}

// hedgePart is the part of the room that hedges may use.
const hedgePart = 0.8

func (f *fleet) Observe(service ident.ServiceID, latency time.Duration, _, _ int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.account(service)
	if s.latency == nil {
		s.latency = newWindow(f.options.Quantile)
	}
	s.latency.add(latency)
}

func (f *fleet) Spending(service ident.ServiceID) Spending {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.account(service)
	f.advance(s)
	extras := sum(s.extras[:])
	return Spending{
		Firsts: sum(s.firsts[:]), Extras: extras, Room: f.room(s) - float64(extras),
		Sharers: f.options.Members(), Age: f.options.Now().Sub(f.start),
	}
}

// room is the number of extra sub-requests that this VM may send in a window.
func (f *fleet) room(s *spending) float64 {
	share, slack := f.options.Bound()
	return share*float64(sum(s.firsts[:])) + slack/float64(max(f.options.Members(), 1))
}

// advance clears the buckets that time has passed and returns the present one.
// Extra sub-requests are remembered for a bucket longer than the window, so
// that every span of that length is covered.
func (f *fleet) advance(s *spending) int64 {
	now := int64(f.options.Now().Sub(f.start) / (f.options.Window / spendBuckets))
	for next := max(s.latest+1, now-spendBuckets); next <= now; next++ {
		s.firsts[next%spendBuckets] = 0
		s.extras[next%(spendBuckets+1)] = 0
	}
	s.latest = max(s.latest, now)
	return s.latest
}

func (f *fleet) account(service ident.ServiceID) *spending {
	s := f.accounts[service]
	if s == nil {
		s = &spending{}
		f.accounts[service] = s
	}
	return s
}

func sum(counts []int) int {
	total := 0
	for _, c := range counts {
		total += c
	}
	return total
}
