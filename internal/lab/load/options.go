// Package load sends an open-loop load to entry VMs as callers would, and
// reports what came back.
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

// Options says what load to send. Entries and Mixes are required; the zero
// value of the others gives the defaults.
type Options struct {
	// Entries are the "ip:port" addresses of entry VMs that are asked for
	// addresses.
	Entries []string
	// Name begins the ids of requests, so that several load tools can run at
	// once.
	Name  string
	Mixes []Mix
	// Classes are the caller classes; each request draws one.
	Classes  []string
	Duration time.Duration
	Seed     uint64
	// Deadline is stated in each request.
	Deadline time.Duration
	// Grace is the time beyond the deadline after which a caller takes an
	// address for silent.
	Grace time.Duration
	// Attempts is the largest number of addresses that one request tries.
	Attempts int
	// MoveOn makes callers ask for addresses again when an answer tells them
	// to. Otherwise they keep the addresses for their lifetime.
	MoveOn bool
	// Limit is the number of hits that a search asks for.
	Limit int
	// InFlight is the largest number of requests under way. Arrivals beyond it
	// are counted as dropped.
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
