package boot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/boot"
)

func TestSuspendedExcludesRunningTime(t *testing.T) {
	before := boot.Suspended()
	time.Sleep(50 * time.Millisecond)
	require.InDelta(t, before, boot.Suspended(), float64(10*time.Millisecond))
}
