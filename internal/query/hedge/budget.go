package hedge

import (
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("budget", func(o Options) Policy {
		return &budget{options: o.withDefaults(), buckets: map[ident.ServiceID]*tokenBucket{}}
	})
}

// queueWeight is the weight of one answer in the moving average of the queue length.
const queueWeight = 0.02

// budget is a policy that hedges after a high quantile of the latency of a service. Each
// VM has a token bucket per service that first attempts fill.
type budget struct {
	options Options

	mu      sync.RWMutex
	buckets map[ident.ServiceID]*tokenBucket
}

// tokenBucket is the state of one service.
type tokenBucket struct {
	mu sync.Mutex
	// balance is the number of tokens. It is negative if retries have run up a debt.
	balance float64
	// meanQueue is the moving average of the queued sub-requests per slot.
	meanQueue float64
	latency   *window
}

func (b *budget) Delay(service ident.ServiceID, initial time.Duration) (time.Duration, bool) {
	t := b.tokenBucket(service)
	t.mu.Lock()
	defer t.mu.Unlock()
	delay, known := t.latency.quantile()
	if !known {
		delay = coll.Positive(initial, b.options.InitialDelay)
	}
	return delay, t.meanQueue < b.options.MaxQueue
}

func (b *budget) Sent(service ident.ServiceID, count int) {
	t := b.tokenBucket(service)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.balance = min(t.balance+b.options.Share*float64(count), b.options.Burst)
}

// Allow spends one token. A hedge needs a balance of at least 1. Retries restore coverage,
// so they may run up a debt that must be refilled before the next hedge. Retries of
// sub-requests that were not run are always allowed, since these cost backend servers
// nothing.
func (b *budget) Allow(service ident.ServiceID, reason Reason) bool {
	t := b.tokenBucket(service)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !b.isAllowed(t, reason) {
		return false
	}
	t.balance = max(t.balance-1, -b.options.MaxDebt)
	return true
}

// isAllowed reports whether a token may be spent for a reason. While queues are long,
// sub-requests are neither hedged nor retried for being overdue.
func (b *budget) isAllowed(t *tokenBucket, reason Reason) bool {
	short := t.meanQueue < b.options.MaxQueue
	switch reason {
	case Hedge:
		return short && t.balance >= 1
	case Overdue:
		return short && t.balance > -b.options.MaxDebt
	case Failed:
		return t.balance > -b.options.MaxDebt
	default:
		return true
	}
}

func (b *budget) Observe(service ident.ServiceID, latency time.Duration, queued, slots int) {
	t := b.tokenBucket(service)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latency.add(latency)
	perSlot := float64(queued) / float64(max(slots, 1))
	t.meanQueue += queueWeight * (perSlot - t.meanQueue)
}

func (b *budget) BudgetState(service ident.ServiceID) BudgetState {
	t := b.tokenBucket(service)
	t.mu.Lock()
	defer t.mu.Unlock()
	return BudgetState{Balance: t.balance, SharedBy: 1}
}

// tokenBucket returns the bucket of a service, which it creates at the first call.
func (b *budget) tokenBucket(service ident.ServiceID) *tokenBucket {
	b.mu.RLock()
	known := b.buckets[service]
	b.mu.RUnlock()
	if known != nil {
		return known
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buckets[service] == nil {
		b.buckets[service] = &tokenBucket{latency: newWindow(b.options.Quantile)}
	}
	return b.buckets[service]
}

func (b *budget) Retain(keep func(ident.ServiceID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	coll.Retain(b.buckets, keep)
}
