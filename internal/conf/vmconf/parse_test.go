package vmconf_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/conf/strict"
	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
)

func policyNames(kind string) []string {
	return map[string][]string{
		vmconf.KindReplica:   {"expect", "random"},
		vmconf.KindHedge:     {"budget", "none"},
		vmconf.KindAdmission: {"feasible", "queue"},
	}[kind]
}

func TestDefaults(t *testing.T) {
	s, err := vmconf.Load(filepath.Join("testdata", "short.ini"), vmconf.Options{PolicyNames: policyNames})
	require.NoError(t, err)
	require.Equal(t, "127.0.1.3:7003", s.AdminAddress())
	text, err := json.MarshalIndent(s, "", "  ")
	require.NoError(t, err)
	goldie.New(t).Assert(t, "short", text)
}

func TestAllFaultsAreReported(t *testing.T) {
	_, err := vmconf.Load(filepath.Join("testdata", "faults.ini"), vmconf.Options{PolicyNames: policyNames})
	var faults strict.Faults
	require.ErrorAs(t, err, &faults)
	goldie.New(t).Assert(t, "faults", []byte(err.Error()+"\n"))
}

func TestMissingFile(t *testing.T) {
	_, err := vmconf.Load(filepath.Join(t.TempDir(), "absent.ini"), vmconf.Options{})
	require.ErrorIs(t, err, os.ErrNotExist)
}
