package audit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// Guards against an order of commands that passes because the check of it took too long.
func TestUndecidedOrderOfCommandsDoesNotHold(t *testing.T) {
	const overlapping = 40
	events := []trace.Event{{At: 2, Kind: trace.KindCommand, Command: &trace.Command{IssuedAt: 1, Result: trace.ResultRead, Serial: 1}}}
	for range overlapping {
		events = append(events, trace.Event{At: 3, Kind: trace.KindCommand, Command: &trace.Command{IssuedAt: 3, Result: trace.ResultUnknown}})
	}
	events = append(events, trace.Event{At: 6, Kind: trace.KindCommand, Command: &trace.Command{IssuedAt: 5, Result: trace.ResultRead, Serial: 1000}})
	var found tally
	New(events).checkRegister(&found, time.Millisecond)
	require.Equal(t, 1, found.violations)
	require.Contains(t, found.evidence[0], "not decided within 1ms")
}
