package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSamples is the number of samples in the newer half of a window, after
	// which it replaces the older half.
	windowSamples = 4096
	// refreshSamples is the number of samples between two computations of the
	// quantile.
	refreshSamples = 64
	// maxLatency is the upper bound of recorded values.
	maxLatency = time.Minute
	// significantDigits is the precision of recorded values in decimal digits.
	significantDigits = 2
)

// window estimates one quantile of recent latencies from two histograms in microseconds,
// of which it drops the older one at intervals. It is not safe for concurrent use.
type window struct {
	percentile    float64
	older, newer  *hdrhistogram.Histogram
	sinceRefresh  int
	estimate      time.Duration
	hasEnoughData bool
}

func newWindow(quantile float64) *window {
	return &window{percentile: quantile * 100, older: newHistogram(), newer: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// quantile returns the current estimate. ok is false until there are enough
// samples for one.
func (w *window) quantile() (latency time.Duration, ok bool) {
	return w.estimate, w.hasEnoughData
}

func (w *window) add(latency time.Duration) {
	micros := min(max(latency.Microseconds(), 1), maxLatency.Microseconds())
	if err := w.newer.RecordValue(micros); err != nil {
		return
	}
	w.sinceRefresh++
	if w.sinceRefresh >= refreshSamples {
		w.refresh()
	}
	if w.newer.TotalCount() >= windowSamples {
		w.older, w.newer = w.newer, w.older
		w.newer.Reset()
	}
}

// refresh computes the estimate. While the newer histogram fills, its weight against the
// older one grows from 0 to 1.
func (w *window) refresh() {
	w.sinceRefresh = 0
	w.hasEnoughData = true
	latency := w.newer.ValueAtPercentile(w.percentile)
	if older := w.older.TotalCount(); older > 0 {
		weight := float64(w.newer.TotalCount()) / float64(windowSamples)
		previous := w.older.ValueAtPercentile(w.percentile)
		latency = int64(weight*float64(latency) + (1-weight)*float64(previous))
	}
	w.estimate = time.Duration(latency) * time.Microsecond
}
