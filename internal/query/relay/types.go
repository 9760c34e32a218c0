// Package relay decides what is done with one forwarded request: which backend
// servers get it, when it is hedged or sent again, and when and how it is
// answered. A Query is a state machine without sockets, goroutines or timers.
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

// Replicas finds the backend servers of a service that may get requests now.
type Replicas interface {
	Replicas(service ident.ServiceID) []*roster.Replica
	// StayShare is the share of the requests to a service that VMs of a zone keep
	// in their zone.
	StayShare(service ident.ServiceID, zone ident.Zone) float64
}

// Env is what queries share. It is safe for concurrent use.
type Env struct {
	// Replicas is asked again for each attempt.
	Replicas func() Replicas
	Choose   choose.Policy
	// Zone is that of this VM. If it is empty, all zones are alike.
	Zone ident.Zone
	// Carries reports whether a VM of another zone can send for this one. nil means that
	// none can.
	Carries func(zone ident.Zone) bool
	// Budget bounds what is sent in addition, by service.
	Budget hedge.Policy
	// Latency tells when an attempt is overdue, by route.
	Latency hedge.Policy
	Health  *Health
	// Notices are what backend servers say of themselves.
	Notices *notice.Tracker
	// Cold spaces the requests to servers in cold start.
	Cold    *ColdGate
	Options Options
}

// Options tunes queries. The zero value gives the defaults.
type Options struct {
	// Partial lets a search be answered at the goal of its route with the parts
	// that have arrived, if they suffice.
	Partial bool
	// GoalMargin is kept from the goal beside the caller's overhead, for late
	// timers and the writing of the answer.
	GoalMargin time.Duration
	// HedgeShare is the largest part of the goal before a hedge is sent.
	HedgeShare float64
	// Stay is the part of a route's goal that an answer may be expected to take
	// longer from the VM's own zone than from another.
	Stay float64
	// RetryAfter is the shortest time after which a refused caller may return;
	// as much again is added at random.
	RetryAfter time.Duration
}

// Defaults of Options.
const (
	// defaultGoalMargin is a few times the delay of a timer on a busy VM.
	defaultGoalMargin = 6 * time.Millisecond
	// defaultHedgeShare leaves time for a second attempt before the goal.
	defaultHedgeShare = 0.4
	// defaultRetryAfter is about the time in which a restarted backend server
	// is noticed.
	defaultRetryAfter = 200 * time.Millisecond
)

// WithDefaults returns the options with the defaults filled in.
func (o Options) WithDefaults() Options {
	if o.GoalMargin == 0 {
		o.GoalMargin = defaultGoalMargin
	}
	if o.HedgeShare == 0 {
		o.HedgeShare = defaultHedgeShare
	}
	if o.RetryAfter == 0 {
		o.RetryAfter = defaultRetryAfter
	}
	return o
}

// Plan is what is known of a request when it arrives.
type Plan struct {
	Route *routes.Route
	// Service is the service that was picked for a request that is no search.
	Service ident.ServiceID
	// Arrived is the time of its arrival.
	Arrived time.Time
	// Overhead is the part of the goal that the caller spends outside this VM.
	Overhead time.Duration
	// Deadline is the time by which the caller wants the final answer.
	Deadline time.Time
}

// Send asks the driver to send one attempt.
type Send struct {
	// Shard and Attempt name the attempt in Answer.
	Shard, Attempt int
	Replica        *roster.Replica
	// Carried is set if a VM in the server's zone may send it for this one.
	Carried bool
	// Overdue is the time after which it will be hedged.
	Overdue time.Duration
	// Crosses is set if the server is in another zone than this VM.
	Crosses bool
	// Left is the time that the backend server may take.
	Left time.Duration
	// Wait is set if the attempt may wait for a connection, because no other
	// server has a free one.
	Wait bool
	// Reason says why it is sent.
	Reason string
}

// Denial is an attempt that was not sent because the budget did not bear it.
type Denial struct {
	Shard   int
	Service ident.ServiceID
	Reason  hedge.Reason
	// Spending is what decided.
	Spending hedge.Spending
}

// Reply tells what became of an attempt.
type Reply struct {
	Kind ReplyKind
	// Sample is what the answer told of its server.
	Sample choose.Sample
	// Reason explains a reply that is no success.
	Reason string
	// Misdirected is set if another server has the address.
	Misdirected bool
}

// ReplyKind says what became of an attempt.
type ReplyKind uint8

// Kinds of replies.
const (
	// Served is a usable answer.
	Served ReplyKind = iota
	// Faulty is an answer by which the backend server reports its own failure.
	Faulty
	// NotRun is a refusal of the backend server.
	NotRun
	// Unsent means that nothing was sent, for a reason that does not concern
	// the backend server.
	Unsent
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken means that the request may have run.
	Broken
)

// Outcome is the final answer to a query.
type Outcome struct {
	Verdict Verdict
	// Reason says what decided it.
	Reason string
	// RetryAfter is set for a refusal.
	RetryAfter time.Duration
	// Missing is the number of shards without a part.
	Missing int
	// Attempt is the attempt whose answer is passed on, for a request that is
	// no search and has the verdict Success.
	Attempt int
}

// Verdict is the kind of a final answer.
type Verdict uint8

// Verdicts.
const (
	// Success passes the answers of backend servers on.
	Success Verdict = iota
	// Refused means that the request has not run and will not.
	Refused
	// Failed means that it may have run and has no answer.
	Failed
	// TimedOut means that the time is over.
	TimedOut
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"success", "refused", "failed", "timed_out"}[v]
}
