package kvsrv

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLeaseEndDeletesKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		lease := table.grant(10 * time.Second)
		_, outcome := table.swap("key", 0, []byte("a"), lease)
		require.Equal(t, written, outcome)
		time.Sleep(9 * time.Second)
		require.True(t, table.renew(lease, 10*time.Second))
		time.Sleep(9 * time.Second)
		entry, changed := table.get("key")
		require.Equal(t, "a", string(entry.value))
		<-changed
		entry, _ = table.get("key")
		require.Zero(t, entry.revision)
		require.False(t, table.renew(lease, time.Second))
		_, outcome = table.swap("key", 0, nil, lease)
		require.Equal(t, noLease, outcome)
	})
}
