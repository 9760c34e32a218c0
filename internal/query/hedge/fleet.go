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
	// maxBalanceShare is the share of the slack that VMs may save up, and refillShare the
	// share that they get in each window. The rest covers hedges and retries that arrive
	// later than they were sent, and VMs that start to serve before others have stopped.
	maxBalanceShare, refillShare = 0.5, 0.3
	// hedgeShare is the share of the maximum balance that hedges may use. The rest is
	// reserved for retries, which restore an answer.
	hedgeShare = 0.8
)

// fleet is a policy that bounds the hedges and retries of all VMs to a service in every
// window of time by a share of the requests plus a slack, without messages between VMs.
//
// Each VM has a balance per service that requests and time fill up to a maximum. In any
// window all processes together spend at most their balances at its start, which the
// maximum bounds, plus what requests and time add within it. A process starts with a
// balance of zero, so that no budget is granted twice when a process restarts or callers
// move to other VMs.
type fleet struct {
	options Options
	// start is when the policy was created, from which balances are refilled.
	start time.Time

	mu       sync.Mutex
	accounts map[ident.ServiceID]*account
}

// account is the state of one service. latency is nil until the first Observe.
type account struct {
	latency *window
	balance float64
	// creditedAt is the time up to which the balance was refilled.
	creditedAt time.Time
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
	f.credit(f.account(service), share*float64(count))
}

// Allow spends one extra sub-request if the balance suffices. Hedges leave a part of the
// balance to retries.
func (f *fleet) Allow(service ident.ServiceID, reason Reason) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.account(service)
	f.credit(a, 0)
	required := 1.0
	if reason == Hedge || reason == Overdue {
		maxBalance := f.maxBalance()
		required = min(1+(1-hedgeShare)*maxBalance, maxBalance)
	}
	if a.balance < required {
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
	f.credit(a, 0)
	return BudgetState{
		Balance: a.balance, Limit: f.maxBalance(),
		SharedBy: f.options.Members(), Age: f.options.Now().Sub(f.start),
	}
}

func (f *fleet) Retain(keep func(ident.ServiceID) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	coll.Retain(f.accounts, keep)
}

// slack returns the share of the slack of this VM.
func (f *fleet) slack() float64 {
	members := f.options.Members()
	if members <= 0 {
		return 0
	}
	_, slack := f.options.Bound()
	return slack / float64(members)
}

// maxBalance returns the maximum balance. It is at least 1, so that each VM can save up
// for one extra sub-request.
func (f *fleet) maxBalance() float64 {
	return max(maxBalanceShare*f.slack(), 1)
}

// refillPerWindow returns the amount by which time refills a balance in each window. It
// is lower if the minimum of maxBalance lets a VM save more than its share of the slack.
func (f *fleet) refillPerWindow() float64 {
	slack := f.slack()
	return max(min(refillShare*slack, (maxBalanceShare+refillShare)*slack-f.maxBalance()), 0)
}

// credit adds earned, and the refill for the time since the last call, to the balance of
// an account.
func (f *fleet) credit(a *account, earned float64) {
	now := f.options.Now()
	windows := float64(now.Sub(a.creditedAt)) / float64(f.options.Window)
	a.creditedAt = now
	a.balance = min(a.balance+earned+f.refillPerWindow()*windows, f.maxBalance())
}

// account returns the account of a service. A new one is refilled from f.start.
func (f *fleet) account(service ident.ServiceID) *account {
	a := f.accounts[service]
	if a == nil {
		a = &account{creditedAt: f.start}
		f.accounts[service] = a
	}
	return a
}
