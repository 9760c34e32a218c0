package logs_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/ops/logs"
)

// An operator has only the id of a refused request. The evidence is on other VMs, under other
// ids.
func TestExplainShowsWhyARequestIsQuarantined(t *testing.T) {
	const refusedLog = `{"time":"2026-12-05T05:00:03Z","msg":"request_quarantined","vm":"vm-2","subject":"r9","reason":"quarantined: backend servers ended while they ran it","request":"9f7f","retry_after":"10m0s"}
{"time":"2026-12-05T05:00:03Z","msg":"request_answered","vm":"vm-2","subject":"r8","reason":"","request":"9f7f"}
`
	const evidenceLog = `{"time":"2026-12-05T05:00:01Z","msg":"server_ended","vm":"vm-1","subject":"r1","reason":"it had the request","server":"i-1","request":"9f7f"}
{"time":"2026-12-05T05:00:01.002Z","msg":"server_ended","vm":"vm-1","subject":"r1","reason":"it had the request","server":"i-2","request":"9f7f"}
{"time":"2026-12-05T05:00:01.003Z","msg":"server_ended","vm":"vm-1","subject":"r3","reason":"it had the request","server":"i-2","request":"0000"}
{"time":"2026-12-05T05:00:02Z","msg":"request_condemned","vm":"vm-1","subject":"9f7f","reason":"servers ended while they ran it","servers":["i-1","i-2","i-3"],"hold":"10m0s"}
`
	refusedPath, evidencePath := filepath.Join(t.TempDir(), "vm-2.log"), filepath.Join(t.TempDir(), "vm-1.log")
	require.NoError(t, os.WriteFile(refusedPath, []byte(refusedLog), 0o600))
	require.NoError(t, os.WriteFile(evidencePath, []byte(evidenceLog), 0o600))
	lines, err := logs.ReadFile(refusedPath, "r9")
	require.NoError(t, err)
	fingerprint := logs.Fingerprint(lines)
	require.Equal(t, "9f7f", fingerprint)
	evidence, err := logs.ReadEvidence(evidencePath, fingerprint)
	require.NoError(t, err)
	var text bytes.Buffer
	require.NoError(t, logs.Explain(&text, "r9", append(lines, evidence...)))
	goldie.New(t).Assert(t, "quarantined", text.Bytes())
	answered, err := logs.ReadFile(refusedPath, "r8")
	require.NoError(t, err)
	require.Empty(t, logs.Fingerprint(answered))
}
