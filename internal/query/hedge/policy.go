// Package hedge decides after which delay a sub-request is hedged, and limits hedges and
// retries by a budget. Policies are plug-ins without sockets, goroutines or timers.
package hedge

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/plugin"
)

// Reason is why a shard needs one more sub-request.
type Reason uint8

const (
	// Hedge means that the last sub-request has not been answered yet.
	Hedge Reason = iota
	// Overdue means that the last sub-request is probably lost.
	Overdue
	// Failed means that the last sub-request failed and may have run.
	Failed
	// NotRun means that the last sub-request was certainly not run.
	NotRun
)

// String returns the name that logs use.
func (r Reason) String() string {
	return [...]string{"hedge", "overdue", "failed", "not_run"}[r]
}

// Policy limits the extra sub-requests, which are hedges and retries, of services.
// Implementations are safe for concurrent use.
type Policy interface {
	// Delay returns the time after which an unanswered sub-request may be hedged.
	// Until there are enough answers to estimate it, it is initial, or InitialDelay
	// of the options if initial is 0. ok is false while the service is not hedged.
	Delay(service ident.ServiceID, initial time.Duration) (delay time.Duration, ok bool)
	// Sent counts first attempts that were sent. Their number raises the budget.
	Sent(service ident.ServiceID, count int)
	// Allow reports whether one extra sub-request may be sent, and charges it to the
	// budget if so.
	Allow(service ident.ServiceID, reason Reason) bool
	// Observe records a completed sub-request: the time since it was sent, and the
	// number of queued sub-requests and of slots that the server reported.
	Observe(service ident.ServiceID, latency time.Duration, queued, slots int)
	// BudgetState returns the current state of the budget of a service.
	BudgetState(service ident.ServiceID) BudgetState
	// Retain drops the state of the services for which keep returns false. A service
	// that comes back starts with the balance that time alone has refilled since the
	// policy was created. It must therefore have been unused long enough to have
	// reached that balance.
	Retain(keep func(ident.ServiceID) bool)
}

// BudgetState is the state of the budget of one service at one VM, for logs and
// state dumps.
type BudgetState struct {
	// Balance is the number of extra sub-requests that may be sent now, and Limit its
	// maximum.
	Balance float64 `json:"balance"`
	Limit   float64 `json:"limit"`
	// SharedBy is the number of VMs that share the slack.
	SharedBy int `json:"sharers"`
	// Age is the time since the policy was created, for which balances were refilled.
	Age time.Duration `json:"age"`
}

// Options tunes policies. The zero value gives the defaults.
type Options struct {
	// Share is the number of extra sub-requests per first attempt. 0 means
	// 0.05.
	Share float64
	// Burst is the maximum balance of tokens. 0 means 100.
	Burst float64
	// MaxDebt is the maximum number of tokens below zero that retries may spend. 0
	// means 400.
	MaxDebt float64
	// Quantile is the quantile of the latency after which hedges are sent. 0 means
	// 0.95.
	Quantile float64
	// InitialDelay is the delay before a hedge until there are enough answers to
	// estimate the quantile. 0 means 50 ms.
	InitialDelay time.Duration
	// MaxQueue is the mean number of queued sub-requests per slot of the servers at
	// which hedging stops. 0 means 2.
	MaxQueue float64
	// Window is the period to which a fleet-wide budget applies. 0 means 10 s.
	Window time.Duration
	// Slack is the number of extra sub-requests that all VMs together may send in
	// each window in addition to Share.
	Slack float64
	// Bound replaces Share and Slack of a fleet-wide budget if it is set. It is
	// called for each use, so that the values may change.
	Bound func() (share, slack float64)
	// Members returns the number of VMs that share Slack, or 0 if this VM gets none
	// of it. nil means 1.
	Members func() int
	// Now returns the time from a monotonic clock. nil means time.Now.
	Now func() time.Time
}

// Policies is the registry of hedging policies by name.
var Policies = plugin.NewRegistry[func(Options) Policy]("hedging")

func (o Options) withDefaults() Options {
	if o.Share == 0 {
		o.Share = 0.05
	}
	if o.Burst == 0 {
		o.Burst = 100
	}
	if o.MaxDebt == 0 {
		o.MaxDebt = 400
	}
	if o.Quantile == 0 {
		o.Quantile = 0.95
	}
	if o.InitialDelay == 0 {
		o.InitialDelay = 50 * time.Millisecond
	}
	if o.MaxQueue == 0 {
		o.MaxQueue = 2
	}
	if o.Window == 0 {
		o.Window = 10 * time.Second
	}
	if o.Bound == nil {
		share, slack := o.Share, o.Slack
		o.Bound = func() (float64, float64) { return share, slack }
	}
	if o.Members == nil {
		o.Members = func() int { return 1 }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
