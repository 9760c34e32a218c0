package logs_test

import (
	"bytes"
	"compress/gzip"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/ops/logs"
)

// The log in testdata holds lines that VMs wrote during incidents.
func TestExplain(t *testing.T) {
	for name, id := range map[string]string{
		"refused": "d137a8efba815b01",
		"partial": "0e1438f4f4fbc6d1",
		"broken":  "eaeb252374d874be",
		"absent":  "0000000000000000",
	} {
		t.Run(name, func(t *testing.T) {
			lines, err := logs.ReadFile(filepath.Join("testdata", "day.log"), id)
			require.NoError(t, err)
			var text bytes.Buffer
			require.NoError(t, logs.Explain(&text, id, lines))
			goldie.New(t).Assert(t, name, text.Bytes())
		})
	}
}

// A store that came back from an older copy may be why a request was refused.
func TestExplainShowsTheEraOfTheStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vm.log")
	log := `{"time":"2026-12-04T05:00:00Z","msg":"store_era","vm":"vm-1","subject":"store","reason":"it came back from an older copy","era":3}
{"time":"2026-12-04T05:00:01Z","msg":"store_era","vm":"vm-2","subject":"store","reason":"it came back from an older copy","era":3}
{"time":"2026-12-04T05:00:02Z","msg":"request_refused","vm":"vm-1","subject":"r1","reason":"no route known"}
{"time":"2026-12-04T05:00:09Z","msg":"request_refused","vm":"vm-1","subject":"r2","reason":"no route known"}
`
	require.NoError(t, os.WriteFile(path, []byte(log), 0o600))
	lines, err := logs.ReadFile(path, "r1")
	require.NoError(t, err)
	var text bytes.Buffer
	require.NoError(t, logs.Explain(&text, "r1", lines))
	goldie.New(t).Assert(t, "era", text.Bytes())
	lines, err = logs.ReadFile(path, "r2")
	require.NoError(t, err)
	require.Len(t, lines, 1, "the era changed long before")
}

func TestReadCompressedLog(t *testing.T) {
	plain, err := os.ReadFile(filepath.Join("testdata", "day.log"))
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "day.log.gz")
	file, err := os.Create(path)
	require.NoError(t, err)
	writer := gzip.NewWriter(file)
	_, err = writer.Write(plain)
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	require.NoError(t, file.Close())
	lines, err := logs.ReadFile(path, "0e1438f4f4fbc6d1")
	require.NoError(t, err)
	require.Len(t, lines, 5)
}

// The log holds lines of two VMs that were killed and restarted while backend servers
// failed.
func TestTimelineOfARestart(t *testing.T) {
	var timeline logs.Timeline
	require.NoError(t, timeline.AddFile(filepath.Join("testdata", "restart.log")))
	var text bytes.Buffer
	require.NoError(t, timeline.Write(&text))
	goldie.New(t).Assert(t, "restart", text.Bytes())
}

func TestTimelineCountsDroppedEvents(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vm.log")
	log := `{"time":"2026-12-04T05:00:00Z","msg":"attempt_failed","vm":"vm-1","subject":"r1","reason":"reset","dropped":7}
vm-1 | {"time":"2026-12-04T05:00:00.5Z","msg":"attempt_failed","vm":"vm-1","subject":"r2","reason":"reset"}
no line of ours {"time":"2026-12-04T05:00:00Z"}
`
	require.NoError(t, os.WriteFile(path, []byte(log), 0o600))
	var timeline logs.Timeline
	require.NoError(t, timeline.AddFile(path))
	var text bytes.Buffer
	require.NoError(t, timeline.Write(&text))
	require.Contains(t, text.String(), "05:00:00  0        0       0     0        0     9       0        0\n")
}

// Guards against a tenant whose refusals can't be told from those of others, and against counts that
// hide that lines were left out.
func TestTimelineCountsByTenant(t *testing.T) {
	var timeline logs.Timeline
	require.NoError(t, timeline.AddFile(filepath.Join("testdata", "tenants.log")))
	var text bytes.Buffer
	require.NoError(t, timeline.Write(&text))
	goldie.New(t).Assert(t, "tenants", text.Bytes())
}

// Guards against a request over its tenant's quota that seems to have been answered.
func TestExplainTellsThatARequestIsOverTheQuota(t *testing.T) {
	lines, err := logs.ReadFile(filepath.Join("testdata", "tenants.log"), "r1")
	require.NoError(t, err)
	var text bytes.Buffer
	require.NoError(t, logs.Explain(&text, "r1", lines))
	goldie.New(t).Assert(t, "quota", text.Bytes())
}

func TestEmptyTimeline(t *testing.T) {
	var timeline logs.Timeline
	require.Error(t, timeline.AddFile(filepath.Join(t.TempDir(), "absent.log")))
	var text bytes.Buffer
	require.NoError(t, timeline.Write(&text))
	require.Equal(t, "no decision in these logs\n", text.String())
}
