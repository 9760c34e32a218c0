// Package choose selects the replica that an attempt is sent to. Policies are plug-ins;
// they contain no sockets, goroutines or timers.
package choose

import (
	"math/rand/v2"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/plugin"
	"github.com/samphirestair/samphirestair/internal/query/cost"
)

// Policy chooses among the replicas of a service and learns from their answers.
// Implementations are safe for concurrent use.
type Policy interface {
	// Choose returns the index of the replica to use. candidates is not empty and holds
	// only servers that may receive requests.
	Choose(now time.Time, candidates []Candidate) int
	// Sent records that a sub-request was sent to a server.
	Sent(now time.Time, server ident.ServerID)
	// Answered records the answer to a sub-request, or its failure.
	Answered(now time.Time, server ident.ServerID, sample Sample)
	// Abandoned records that a sub-request was cancelled without an answer after the
	// elapsed time.
	Abandoned(now time.Time, server ident.ServerID, elapsed time.Duration)
	// Retain forgets the servers for which keep is false.
	Retain(keep func(ident.ServerID) bool)
}

// Candidate is a replica that may be chosen.
type Candidate struct {
	Server ident.ServerID
	// Penalty is added to the expected completion time. It stands for costs other than
	// time, such as traffic between zones.
	Penalty time.Duration
}

// Sample is what a policy learns from the result of a sub-request.
type Sample struct {
	// Completed is set if the server ran the sub-request, and ServiceTime is then how
	// long it took.
	Completed   bool
	ServiceTime time.Duration
	// Refused is set if the server refused the sub-request or failed to answer it, and
	// should be avoided for a while. RetryAfter is the time after which the server
	// wants requests again, or 0 if it didn't say.
	Refused    bool
	RetryAfter time.Duration
	// Queued is the number of sub-requests that run or wait at the server, and Slots
	// how many it can run at a time. Slots is 0 if the server reported neither.
	Queued int
	Slots  int
	// Slowdown is how long work takes at the server, in percent of the usual, or 0 if it
	// didn't report that. Age is the time since the server reported its load.
	Slowdown int
	Age      time.Duration
}

// CostPolicy is a Policy that tells requests apart by their likely cost. A sub-request that
// was recorded by SentFor is also ended by AnsweredFor or AbandonedFor, with the same time
// of sending.
type CostPolicy interface {
	Policy
	// ChooseFor is Choose for a request.
	ChooseFor(now time.Time, request cost.Request, candidates []Candidate) int
	SentFor(now time.Time, request cost.Request, server ident.ServerID)
	AnsweredFor(now time.Time, request cost.Request, server ident.ServerID, sentAt time.Time, sample Sample)
	AbandonedFor(now time.Time, request cost.Request, server ident.ServerID, sentAt time.Time)
	// CostFactors returns the ratio of the likely cost of a request to that of its route,
	// and the part of it that is due to the shard. Both are 1 while the server doesn't
	// report its slowdown.
	CostFactors(now time.Time, request cost.Request, server ident.ServerID) (total, shard float64)
	// CostState returns what is believed of servers and routes, for state dumps, and
	// CostSummary the part of it that metrics show.
	CostState(now time.Time) CostState
	CostSummary(now time.Time) CostState
}

// Options configures policies. The zero value gives the defaults.
type Options struct {
	// IntN returns a random number below n. It is called concurrently if the policy is. nil means
	// rand.IntN of math/rand/v2.
	IntN func(n int) int
	// QueueDecay is the time constant of the exponential decay of what servers reported
	// of their queues. 0 means 200 ms.
	QueueDecay time.Duration
	// ServiceDecay is the time constant with which a server's service time returns to
	// the average of all servers, and its failure share to 0, while no answers arrive.
	// 0 means 10 s.
	ServiceDecay time.Duration
	// StaleAfter is the age of the data about any replica above which only two random
	// replicas are compared. 0 means 1 s.
	StaleAfter time.Duration
}

// Policies is the registry of the replica choice plug-ins.
var Policies = plugin.NewRegistry[func(Options) Policy]("replica choice")

func (o Options) withDefaults() Options {
	if o.IntN == nil {
		o.IntN = rand.IntN
	}
	if o.QueueDecay == 0 {
		o.QueueDecay = 200 * time.Millisecond
	}
	if o.ServiceDecay == 0 {
		o.ServiceDecay = 10 * time.Second
	}
	if o.StaleAfter == 0 {
		o.StaleAfter = time.Second
	}
	return o
}
