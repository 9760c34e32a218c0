package fwconf_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/conf/fwconf"
)

const requiredSettings = `[vm]
id = vm-1
zone = vantaa
[listen]
callers = 10.0.0.1:8104
directory = 10.0.0.1:8100
ready = 10.0.0.1:8108
peers = 10.0.0.1:7380
admin = 10.0.0.1:9140
[depot]
url = http://10.0.0.9:8102
`

func TestDefaults(t *testing.T) {
	s, err := fwconf.Parse([]byte(requiredSettings))
	require.NoError(t, err)
	require.EqualValues(t, 256<<20, s.VM.Memory)
	require.Equal(t, 6*time.Second, s.VM.StopBound)
	require.False(t, s.Answers.Partial)
	require.InDelta(t, 0.1, s.RetryBudget.Share, 0)
	require.Equal(t, fwconf.Rollout{Share: 0.1, Slack: 50, Back: 5 * time.Second}, s.Rollout)
}

// Guards against a file from deploy/tier.ini that is refused where the platform names no
// bounds of quotas, or names them as it does today.
func TestQuotaSectionMayBeEmpty(t *testing.T) {
	s, err := fwconf.Parse([]byte(requiredSettings + "[quota]\n\n"))
	require.NoError(t, err)
	require.Equal(t, fwconf.Quota{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, s.Quota)
	s, err = fwconf.Parse([]byte(requiredSettings + "[quota]\n\nwindow = 4s\n\noverage = 0.2\nslack = 30\n"))
	require.NoError(t, err)
	require.Equal(t, fwconf.Quota{Window: 4 * time.Second, Overage: 0.2, Slack: 30}, s.Quota)
}

// Guards against settings that differ between what the platform runs and what review/ starts:
// review/ renders plain placeholders only.
func TestTemplatesAgree(t *testing.T) {
	plain, err := os.ReadFile("../../../deploy/forward.ini")
	require.NoError(t, err)
	full, err := os.ReadFile("../../../deploy/tier.ini")
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(full), string(plain)))
	require.NotContains(t, string(plain), "{{#")
}

func TestFaultsNameLineAndKey(t *testing.T) {
	_, err := fwconf.Parse([]byte(requiredSettings + "[extra]\nshare = 2\nslak = 3\n[log]\nlevel = loud\n"))
	require.Error(t, err)
	for _, word := range []string{"line 13", "share", "slak", "slack", "level"} {
		require.ErrorContains(t, err, word)
	}
}
