package load

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// caller performs requests: it tries the addresses of entry VMs until one
// answers. It is safe for concurrent use.
type caller struct {
	options   Options
	directory *directory
	sender    *sender
	collector *collector
}

// call performs the request of an arrival. The latency counts from the
// intended start.
func (c *caller) call(a arrival, intendedStart time.Time) {
	request, err := c.newRequest(a)
	if err != nil {
		c.collector.setError(err)
		return
	}
	c.collector.recordSendDelay(time.Since(intendedStart))
	result := c.tryAddresses(request)
	result.latency = time.Since(intendedStart)
	c.collector.add(request, result)
}

// result is the result of a request after its last attempt.
type result struct {
	answer  answer
	failure trace.Failure
	// attempt is the last attempt, attempts the number of attempts.
	attempt  trace.Attempt
	attempts int
	latency  time.Duration
}

// newRequest returns the fields that all attempts of a request share. They
// include the idempotency key of an action.
func (c *caller) newRequest(a arrival) (trace.Attempt, error) {
	name := fmt.Sprintf("%s-%d-%d", c.options.Name, c.options.Seed, a.Number)
	request := trace.Attempt{Request: name, Op: a.Flow.Op, Service: a.Service, Class: a.Class}
	switch a.Flow.Op {
	case trace.OpSearch:
		request.Limit = c.options.Limit
	case trace.OpAction:
		key, err := uuid.NewV7()
		if err != nil {
			return request, errors.Wrap(err, "load: key")
		}
		request.Action, request.Key = a.Flow.Action, key.String()
	}
	return request, nil
}

// tryAddresses sends attempts of the request to different addresses until one
// answers, even with an invalid answer, or until Options.Attempts were made.
func (c *caller) tryAddresses(request trace.Attempt) result {
	r := result{failure: trace.FailureNoConnection, attempt: request}
	tried := coll.NewSet[string]()
	for r.attempts < c.options.Attempts {
		address, ok := c.directory.pick(tried)
		if !ok {
			break
		}
		tried.Add(address)
		r.attempts++
		r.attempt = nextAttempt(request, r.attempts, address)
		r.answer, r.failure = c.sendAttempt(r.attempt)
		if r.failure == "" || r.failure == trace.FailureInvalidAnswer {
			break
		}
	}
	return r
}

// nextAttempt returns the n-th attempt of a request. Its ID is unique and is part
// of a search's query and a lookup's key, so that the answer shows to which
// attempt it belongs.
func nextAttempt(request trace.Attempt, n int, address string) trace.Attempt {
	attempt := request
	attempt.ID = fmt.Sprintf("%s-%d", request.Request, n)
	attempt.Address = address
	switch attempt.Op {
	case trace.OpSearch:
		attempt.Query = "sofa " + attempt.ID
	case trace.OpLookup:
		attempt.Key = "booking-" + attempt.ID
	}
	return attempt
}

// sendAttempt sends one attempt and records its start and end.
func (c *caller) sendAttempt(attempt trace.Attempt) (answer, trace.Failure) {
	started := attempt
	c.options.Recorder.Record(trace.Event{Kind: trace.KindStarted, Attempt: &started})
	a, failure := c.sender.send(attempt)
	if a.moveOn && c.options.MoveOn {
		c.directory.expire()
	}
	attempt.Failure = failure
	if failure == "" {
		a.copyTo(&attempt)
	}
	c.options.Recorder.Record(trace.Event{Kind: trace.KindEnded, Attempt: &attempt})
	return a, failure
}
