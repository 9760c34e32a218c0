package trace_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// FuzzRead checks that every history that can be read can be recorded and read
// again with the same times and kinds.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"at_ns":1,"process":"p","kind":"x"}` + "\n"))
	f.Add([]byte("\n \n" + `{"at_ns":1,"work":{"server":"s/a","request":"r","shards":2}}` + "\n" + `{"at_ns":`))
	f.Add([]byte(`{"at_ns":"1"}` + "\n"))
	f.Add([]byte("null\n[]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		history, err := trace.Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		var buffer bytes.Buffer
		recorder := trace.NewRecorder(&buffer, "p")
		for i := range history {
			history[i].Process = "p"
			history[i].At = max(history[i].At, 1)
			recorder.Record(history[i])
		}
		require.NoError(t, recorder.Close())
		again, err := trace.Read(&buffer)
		require.NoError(t, err)
		require.Len(t, again, len(history))
		for i := range again {
			require.Equal(t, history[i].At, again[i].At)
			require.Equal(t, history[i].Kind, again[i].Kind)
		}
	})
}
