package events_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/core/events"
)

func TestSampleCountsAllAndLogsOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log, counts bytes.Buffer
		set := metrics.NewSet()
		r := events.New(slog.New(slog.NewTextHandler(&log, nil)), set)
		for range 5 {
			r.Sample("query_refused", "desk", "queue")
		}
		r.Sample("query_refused", "desk", "deadline")
		time.Sleep(time.Second)
		r.Sample("query_refused", "desk", "queue")
		require.Equal(t, 3, strings.Count(log.String(), "msg=query_refused"))
		require.Len(t, r.History(), 3)
		set.WritePrometheus(&counts)
		require.Contains(t, counts.String(), `samphirestair_decisions_total{kind="query_refused"} 7`)
	})
}

func TestNilRecorderDiscards(t *testing.T) {
	var r *events.Recorder
	r.Record("kind", "subject", "reason")
	r.Sample("kind", "subject", "reason")
	require.Empty(t, r.History())
}
