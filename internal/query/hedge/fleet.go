package hedge

import (
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("fleet", func(o Options) Policy {
		o = o.withDefaults()
		return &fleet{options: o, start: o.Now(), accounts: map[ident.ServiceID]*account{}}
	})
}

const (
	// savedPart is the part of the slack that VMs may save, and refillPart the part
	// that they get in each window. The rest is left to repeats that arrive later
	// than they were sent, and to VMs that begin to serve before others end.
	savedPart, refillPart = 0.5, 0.3
	// hedgePart is the part of the saved budget that hedges may use. The rest is left
	// to retries, which restore an answer.
	hedgePart = 0.8
)

// fleet keeps the extra sub-requests of all VMs to a service within a share of the
// requests plus a slack in every window of time, without a message between VMs.
//
// Each VM has a balance that requests and time fill, up to a limit. In any window
// all processes together spend at most what they had saved before, which the limits
// bound, and what requests and time give within it. A process starts with nothing,
// so that neither its start nor callers that change VMs grant anything twice.
type fleet struct {
	options Options
	// start is the time from which the balances fill.
	start time.Time

	mu       sync.Mutex
	accounts map[ident.ServiceID]*account
}

// account is the budget of one service.
type account struct {
	latency *window
	balance float64
	// filledAt is the time up to which the balance was filled.
	filledAt time.Time
}

func (f *fleet) Delay(service ident.ServiceID, initial time.Duration) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if latency := f.account(service).latency; latency != nil {
		if delay, known := latency.quantile(); known {
			return delay, true
		}
	}
	return coll.Positive(initial, f.options.InitialDelay), true
}

func (f *fleet) Sent(service ident.ServiceID, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	share, _ := f.options.Bound()
	f.fill(f.account(service), share*float64(count))
}

// Allow spends one extra sub-request if it was saved.
func (f *fleet) Allow(service ident.ServiceID, reason Reason) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.account(service)
	f.fill(a, 0)
	least := 1.0
	if reason == Hedge || reason == Overdue {
		limit := f.limit()
		least = min(1+(1-hedgePart)*limit, limit)
	}
	if a.balance < least {
		return false
	}
	a.balance--
	return true
}

func (f *fleet) Observe(service ident.ServiceID, latency time.Duration, _, _ int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.account(service)
	if a.latency == nil {
		a.latency = newWindow(f.options.Quantile)
	}
	a.latency.add(latency)
}

func (f *fleet) BudgetState(service ident.ServiceID) BudgetState {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.account(service)
	f.fill(a, 0)
	return BudgetState{
		Balance: a.balance, Limit: f.limit(),
		SharedBy: f.options.Members(), Age: f.options.Now().Sub(f.start),
	}
}

func (f *fleet) Retain(keep func(ident.ServiceID) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	coll.Retain(f.accounts, keep)
}

// slack is the VM's part of the slack.
func (f *fleet) slack() float64 {
	members := f.options.Members()
	if members <= 0 {
		return 0
	}
	_, slack := f.options.Bound()
	return slack / float64(members)
}

// limit bounds a balance. One sub-request can be saved in any case.
func (f *fleet) limit() float64 {
	return max(savedPart*f.slack(), 1)
}

// refill is what a balance gets in each window. Where a VM may save more than its part
// of the slack, it gets less.
func (f *fleet) refill() float64 {
	slack := f.slack()
	return max(min(refillPart*slack, (savedPart+refillPart)*slack-f.limit()), 0)
}

// fill adds earned and what time has given to the balance of an account.
func (f *fleet) fill(a *account, earned float64) {
	now := f.options.Now()
	passed := float64(now.Sub(a.filledAt)) / float64(f.options.Window)
	a.filledAt = now
	a.balance = min(a.balance+earned+f.refill()*passed, f.limit())
}

func (f *fleet) account(service ident.ServiceID) *account {
	a := f.accounts[service]
	if a == nil {
		a = &account{filledAt: f.start}
		f.accounts[service] = a
	}
	return a
}
