// Package load generates an open-loop load of requests to entry VMs, which it
// sends as callers do, and reports outcomes and latencies.
package load

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// Defaults of Options.
const (
	defaultName     = "load"
	defaultDeadline = 500 * time.Millisecond
	defaultGrace    = 100 * time.Millisecond
	defaultAttempts = 3
	defaultLimit    = 10
	defaultInFlight = 10000
)

// Options configures Run. Entries and Mixes are required, and without a Duration
// no requests are sent. Name, Deadline, Grace, Attempts, Limit and InFlight have
// defaults, for which their zero values stand.
type Options struct {
	// Entries are the "ip:port" addresses of the entry VMs from which callers
	// request the first list of addresses.
	Entries []string
	// Name is the prefix of request IDs. Load tools that run at the same time
	// need different names.
	Name  string
	Mixes []Mix
	// Classes are the caller classes; each request has a random one of them.
	Classes  []string
	Duration time.Duration
	Seed     uint64
	// Deadline is the time that each attempt states as its deadline. Goodput
	// counts the answers within it.
	Deadline time.Duration
	// Grace is how long a caller waits beyond the deadline before it gives up
	// an attempt.
	Grace time.Duration
	// Attempts is the largest number of addresses that one request is sent to.
	Attempts int
	// MoveOn makes callers request new addresses when an answer asks them to.
	// Otherwise they keep the addresses for their lifetime.
	MoveOn bool
	// Limit is the number of hits that a search asks for.
	Limit int
	// InFlight is the largest number of requests in flight. Arrivals beyond it
	// are not sent and are counted as dropped.
	InFlight int
	// Recorder receives the history. It may be nil.
	Recorder *trace.Recorder
}

func (o Options) withDefaults() Options {
	if o.Name == "" {
		o.Name = defaultName
	}
	o.Deadline = coll.Positive(o.Deadline, defaultDeadline)
	o.Grace = coll.Positive(o.Grace, defaultGrace)
	o.Attempts = coll.Positive(o.Attempts, defaultAttempts)
	o.Limit = coll.Positive(o.Limit, defaultLimit)
	o.InFlight = coll.Positive(o.InFlight, defaultInFlight)
	return o
}
