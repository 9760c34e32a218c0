package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/query/poison"
)

// A request counts as popular as long as few others were answered since.
func TestAnswersOfAPopularRequestAreRemembered(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	for i := range 5000 {
		now := after(time.Duration(i) * 10 * time.Millisecond)
		if i%500 == 0 {
			complete(l, now, "popular")
		}
		complete(l, now, fmt.Sprint("other-", i))
	}
	now := after(50 * time.Second)
	for server := range 3 {
		end(l, now, "popular", server, false, 1)
		end(l, now, "other-10", server, false, 1)
	}
	require.Equal(t, poison.Clear, state(l, now, "popular"))
	require.Equal(t, poison.Suspect, state(l, now, "other-10"), "forgotten")
}
