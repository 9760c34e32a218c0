package audit_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/lab/audit"
	"github.com/samphirestair/samphirestair/internal/lab/load"
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// runTier sends a short load to a query tier with the given mistake and returns
// the merged history of its callers and backend servers.
func runTier(t *testing.T, m mistake) *audit.History {
	t.Helper()
	var served, sent bytes.Buffer
	servers, callers := trace.NewRecorder(&served, "servers"), trace.NewRecorder(&sent, "load")
	tr := startTier(t, m, server.Options{Mean: 100 * time.Microsecond, Recorder: servers})
	mix, err := load.ParseMix("desk:search=300,lookup=100,action=100")
	require.NoError(t, err)
	report, err := load.Run(context.Background(), load.Options{
		Entries: []string{tr.address}, Mixes: []load.Mix{mix}, Duration: 200 * time.Millisecond,
		Deadline: time.Minute, Limit: 5, Recorder: callers,
	})
	require.NoError(t, err)
	require.NotZero(t, report.Total.Sent)
	require.NoError(t, servers.Close())
	require.NoError(t, callers.Close())
	events, err := trace.Read(&served)
	require.NoError(t, err)
	others, err := trace.Read(&sent)
	require.NoError(t, err)
	events = append(events, others...)
	trace.Sort(events)
	return audit.New(events)
}

// TestCheckersFindMistakes runs query tiers with one mistake each and expects
// violations of exactly the properties that the mistake concerns.
func TestCheckersFindMistakes(t *testing.T) {
	expected := map[mistake][]string{
		none:       {},
		mixes:      {"coverage", "snapshot", "whole"},
		overstates: {"coverage", "whole"},
		crosses:    {"whole"},
		drops:      {"whole"},
		repeats:    {"once"},
		denies:     {"notrun"},
	}
	for m, properties := range expected {
		t.Run(string(m), func(t *testing.T) {
			h := runTier(t, m)
			broken := coll.NewSet[string]()
			for _, property := range audit.Names() {
				finding, err := audit.Check(property, h)
				require.NoError(t, err)
				if finding.Verdict == audit.Broken {
					broken.Add(property)
				}
			}
			require.Equal(t, properties, append([]string{}, coll.Sorted(broken)...))
		})
	}
}
