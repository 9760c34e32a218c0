// Package choose selects the replica that serves a sub-request. Policies are
// plug-ins; each is a decision without sockets, goroutines or timers.
package choose

import (
	"math/rand/v2"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/kernel"
)

// Policy chooses among replicas. Implementations are safe for concurrent use.
type Policy interface {
	// Choose returns the index of the replica to use. candidates is not empty
	// and holds only servers that may receive work.
	Choose(now time.Time, candidates []Candidate) int
	// Sent notes that a sub-request goes to a server.
	Sent(now time.Time, server ident.ServerID)
	// Answered notes the answer to a sub-request.
	Answered(now time.Time, server ident.ServerID, sample Sample)
	// Abandoned notes that a sub-request was given up after the given time.
	Abandoned(now time.Time, server ident.ServerID, elapsed time.Duration)
	// Retain forgets the servers for which keep is false.
	Retain(keep func(ident.ServerID) bool)
}

// Candidate is a replica that may be chosen.
type Candidate struct {
	Server ident.ServerID
	// Penalty is added to the expected completion time to account for other costs of
	// reaching the server than time, such as traffic between zones.
	Penalty time.Duration
}

// Sample is what an answer told about its server.
type Sample struct {
	// Completed is set if the server ran the sub-request.
	Completed   bool
	ServiceTime time.Duration
	// Refused is set if it was not run. RetryAfter says when to come back, if
	// that was told.
	Refused    bool
	RetryAfter time.Duration
	// Queued and Slots describe the server. Slots is 0 if they were not told.
	Queued int
	Slots  int
}

// Options tunes policies. The zero value is useful.
type Options struct {
	// IntN returns a random number below n. nil means that of math/rand/v2.
	IntN func(n int) int
	// QueueDecay is the time in which what answers told of the queue loses
	// most of its weight. 0 means 200 ms.
	QueueDecay time.Duration
	// ServiceDecay is the time in which a server's service time returns most
	// of the way to the average while no answers arrive. 0 means 10 s.
	ServiceDecay time.Duration
	// StaleAfter is the age from which knowledge is compared between two
	// random replicas only. 0 means 1 s.
	StaleAfter time.Duration
}

// Policies holds the replica choice plug-ins.
var Policies = kernel.NewRegistry[func(Options) Policy]("replica choice")

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
