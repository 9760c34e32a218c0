// Package relay decides how one request is forwarded: which backend servers get
// its sub-requests, when these are hedged or retried, and when the request is
// answered with what. A Query is a state machine without sockets, goroutines or
// timers; package runner drives it.
package relay

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

// Replicas looks up the backend servers of services.
type Replicas interface {
	// Replicas returns the backend servers of a service that may receive requests now.
	Replicas(service ident.ServiceID) []*roster.Replica
	// LocalRequestShare returns the share, from 0 to 1, of a service's requests that VMs
	// of a zone send to servers of their own zone.
	LocalRequestShare(service ident.ServiceID, zone ident.Zone) float64
}

// Env holds the policies and state that all queries of a VM share. It is safe for
// concurrent use.
type Env struct {
	// Replicas returns the current view of the backend servers. It is called
	// again for each attempt.
	Replicas func() Replicas
	Choose   choose.Policy
	// Zone is the availability zone of this VM. If it is empty, no zone is
	// preferred.
	Zone ident.Zone
	// CanDelegate reports whether a VM in another zone can send attempts on behalf
	// of this one. nil means that none can.
	CanDelegate func(zone ident.Zone) bool
	// Budget limits the hedges and retries of each service.
	Budget hedge.Policy
	// Latency estimates, by route, the delay after which an attempt is hedged.
	Latency hedge.Policy
	Health  *Health
	// TrialLoad returns the number of requests of this VM that a server has not answered, and
	// whether the end of the server could be put down to what it is sent now. nil means that
	// all servers are alike.
	TrialLoad func(server ident.ServerID) (requests int, certain bool)
	// Notices holds what backend servers announced: that they are leaving, or want
	// no requests for a while.
	Notices *notice.Tracker
	// Exposures limits the requests to new versions of services. nil means that there are no
	// roll-outs.
	Exposures *Exposures
	// Pace limits the rate of requests to servers that are in cold start or name a limit.
	Pace    *Pacer
	Options Options
}

// Options tunes queries. The zero value gives the defaults.
type Options struct {
	// Partial allows a search to be answered at the goal of its route without all
	// shards, if those that have answered reach the coverage of the route.
	Partial bool
	// GoalMargin is subtracted from the goal, in addition to the caller's overhead,
	// to allow for late timers and for writing the answer.
	GoalMargin time.Duration
	// MaxHedgeShare bounds the delay before a hedge, as a share of the goal.
	MaxHedgeShare float64
	// CrossZonePenalty is added to the expected completion time of servers in other
	// zones, as a share of the route's goal.
	CrossZonePenalty float64
	// RetryAfter is the minimum time after which a refused caller may retry. A
	// random time of up to the same length is added.
	RetryAfter time.Duration
}

// Defaults of Options.
const (
	// defaultGoalMargin is a few times the delay with which a timer fires on a busy VM.
	defaultGoalMargin = 6 * time.Millisecond
	// defaultHedgeShare leaves time for a second attempt before the goal.
	defaultHedgeShare = 0.4
	// defaultRetryAfter is about the time after which VMs know of a restarted
	// backend server.
	defaultRetryAfter = 200 * time.Millisecond
)

// WithDefaults returns the options with defaults in place of zero values. Partial
// and CrossZonePenalty stay as they are.
func (o Options) WithDefaults() Options {
	if o.GoalMargin == 0 {
		o.GoalMargin = defaultGoalMargin
	}
	if o.MaxHedgeShare == 0 {
		o.MaxHedgeShare = defaultHedgeShare
	}
	if o.RetryAfter == 0 {
		o.RetryAfter = defaultRetryAfter
	}
	return o
}

