package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

const (
	// maxLatency and latencyDigits are the range and precision of latencies,
	// in microseconds and digits.
	maxLatency    = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 3
)

// collector counts results. It is safe for concurrent use.
type collector struct {
	deadline  time.Duration
	mu        sync.Mutex
	groups    map[groupKey]*group
	sendDelay *hdrhistogram.Histogram
	dropped   int
	err       error
}

// rowKey is what requests are grouped by.
type groupKey struct {
	service string
	op      trace.Op
	class   string
}

// row counts the results of one group.
type group struct {
	histogram      *hdrhistogram.Histogram
	outcomes       map[trace.Outcome]int
	failures       map[trace.Failure]int
	sent           int
	attempts       int
	goodAnswers    int
	answeredShards int
	totalShards    int
	crossed        int
	mixed          int
}

func newCollector(deadline time.Duration) *collector {
	return &collector{deadline: deadline, groups: map[groupKey]*group{}, sendDelay: newHistogram()}
}

func newGroup() *group {
	return &group{
		histogram: newHistogram(),
		outcomes:  map[trace.Outcome]int{},
		failures:  map[trace.Failure]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, latencyDigits)
}

// record records a duration. Values out of range are clamped, so that
// recording does not fail.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency))
}

// start notes by how much a request was sent after its intended start.
func (c *collector) recordSendDelay(late time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record(c.sendDelay, late)
}

// add counts the result of a request.
func (c *collector) add(request trace.Attempt, r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := groupKey{service: string(request.Service), op: request.Op, class: request.Class}
	if c.groups[key] == nil {
		c.groups[key] = newGroup()
	}
	c.groups[key].add(r, c.deadline)
}

// drop counts an arrival that was not sent because too many were under way.
func (c *collector) countDropped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped++
}

// broken notes a failure of the tool itself.
func (c *collector) setError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

func (r *group) add(res result, deadline time.Duration) {
	r.sent++
	r.attempts += res.attempts
	if res.failure != "" {
		r.failures[res.failure]++
		record(r.histogram, res.latency)
		return
	}
	r.outcomes[res.answer.Outcome]++
	r.countCoverage(res.answer)
	r.countWrongAnswers(res)
	if res.answer.Outcome == trace.OutcomeNotRun {
		return
	}
	record(r.histogram, res.latency)
	complete := res.answer.Outcome == trace.OutcomeFull || res.answer.Outcome == trace.OutcomeDone
	if complete && res.latency <= deadline {
		r.goodAnswers++
	}
}

func (r *group) countCoverage(a answer) {
	if a.Outcome == trace.OutcomeFull || a.Outcome == trace.OutcomePartial {
		r.answeredShards += a.Coverage.Answered
		r.totalShards += a.Coverage.Total
	}
}

// countFaults counts answers that belong to another request or mix versions.
func (r *group) countWrongAnswers(res result) {
	key := res.answer.Answer.Key
	crossed := res.answer.Request != res.attempt.ID || (key != "" && key != res.attempt.Key)
	mixed := false
	for _, hit := range res.answer.Hits {
		crossed = crossed || hit.Doc.Query != res.attempt.Query
		mixed = mixed || hit.Doc.Version != res.answer.Snapshot
	}
	if crossed {
		r.crossed++
	}
	if mixed {
		r.mixed++
	}
}
