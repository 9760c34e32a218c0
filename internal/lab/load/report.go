package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// Report is the result of a run.
type Report struct {
	// Seconds is the duration of the load in seconds.
	Seconds float64 `json:"seconds"`
	// Dropped counts arrivals that were not sent because too many requests
	// were in flight.
	Dropped int `json:"dropped"`
	// SendDelayP99 is the 99th percentile of the delay with which the load tool
	// itself sent requests, in microseconds. Latencies include the delay.
	SendDelayP99 int64 `json:"late_p99_us"`
	// Total summarizes all requests, Rows those of each service, kind and class.
	Total Row   `json:"total"`
	Rows  []Row `json:"rows"`
}

// Row summarizes a group of requests. Latencies are in microseconds from the
// intended start of a request to its answer or, without an answer, to its
// failure. Requests answered with "not run" are excluded.
type Row struct {
	Service  string                `json:"service,omitempty"`
	Op       trace.Op              `json:"op,omitempty"`
	Class    string                `json:"class,omitempty"`
	Sent     int                   `json:"sent"`
	Attempts int                   `json:"attempts"`
	Outcomes map[trace.Outcome]int `json:"outcomes"`
	Failures map[trace.Failure]int `json:"failures"`
	// Goodput is the number of complete answers within the deadline per second.
	Goodput float64 `json:"goodput"`
	// Coverage is the fraction of shards that answered, over all searches with
	// a full or partial answer.
	Coverage float64 `json:"coverage"`
	P50      int64   `json:"p50_us"`
	P90      int64   `json:"p90_us"`
	P99      int64   `json:"p99_us"`
	P999     int64   `json:"p999_us"`
	Max      int64   `json:"max_us"`
	// Crossed counts answers that belong to another request, Mixed answers with
	// hits of an index version other than the stated one.
	Crossed int `json:"crossed"`
	Mixed   int `json:"mixed"`
}

// report summarizes the results of a run of the given duration.
func (c *collector) report(elapsed time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := Report{Seconds: elapsed.Seconds(), Dropped: c.dropped, SendDelayP99: c.sendDelay.ValueAtQuantile(99)}
	total := newGroup()
	for key, g := range c.groups {
		total.merge(g)
		out := g.summary(elapsed)
		out.Service, out.Op, out.Class = key.service, key.op, key.class
		report.Rows = append(report.Rows, out)
	}
	slices.SortFunc(report.Rows, compareRows)
	report.Total = total.summary(elapsed)
	return report
}

func compareRows(a, b Row) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Op, b.Op),
		cmp.Compare(a.Class, b.Class),
	)
}

func (g *group) merge(other *group) {
	g.histogram.Merge(other.histogram)
	g.sent += other.sent
	g.attempts += other.attempts
	g.goodAnswers += other.goodAnswers
	g.answeredShards += other.answeredShards
	g.totalShards += other.totalShards
	g.crossed += other.crossed
	g.mixed += other.mixed
	for outcome, n := range other.outcomes {
		g.outcomes[outcome] += n
	}
	for failure, n := range other.failures {
		g.failures[failure] += n
	}
}

func (g *group) summary(elapsed time.Duration) Row {
	out := Row{
		Sent:     g.sent,
		Attempts: g.attempts,
		Outcomes: g.outcomes,
		Failures: g.failures,
		Crossed:  g.crossed,
		Mixed:    g.mixed,
	}
	out.fillLatencies(g.histogram)
	if elapsed > 0 {
		out.Goodput = float64(g.goodAnswers) / elapsed.Seconds()
	}
	if g.totalShards > 0 {
		out.Coverage = float64(g.answeredShards) / float64(g.totalShards)
	}
	return out
}

func (r *Row) fillLatencies(h *hdrhistogram.Histogram) {
	r.P50 = h.ValueAtQuantile(50)
	r.P90 = h.ValueAtQuantile(90)
	r.P99 = h.ValueAtQuantile(99)
	r.P999 = h.ValueAtQuantile(99.9)
	r.Max = h.Max()
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "service\tkind\tclass\tsent\tfull\tpartial\tdone\tnot run\tunknown\tfailed\t"+
		"good/s\tcoverage\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tcrossed\tmixed")
	for _, row := range r.Rows {
		row.writeText(table)
	}
	total := r.Total
	total.Service = "all"
	total.writeText(table)
	_, _ = fmt.Fprintf(table, "%.1f s, %d dropped, sent late by p99 %s ms\n", r.Seconds, r.Dropped, millis(r.SendDelayP99))
	return table.Flush()
}

func (r Row) writeText(w io.Writer) {
	failed := 0
	for _, n := range r.Failures {
		failed += n
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.4f\t%s\t%s\t%s\t%s\t%d\t%d\n",
		r.Service, r.Op, r.Class, r.Sent,
		r.Outcomes[trace.OutcomeFull], r.Outcomes[trace.OutcomePartial], r.Outcomes[trace.OutcomeDone],
		r.Outcomes[trace.OutcomeNotRun], r.Outcomes[trace.OutcomeUnknown], failed,
		r.Goodput, r.Coverage, millis(r.P50), millis(r.P90), millis(r.P99), millis(r.P999), r.Crossed, r.Mixed)
}

func millis(micros int64) string {
	return fmt.Sprintf("%.2f", float64(micros)/1000)
}
