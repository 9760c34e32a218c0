package server

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// Defaults of Options.
const (
	defaultMean  = 4 * time.Millisecond
	defaultSigma = 0.5
	defaultQueue = 8
)

const (
	// coldFactor is the ratio of service times in cold start to warm ones.
	coldFactor = 4
	// defaultDeadline bounds requests that state no deadline.
	defaultDeadline = 30 * time.Second
	// claimLag is the age of what the health and load endpoints claim.
	claimLag = 2 * time.Second
)

// Options adjusts the backend servers of a host. The zero value gives the
// defaults.
type Options struct {
	// Seed makes the service times repeatable.
	Seed uint64
	// Mean is the mean service time of a warm server.
	Mean time.Duration
	// Sigma is the spread of the log-normal service times.
	Sigma float64
	// Queue is the number of requests that wait for a slot before a server
	// sheds.
	Queue int
	// Recorder receives the history. It may be nil.
	Recorder *trace.Recorder
}

func (o Options) withDefaults() Options {
	o.Mean = coll.Positive(o.Mean, defaultMean)
	o.Sigma = coll.Positive(o.Sigma, defaultSigma)
	o.Queue = coll.Positive(o.Queue, defaultQueue)
	return o
}

func hash64(text string) uint64 {
	return xxhash.Sum64String(text)
}
