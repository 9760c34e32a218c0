// Package admit decides which requests a VM admits and which it refuses. Policies are
// plug-ins without sockets, goroutines or timers.
package admit

import (
	"math/rand/v2"
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
	// ByTenant is set if the configuration has tenants. Policies that treat tenants fairly
	// behave like "room" towards requests without it.
	ByTenant bool
	// Kind is the name of the request's route.
	Kind string
	// Tenant is the tenant of the caller, or empty if it has none.
	Tenant ident.TenantID
	// Wait is how long the caller still waits, and Timeout how long callers of the route wait
	// at most. Wait is 0 if the caller didn't say.
	Wait, Timeout time.Duration
	// Weight is the tenant's share of the capacity relative to other tenants: the rate of
	// its quota, or 1 if that is 0.
	Weight float64
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
	// Reason and RetryAfter are set if the request is refused.
	Reason     string
	RetryAfter time.Duration
}

// QueuingPolicy is a Policy whose requests may wait.
type QueuingPolicy interface {
	Policy
	// EndWait ends a wait and reports whether the request was admitted in the meantime.
	EndWait(waiter *Waiter) bool
	// RefuseWaiter returns the refusal of a request that was not admitted during its wait. It
	// must be called after EndWait, and only if the caller gets the refusal.
	RefuseWaiter(now time.Time, waiter *Waiter) Decision
	// RetryAfter returns the time after which the caller of an admitted request may retry that
	// full servers refused, or 0 if the policy has no estimate.
	RetryAfter(now time.Time, request Request) time.Duration
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
	// Classes holds the state by rank if the configuration has tenants, the most important
	// class first.
	Classes []ClassState `json:"classes,omitempty"`
}

// ClassState is the load of one class of a service.
type ClassState struct {
	Class   ident.Class `json:"class"`
	Running int         `json:"running"`
	Waiting int         `json:"waiting"`
	// Share is the share of the class's requests that were admitted lately.
	Share float64 `json:"share"`
	// Promises is the number of refused callers for whom room is kept.
	Promises int `json:"promises"`
	// Tenants is the number of tenants with a state.
	Tenants int `json:"tenants"`
	// Heaviest lists the tenants with the largest use relative to their weight.
	Heaviest []TenantState `json:"heaviest,omitempty"`
}

// TenantState is the load of one tenant in one class of a service.
type TenantState struct {
	Tenant  ident.TenantID `json:"tenant"`
	Weight  float64        `json:"weight"`
	Running int            `json:"running"`
	Waiting int            `json:"waiting"`
	// Requested and Admitted are decaying counts of requests.
	Requested float64 `json:"requested"`
	Admitted  float64 `json:"admitted"`
}

// Options configures policies. The zero value gives the defaults.
type Options struct {
	// Concurrency limits the admitted requests of one service. 0 means 512.
	Concurrency int
	// MinConcurrency is the minimum of adaptive limits on the requests of one service.
	// 0 means 4.
	MinConcurrency int
	// Source is the source of random numbers, which has to be safe for concurrent use if the
	// policy is used concurrently. nil means the global source of math/rand/v2.
	Source rand.Source
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
	if o.Source == nil {
		o.Source = globalSource{}
	}
	return o
}

// Reasons of refusals.
const (
	reasonFull      = "backend servers are at capacity"
	reasonWaited    = "not admitted in time"
	reasonLate      = "the goal can't be met"
	reasonDisplaced = "requests that go first need the room"
)

func refuse(reason string, retryAfter time.Duration) Decision {
	return Decision{Reason: reason, RetryAfter: retryAfter}
}
