package watch_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/faulty"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
	"github.com/samphirestair/samphirestair/internal/lab/watch"
)

// Guards against a serial that is recorded from an invalid response.
func TestInvalidResponsesAreNotRecorded(t *testing.T) {
	for name, response := range faulty.Responses("", `{"serial":5}`) {
		t.Run(name, func(t *testing.T) {
			// The watcher polls an accepted response again until the time is over.
			ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer stop()
			address, closed := faulty.Serve(t, func(string) string { return response })
			go func() {
				<-closed
				stop()
			}()
			history := &bytes.Buffer{}
			recorder := trace.NewRecorder(history, "watch")
			watch.Run(ctx, watch.Options{Targets: []watch.Target{{VM: "vm-a", AdminAddress: address}}, Interval: time.Millisecond, Timeout: time.Second, Recorder: recorder})
			require.NoError(t, recorder.Close())
			events, err := trace.Read(history)
			require.NoError(t, err)
			require.Empty(t, events)
		})
	}
}
