package beats_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/beats"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// run updates the detector every 200 ms for d. Before each update, the peers that are not
// silent send a heartbeat.
func run(detector *beats.Detector, from time.Time, d time.Duration, peers []ident.VMID, silent ...ident.VMID) (time.Time, []ident.VMID) {
	var lost []ident.VMID
	now := from
	for ; now.Sub(from) < d; now = now.Add(200 * time.Millisecond) {
		for _, vm := range peers {
			if len(silent) == 0 || !contains(silent, vm) {
				detector.RecordHeartbeat(now, vm)
			}
		}
		l, _ := detector.Update(now, peers)
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
	detector := beats.NewDetector()
	peers := []ident.VMID{"a", "b", "c", "d"}
	now, lost := run(detector, start, 3*time.Second, peers)
	require.Empty(t, lost)
	now, lost = run(detector, now, 1200*time.Millisecond, peers, "b")
	require.Equal(t, []ident.VMID{"b"}, lost)
	require.True(t, detector.Silent("b"))
	require.False(t, detector.CutOff())
	run(detector, now, 200*time.Millisecond, peers)
	require.False(t, detector.Silent("b"))
}

func TestVMThatHearsAMinorityIsCutOff(t *testing.T) {
	detector := beats.NewDetector()
	peers := []ident.VMID{"a", "b", "c", "d"}
	now, _ := run(detector, start, time.Second, peers)
	now, _ = run(detector, now, 2*time.Second, peers, "a", "b")
	require.False(t, detector.CutOff(), "three of five")
	run(detector, now, 2*time.Second, peers, "a", "b", "c")
	require.True(t, detector.CutOff(), "two of five")
	require.False(t, detector.Silent("a"), "a VM that is cut off can't tell")
}

func TestOwnStallMakesNoPeerSilent(t *testing.T) {
	detector := beats.NewDetector()
	peers := []ident.VMID{"a", "b"}
	now, _ := run(detector, start, time.Second, peers)
	lost, _ := detector.Update(now.Add(5*time.Second), peers)
	require.Empty(t, lost)
}

func TestNewPeerGetsTheWholeTimeout(t *testing.T) {
	detector := beats.NewDetector()
	now, _ := run(detector, start, time.Second, []ident.VMID{"a"})
	lost, _ := detector.Update(now, []ident.VMID{"a", "new"})
	require.Empty(t, lost)
	require.False(t, detector.Silent("new"))
}
