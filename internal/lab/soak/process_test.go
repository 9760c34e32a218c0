package soak_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/soak"
)

func TestProcessReportsWhichSignalsItHandles(t *testing.T) {
	for script, want := range map[string]bool{"trap '' USR1; sleep 9": true, "sleep 9; true": false} {
		p, err := soak.StartProcess([]string{"/bin/sh"}, []string{"-c", script}, filepath.Join(t.TempDir(), "log"), time.Second, func(*os.ProcessState, bool) {})
		require.NoError(t, err)
		handles := func() bool { return p.Handles(syscall.SIGUSR1) }
		if want {
			require.Eventually(t, handles, 5*time.Second, time.Millisecond)
		} else {
			require.Never(t, handles, 200*time.Millisecond, 10*time.Millisecond)
		}
		p.Close()
		require.False(t, handles(), "it has ended")
	}
}
