package sleep_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/sleep"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		require.True(t, sleep.For(ctx, 2*time.Second))
		require.Equal(t, 2*time.Second, time.Since(start))
		require.False(t, sleep.For(ctx, time.Hour))
		require.Equal(t, 3*time.Second, time.Since(start))
		require.False(t, sleep.For(ctx, 0))
	})
}
