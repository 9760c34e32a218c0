package chaos_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/chaos"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestSeedDeterminesPlan(t *testing.T) {
	targets := chaos.Targets{
		VMs:      []ident.VMID{"vm-1", "vm-2", "vm-3"},
		Zones:    []ident.Zone{"vantaa", "espoo"},
		Servers:  []ident.ServerID{"agent-desk/s00a", "agent-desk/s00b"},
		Services: []ident.ServiceID{"agent-desk"},
	}
	var text strings.Builder
	for _, step := range chaos.Plan(7, time.Minute, chaos.All(), targets) {
		require.LessOrEqual(t, step.At+step.For, 54*time.Second)
		fmt.Fprintln(&text, step)
	}
	golden := "testdata/plan.golden"
	if *update {
		require.NoError(t, os.WriteFile(golden, []byte(text.String()), 0o600))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), text.String())
}

func TestParseRefusesUnknownFaults(t *testing.T) {
	_, err := chaos.Parse("kill-zone")
	require.ErrorIs(t, err, chaos.ErrUnknownFault)
}
