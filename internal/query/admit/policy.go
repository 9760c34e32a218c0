// Package admit decides which requests a VM admits and which it refuses. Policies are
// plug-ins without sockets, goroutines or timers.
package admit

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/plugin"
)

// Policy admits or refuses requests. Implementations are safe for concurrent use. Done
// must be called exactly once for each admitted request.
type Policy interface {
	Admit(now time.Time, request Request) Decision
	// Observe records how long a sub-request waited in the queue of its server, and how
	// long it ran.
	Observe(now time.Time, service ident.ServiceID, class ident.Class, wait, run time.Duration)
	Done(now time.Time, request Request, outcome Outcome)
}

// Request describes a request before it is admitted. Smaller classes are more
// important.
type Request struct {
	Service  ident.ServiceID
	Class    ident.Class
	Deadline time.Time
}

// Outcome says how an admitted request ended.
type Outcome struct {
	// Took is the time since the request was admitted.
	Took time.Duration
	// Late is set if the request ended after its deadline, and Overloaded if servers
	// with full queues refused parts of it.
	Late       bool
	Overloaded bool
}

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// Waiter is set if the request may wait for admission. EndWait must then be called
	// once the wait is over.
	Waiter *Waiter
	// Reason and RetryAfter are set unless the request is admitted. While it may wait,
	// they apply to a refusal after the wait.
	Reason     string
	RetryAfter time.Duration
}

// QueuingPolicy is a Policy whose requests may wait.
type QueuingPolicy interface {
	Policy
	// EndWait ends a wait and reports whether the request was admitted in the meantime.
	EndWait(waiter *Waiter) bool
	// State returns the load of each service.
	State() map[ident.ServiceID]ServiceState
	// Retain removes the services for which keep is false, except for those with
	// requests that run or wait.
	Retain(keep func(ident.ServiceID) bool)
}

// ServiceState is the load that is admitted to one service.
type ServiceState struct {
	// Bound is the limit on the requests that run at a time, in fractions of a request.
	Bound   float64 `json:"bound"`
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
}

// Options configures policies. The zero value gives the defaults.
type Options struct {
	// Concurrency limits the admitted requests of one service. 0 means 512.
	Concurrency int
	// MinConcurrency is the minimum of adaptive limits on the requests of one service.
	// 0 means 4.
	MinConcurrency int
}

// Policies is the registry of the admission plug-ins.
var Policies = plugin.NewRegistry[func(Options) Policy]("admission")

func (o Options) withDefaults() Options {
	if o.Concurrency == 0 {
		o.Concurrency = 512
	}
	if o.MinConcurrency == 0 {
		o.MinConcurrency = 4
	}
	return o
}

func refuse(reason string, retryAfter time.Duration) Decision {
	return Decision{Reason: reason, RetryAfter: retryAfter}
}
