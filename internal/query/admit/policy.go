// Package admit decides at the entry which requests are taken on. Policies are
// plug-ins without sockets, goroutines or timers.
package admit

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/kernel"
)

// Policy admits requests. Implementations are safe for concurrent use. Each
// admitted request must be ended with Done exactly once.
type Policy interface {
	Admit(now time.Time, request Request) Decision
	// Observe notes the time that a sub-request waited in an owner's queue and
	// ran at its server.
	Observe(now time.Time, service ident.ServiceID, class ident.Class, wait, run time.Duration)
	Done(now time.Time, request Request, outcome Outcome)
}

// Request is what is known of a request before it is admitted.
type Request struct {
	Service  ident.ServiceID
	Class    ident.Class
	Deadline time.Time
}

// Outcome says how an admitted request ended.
type Outcome struct {
	// Took is the time since it was admitted.
	Took time.Duration
	// Late is set if the deadline cut it short, and Overloaded if owners with
	// long queues refused parts of it.
	Late       bool
	Overloaded bool
}

// Decision is the answer to one request.
type Decision struct {
	Admitted bool
	// Waiter is set if the request may wait for admission. EndWait ends the wait.
	Waiter *Waiter
	// Reason and RetryAfter are set unless it is admitted.
	Reason     string
	RetryAfter time.Duration
}

// QueuingPolicy is a Policy whose requests may wait.
type QueuingPolicy interface {
	Policy
	// EndWait ends a wait and reports whether the request is admitted.
	EndWait(turn *Waiter) bool
	// State tells of each service how much is admitted.
	State() map[ident.ServiceID]ServiceState
	// Retain forgets the services for which keep is false, unless requests to them
	// run or wait.
	Retain(keep func(ident.ServiceID) bool)
}

// ServiceState is how much of a service's traffic is admitted.
type ServiceState struct {
	// Bound is the number of requests that may run at a time.
	Bound   float64 `json:"bound"`
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
}

// Options tunes policies. The zero value is useful.
type Options struct {
	// Concurrency is the largest number of admitted requests of one service.
	// 0 means 512.
	Concurrency int
	// MinConcurrency is the number of requests of one service that adaptive
	// limits never fall below. 0 means 4.
	MinConcurrency int
}

// Policies holds the admission plug-ins.
var Policies = kernel.NewRegistry[func(Options) Policy]("admission")

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
