package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

const (
	// maxLatency is the largest recorded latency in microseconds, latencyDigits
	// the number of significant decimal digits.
	maxLatency    = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 3
)

// collector collects the results of a run. It is safe for concurrent use.
type collector struct {
	deadline  time.Duration
	mu        sync.Mutex
	groups    map[groupKey]*group
	sendDelay *hdrhistogram.Histogram
	dropped   int
	err       error
}

// groupKey holds the attributes by which requests are grouped.
type groupKey struct {
	service string
	op      trace.Op
	class   string
}

// group counts the results of the requests with one groupKey.
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

// record records a duration in microseconds. Values out of the histogram's range
// are clamped, so recording cannot fail.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency))
}

// recordSendDelay records how long after its intended start a request was sent.
func (c *collector) recordSendDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record(c.sendDelay, delay)
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

// countDropped counts an arrival that was not sent because too many requests
// were in flight.
func (c *collector) countDropped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped++
}

// setError records an error of the load tool itself, which Run returns.
func (c *collector) setError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

func (g *group) add(res result, deadline time.Duration) {
	g.sent++
	g.attempts += res.attempts
	if res.failure != "" {
		g.failures[res.failure]++
		record(g.histogram, res.latency)
		return
	}
	g.outcomes[res.answer.Outcome]++
	g.countCoverage(res.answer)
	g.countWrongAnswers(res)
	if res.answer.Outcome == trace.OutcomeNotRun {
		return
	}
	record(g.histogram, res.latency)
	complete := res.answer.Outcome == trace.OutcomeFull || res.answer.Outcome == trace.OutcomeDone
	if complete && res.latency <= deadline {
		g.goodAnswers++
	}
}

func (g *group) countCoverage(a answer) {
	if a.Outcome == trace.OutcomeFull || a.Outcome == trace.OutcomePartial {
		g.answeredShards += a.Coverage.Answered
		g.totalShards += a.Coverage.Total
	}
}

// countWrongAnswers counts an answer that belongs to another request or holds
// hits of an index version other than its snapshot.
func (g *group) countWrongAnswers(res result) {
	key := res.answer.Answer.Key
	crossed := res.answer.Request != res.attempt.ID || (key != "" && key != res.attempt.Key)
	mixed := false
	for _, hit := range res.answer.Hits {
		crossed = crossed || hit.Doc.Query != res.attempt.Query
		mixed = mixed || hit.Doc.Version != res.answer.Snapshot
	}
	if crossed {
		g.crossed++
	}
	if mixed {
		g.mixed++
	}
}
