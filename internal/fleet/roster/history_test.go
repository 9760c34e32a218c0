package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAgeOfWhatAnOlderCopyLacks(t *testing.T) {
	var h readHistory
	now := time.Unix(1000, 0)
	require.Zero(t, h.ageAfter(now, 0), "nothing was read")
	for i := range 10 {
		h.add(now.Add(time.Duration(i)*time.Second), uint64(100+10*i))
	}
	h.add(now.Add(time.Minute), 190)
	end := now.Add(9 * time.Second)
	require.Equal(t, 2*time.Second, h.ageAfter(end, 160))
	require.Equal(t, 3*time.Second, h.ageAfter(end, 155), "between two reads")
	require.Zero(t, h.ageAfter(end, 190))
	for i := range 2 * maxReadHistory {
		h.add(end, uint64(200+i))
	}
	require.Len(t, h.entries, maxReadHistory)
}
