package beats

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against unbounded memory when datagrams come from any number of addresses, over
// time or at once.
func TestRecentSendersAreBounded(t *testing.T) {
	c, now := newRecentSenders(senderLifetime, maxSenders), time.Unix(0, 0)
	for i := range 10 * maxSenders {
		c.record(now, fmt.Sprint("10.0.0.1:", i))
		require.LessOrEqual(t, len(c.lastHeard), maxSenders)
	}
	require.Len(t, c.list(now), maxSenders)
	now = now.Add(senderLifetime + time.Second)
	c.record(now, "10.0.0.2:1")
	require.Equal(t, []string{"10.0.0.2:1"}, c.list(now))
}
