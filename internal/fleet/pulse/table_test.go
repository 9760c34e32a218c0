package pulse_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/pulse"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// run looks at the peers for a while; those that are not silent are heard at
// each look.
func run(t *pulse.Detector, from time.Time, d time.Duration, peers []ident.VMID, silent ...ident.VMID) (time.Time, []ident.VMID) {
	var lost []ident.VMID
	now := from
	for ; now.Sub(from) < d; now = now.Add(200 * time.Millisecond) {
		for _, vm := range peers {
			if len(silent) == 0 || !contains(silent, vm) {
				t.RecordHeartbeat(now, vm)
			}
		}
		l, _ := t.Update(now, peers)
		lost = append(lost, l...)
	}
	return now, lost
}

func contains(list []ident.VMID, vm ident.VMID) bool {
	for _, one := range list {
		if one == vm {
			return true
		}
	}
	return false
}

func TestSilentPeerIsNoticedWithinASecond(t *testing.T) {
	table := pulse.NewDetector()
	peers := []ident.VMID{"a", "b", "c", "d"}
	now, lost := run(table, start, 3*time.Second, peers)
	require.Empty(t, lost)
	now, lost = run(table, now, 1200*time.Millisecond, peers, "b")
	require.Equal(t, []ident.VMID{"b"}, lost)
	require.True(t, table.Silent("b"))
	require.False(t, table.CutOff())
	run(table, now, 200*time.Millisecond, peers)
	require.False(t, table.Silent("b"))
}

func TestVMThatHearsAMinorityTakesItselfAsCutOff(t *testing.T) {
	table := pulse.NewDetector()
	peers := []ident.VMID{"a", "b", "c", "d"}
	now, _ := run(table, start, time.Second, peers)
	now, _ = run(table, now, 2*time.Second, peers, "a", "b")
	require.False(t, table.CutOff(), "three of five")
	run(table, now, 2*time.Second, peers, "a", "b", "c")
	require.True(t, table.CutOff(), "two of five")
	require.False(t, table.Silent("a"), "it can't tell who is gone")
}

func TestOwnPauseSaysNothingOfOthers(t *testing.T) {
	table := pulse.NewDetector()
	peers := []ident.VMID{"a", "b"}
	now, _ := run(table, start, time.Second, peers)
	lost, _ := table.Update(now.Add(5*time.Second), peers)
	require.Empty(t, lost)
}

func TestPeerThatIsNewIsGivenTime(t *testing.T) {
	table := pulse.NewDetector()
	now, _ := run(table, start, time.Second, []ident.VMID{"a"})
	lost, _ := table.Update(now, []ident.VMID{"a", "new"})
	require.Empty(t, lost)
	require.False(t, table.Silent("new"))
}
