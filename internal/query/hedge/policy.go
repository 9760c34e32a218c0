// Package hedge decides when a sub-request may be sent to a second replica,
// and how many retries and hedges the traffic may cause. Policies are
// plug-ins without sockets, goroutines or timers.
package hedge

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/kernel"
)

// Reason says why a shard needs one more sub-request.
type Reason uint8

const (
	// Hedge means that the last one has not been answered yet.
	Hedge Reason = iota
	// Overdue means that the last one is probably lost.
	Overdue
	// Failed means that the last one failed; it may have run.
	Failed
	// NotRun means that the last one was certainly not run.
	NotRun
)

// String returns the name of the reason in logs.
func (r Reason) String() string {
	return [...]string{"hedge", "overdue", "failed", "not_run"}[r]
}

// Policy bounds the extra sub-requests of a service. Implementations are safe
// for concurrent use.
type Policy interface {
	// Delay returns the time after which an unanswered sub-request may be
	// hedged: initial until the service has answered often enough, or that of the
	// options if it is 0. ok is false while the service is not hedged at all.
	Delay(service ident.ServiceID, initial time.Duration) (delay time.Duration, ok bool)
	// Sent notes that first attempts were sent.
	Sent(service ident.ServiceID, count int)
	// Allow reports whether one more sub-request may be sent, and counts it if
	// so.
	Allow(service ident.ServiceID, reason Reason) bool
	// Observe notes a completed sub-request: the time since it was sent, and
	// the queue and slots of the server.
	Observe(service ident.ServiceID, latency time.Duration, queued, slots int)
	// BudgetState returns the state that decides the next Allow of a service.
	BudgetState(service ident.ServiceID) BudgetState
	// Retain forgets the services for which keep is false. One that comes back has
	// what it may save by then, so that it must have been out of use for long.
	Retain(keep func(ident.ServiceID) bool)
}

// BudgetState is the state of the budget of one service at one VM, for logs and
// dumps.
type BudgetState struct {
	// Balance is the number of extra sub-requests that were saved, and Limit the
	// largest that may be.
	Balance float64 `json:"balance"`
	Limit   float64 `json:"limit"`
	// SharedBy is the number of VMs among which the slack is divided.
	SharedBy int `json:"sharers"`
	// Age is the time since the balance began to fill.
	Age time.Duration `json:"age"`
}

// Options tunes policies. The zero value is useful.
type Options struct {
	// Share is the number of extra sub-requests per first attempt. 0 means
	// 0.05.
	Share float64
	// Burst is the largest number of saved tokens. 0 means 100.
	Burst float64
	// MaxDebt is the largest number of borrowed tokens. 0 means 400.
	MaxDebt float64
	// Quantile of the shard latency after which hedges are sent. 0 means 0.95.
	Quantile float64
	// InitialDelay is used until a service has answered often enough. 0 means
	// 50 ms.
	InitialDelay time.Duration
	// MaxQueue is the mean number of sub-requests per slot of the servers
	// from which on nothing is hedged. 0 means 2.
	MaxQueue float64
	// Window is the time in which a fleet-wide budget holds. 0 means 10 s.
	Window time.Duration
	// Slack is the number of extra sub-requests that all VMs together may send
	// in a window beyond Share.
	Slack float64
	// Bound replaces Share and Slack of a fleet-wide budget if it is set. It is
	// asked for each attempt.
	Bound func() (share, slack float64)
	// Members returns the number of VMs that share Slack, or 0 if this one has no
	// part in it. nil means 1.
	Members func() int
	// Now returns the steady time. nil means time.Now.
	Now func() time.Time
}

// Policies holds the hedging plug-ins.
var Policies = kernel.NewRegistry[func(Options) Policy]("hedging")

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
