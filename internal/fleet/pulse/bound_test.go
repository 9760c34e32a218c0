package pulse

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Datagrams may come from any number of addresses over time, and at once.
func TestContactsAreBounded(t *testing.T) {
	c, now := newContacts(), time.Unix(0, 0)
	for i := range 10 * maxContacts {
		c.heard(now, fmt.Sprint("10.0.0.1:", i))
		require.LessOrEqual(t, len(c.heardAt), maxContacts)
	}
	require.Len(t, c.list(now), maxContacts)
	now = now.Add(contactAge + time.Second)
	c.heard(now, "10.0.0.2:1")
	require.Equal(t, []string{"10.0.0.2:1"}, c.list(now))
}
