package load_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/faulty"
	"github.com/samphirestair/samphirestair/internal/lab/load"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// Guards against an invalid response that counts as the answer to a request, which hides that VMs
// send such responses.
func TestInvalidResponsesAreNoAnswers(t *testing.T) {
	responses := slices.Collect(maps.Values(faulty.Responses("", `{"outcome":"done"}`)))
	var next atomic.Int64
	var address string
	address, _ = faulty.Serve(t, func(head string) string {
		if !strings.Contains(head, "/v1/addresses") {
			return responses[int(next.Add(1))%len(responses)]
		}
		list, err := json.Marshal(map[string]any{"addresses": []string{address}, "lifetime_ms": 60_000})
		require.NoError(t, err)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	})
	mix, err := load.ParseMix("desk:action/book=1000")
	require.NoError(t, err)
	var history bytes.Buffer
	recorder := trace.NewRecorder(&history, "load")
	report, err := load.Run(t.Context(), load.Options{
		Entries: []string{address}, Mixes: []load.Mix{mix}, Duration: 500 * time.Millisecond, Deadline: time.Second, Recorder: recorder,
	})
	require.NoError(t, err)
	require.NoError(t, recorder.Close())
	require.Greater(t, int(next.Load()), len(responses))
	require.Empty(t, report.Total.Outcomes)
}

// Guards against addresses of VMs from an invalid response.
func TestInvalidResponsesNameNoAddresses(t *testing.T) {
	mix, err := load.ParseMix("desk:action/book=1000")
	require.NoError(t, err)
	for name, response := range faulty.Responses("", `{"addresses":["127.0.0.1:1"],"lifetime_ms":60000}`) {
		t.Run(name, func(t *testing.T) {
			address, _ := faulty.Serve(t, func(string) string { return response })
			_, err := load.Run(t.Context(), load.Options{Entries: []string{address}, Mixes: []load.Mix{mix}, Duration: time.Millisecond})
			require.Error(t, err)
		})
	}
}
