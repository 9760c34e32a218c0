package hedge

import (
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("budget", func(o Options) Policy {
		return &budget{options: o.withDefaults(), services: map[ident.ServiceID]*tokens{}}
	})
}

// queueWeight is the weight of one answer in the moving average of the queue.
const queueWeight = 0.02

// budget hedges after a high quantile of the shard latency, from tokens that
// are a share of the first attempts.
type budget struct {
	options Options

	mu       sync.RWMutex
	services map[ident.ServiceID]*tokens
}

// tokens is the state of one service.
type tokens struct {
	mu      sync.Mutex
	saved   float64
	queue   float64
	latency *window
}

func (b *budget) Delay(service ident.ServiceID, initial time.Duration) (time.Duration, bool) {
	a := b.tokens(service)
	a.mu.Lock()
	defer a.mu.Unlock()
	delay, known := a.latency.quantile()
	if !known {
		delay = coll.Positive(initial, b.options.InitialDelay)
	}
	return delay, a.queue < b.options.MaxQueue
}

func (b *budget) Sent(service ident.ServiceID, count int) {
	a := b.tokens(service)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.saved = min(a.saved+b.options.Share*float64(count), b.options.Burst)
}

// Allow spends one token. Hedges need a saved one. Retries restore coverage and
// may borrow, so that hedges have to wait afterwards. What was not run costs
// backend servers nothing and is never refused.
func (b *budget) Allow(service ident.ServiceID, reason Reason) bool {
	a := b.tokens(service)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !b.allows(a, reason) {
		return false
	}
	a.saved = max(a.saved-1, -b.options.MaxDebt)
	return true
}

func (b *budget) allows(a *tokens, reason Reason) bool {
	short := a.queue < b.options.MaxQueue
	switch reason {
	case Hedge:
		return short && a.saved >= 1
	case Overdue:
		return short && a.saved > -b.options.MaxDebt
	case Failed:
		return a.saved > -b.options.MaxDebt
	default:
		return true
	}
}

func (b *budget) Observe(service ident.ServiceID, latency time.Duration, queued, slots int) {
	a := b.tokens(service)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latency.add(latency)
	perSlot := float64(queued) / float64(max(slots, 1))
	a.queue += queueWeight * (perSlot - a.queue)
}

func (b *budget) BudgetState(service ident.ServiceID) BudgetState {
	a := b.tokens(service)
	a.mu.Lock()
	defer a.mu.Unlock()
	return BudgetState{Balance: a.saved, SharedBy: 1}
}

func (b *budget) tokens(service ident.ServiceID) *tokens {
	b.mu.RLock()
	known := b.services[service]
	b.mu.RUnlock()
	if known != nil {
		return known
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services[service] == nil {
		b.services[service] = &tokens{latency: newWindow(b.options.Quantile)}
	}
	return b.services[service]
}

func (b *budget) Retain(keep func(ident.ServiceID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	coll.Retain(b.services, keep)
}
