package events_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/core/events"
)

func TestTraceLimitsLinesAndReportsDroppedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log, counts bytes.Buffer
		set := metrics.NewSet()
		r := events.New(slog.New(slog.NewTextHandler(&log, nil)), set)
		for range 100 {
			r.Trace("request_hedge", "id-1", "overdue")
		}
		r.Trace("request_refused", "id-2", "another kind has a budget of its own")
		require.Equal(t, 25, strings.Count(log.String(), "msg=request_hedge"))
		require.Equal(t, 1, strings.Count(log.String(), "subject=id-2"))
		time.Sleep(time.Second)
		r.Trace("request_hedge", "id-3", "overdue")
		require.Contains(t, log.String(), "subject=id-3 reason=overdue dropped=75")
		set.WritePrometheus(&counts)
		require.Contains(t, counts.String(), `samphirestair_decisions_total{kind="request_hedge"} 101`)
	})
}

// blockedWriter is a pipe whose reader stopped reading: writes never return.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) {
	select {}
}

func TestBlockedLogReaderDoesNotBlockWriters(t *testing.T) {
	w := events.NewWriter(blockedWriter{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		line := bytes.Repeat([]byte("x"), 1000)
		for range 1000 {
			_, _ = w.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		require.Fail(t, "writing to the log blocked")
	}
	require.Positive(t, w.Dropped())
	began := time.Now()
	w.Close(20 * time.Millisecond)
	require.Less(t, time.Since(began), time.Second)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	read, write := io.Pipe()
	w := events.NewWriter(write)
	go func() {
		for _, line := range []string{"one\n", "two\n", "three\n"} {
			_, _ = w.Write([]byte(line))
		}
		w.Close(time.Second)
		_ = write.Close()
	}()
	text, err := io.ReadAll(read)
	require.NoError(t, err)
	require.Equal(t, "one\ntwo\nthree\n", string(text))
}

// slowPipe is a non-blocking pipe that accepts at most 1000 bytes in every second
// write and returns EAGAIN for the rest.
type slowPipe struct {
	mu      sync.Mutex
	written []byte
	calls   int
}

func (n *slowPipe) Write(data []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	if n.calls%2 == 0 {
		return 0, syscall.EAGAIN
	}
	part := data[:min(len(data), 1000)]
	n.written = append(n.written, part...)
	if len(part) < len(data) {
		return len(part), syscall.EAGAIN
	}
	return len(part), nil
}

func (n *slowPipe) text() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return string(n.written)
}

// A full pipe accepts a part of a write. The rest must be written later, in order.
func TestFullPipeLosesNoLine(t *testing.T) {
	pipe := &slowPipe{}
	w := events.NewWriter(pipe)
	var want strings.Builder
	for i := range 300 {
		line := fmt.Sprintf("line %d of many\n", i)
		want.WriteString(line)
		_, _ = w.Write([]byte(line))
	}
	require.Eventually(t, func() bool { return pipe.text() == want.String() }, 5*time.Second, 10*time.Millisecond)
	require.Zero(t, w.Dropped())
}