// RequestInfo describes a request that arrived from a caller.
type RequestInfo struct {
	Route *routes.Route
	// Service is the service chosen for a request that is not a search.
	Service ident.ServiceID
	// Tenant and Kind are what the cost of the request is learned by, beside its route.
	Tenant  ident.TenantID
	Kind    uint64
	Arrived time.Time
	// Overhead is the time, out of the goal, that the caller needs outside this VM.
	Overhead time.Duration
	// Deadline is the time by which the caller needs the final answer.
	Deadline time.Time
	// Counted is set if another VM has counted the request towards the retry budgets.
	Counted bool
	// Trial is set if the request may end the backend servers that run it: one server gets
	// it first, and the others once that has answered.
	Trial bool
	// Ends is the number of servers known to have ended while they ran repeats of the request,
	// and LastEnd when the last one did.
	Ends    int
	LastEnd time.Time
	// Trusted is set if servers have answered repeats of the request lately.
	Trusted bool
	// Suspect reports whether repeats of the request have ended servers meanwhile. nil means
	// that they have not.
	Suspect func() bool
}

// Send instructs the driver to send one attempt.
type Send struct {
	// Shard and Attempt identify the attempt in HandleReply and Abandon.
	Shard, Attempt int
	Replica        *roster.Replica
	// Delegated is set if a VM in the server's zone may send the attempt on behalf
	// of this one.
	Delegated bool
	// HedgeAfter is the time after which the attempt is hedged if it has no reply, or
	// Timeout if it is not hedged.
	HedgeAfter time.Duration
	// CrossZone is set if the server is in another zone than this VM.
	CrossZone bool
	// Timeout is the time left until the deadline of the request.
	Timeout time.Duration
	// AwaitConnection lets the attempt wait for a connection, because other servers
	// have no free one. It is set for all attempts of a shard but the first.
	AwaitConnection bool
	// Reason is "first", "hedge" or "retry".
	Reason string
}

// Denial is a hedge or retry that was not sent because the budget was exhausted.
type Denial struct {
	Shard   int
	Service ident.ServiceID
	Reason  hedge.Reason
	// BudgetState is the state of the budget right after the denial.
	BudgetState hedge.BudgetState
}

// Reply is the result of an attempt.
type Reply struct {
	Kind ReplyKind
	// Sample is the load and the service time that the server reported.
	Sample choose.Sample
	// Reason explains, for logs, why the attempt failed.
	Reason string
	// Misdirected is set if another server answered at the address.
	Misdirected bool
	// Gone is set if the process of the server has ended, and Ended if it did so while it had
	// the sub-request.
	Gone, Ended bool
}

// ReplyKind classifies the result of an attempt.
type ReplyKind uint8

// Kinds of replies.
const (
	// Served means that the server sent a usable answer.
	Served ReplyKind = iota
	// ServerError means that the server answered with an error of its own.
	ServerError
	// NotRun means that the server refused the sub-request without running it.
	NotRun
	// Unsent means that nothing was sent, for a reason that says nothing about
	// the health of the server.
	Unsent
	// Unreachable means that no connection to the server could be opened.
	Unreachable
	// Ambiguous means that there is no usable answer and the sub-request may have run.
	Ambiguous
)

// Outcome is the final answer to a query.
type Outcome struct {
	Verdict Verdict
	// Reason explains the verdict in logs.
	Reason string
	// RetryAfter is the time after which the caller may retry. It is set for a refusal.
	RetryAfter time.Duration
	// Missing is the number of shards of a search that the answer leaves out.
	Missing int
	// Attempt is the index of the attempt whose answer is passed on. It is set
	// for a request that is not a search and has the verdict Success.
	Attempt int
	// NothingSent is set for a refusal if no backend server received any attempt.
	NothingSent bool
	// Quarantined is set for a refusal if repeats of the request ended backend servers, so
	// that other VMs refuse it too.
	Quarantined bool
}

// Verdict classifies a final answer.
type Verdict uint8

// Verdicts.
const (
	// Success means that answers of backend servers are passed on.
	Success Verdict = iota
	// Refused means that no backend server has run the request or will run it.
	Refused
	// Failed means that the request may have run but has no answer.
	Failed
	// TimedOut means that the deadline has passed and the request may have run.
	TimedOut
)

// String returns the name that logs use.
func (v Verdict) String() string {
	return [...]string{"success", "refused", "failed", "timed_out"}[v]
}
