package events_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/samphirestair/samphirestair/internal/core/events"
)

// BenchmarkTrace logs decisions about requests with the attributes that VMs use.
func BenchmarkTrace(b *testing.B) {
	r := events.New(events.NewLogger(io.Discard, slog.LevelInfo).With(slog.String("vm", "vm-1")), metrics.NewSet())
	kinds := make([]string, 100)
	for i := range kinds {
		kinds[i] = "request_" + string(rune('a'+i/26)) + string(rune('a'+i%26))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Trace(kinds[i%len(kinds)], "9c41d07be2a35f68", "attempt overdue or unanswered", slog.Int("shard", 7),
			slog.String("server", "i-0a4ba8b1dd"), slog.Bool("crosses", true), slog.Duration("left", 123456*time.Microsecond), slog.String("route", "agent-desk"))
	}
}
