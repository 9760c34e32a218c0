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
	// coldFactor multiplies service times during cold start.
	coldFactor = 4
	// defaultDeadline applies to requests that state no deadline.
	defaultDeadline = 30 * time.Second
	// healthLag is the age at which the report of the health and load endpoints
	// is refreshed.
	healthLag = 2 * time.Second
)

// Options configures the backend servers of a host. Zero fields are replaced by
// defaults.
type Options struct {
	// Seed determines the sequence of random service times.
	Seed uint64
	// Mean is the mean service time of a warm server.
	Mean time.Duration
	// Sigma is the standard deviation of the logarithm of the service times,
	// which are log-normal.
	Sigma float64
	// Queue is the number of requests that may wait for a slot. The server sheds
	// further requests.
	Queue int
	// Recorder writes the history. It may be nil.
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
