package sender_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/sender"
)

// Guards against counting maps as reported if the answer with them goes to a
// cancelled job and is dropped.
func TestDroppedAnswerDoesNotCountAsAReportOfMaps(t *testing.T) {
	b := startBackend(t)
	b.set(func(b *backend) { b.hold = make(chan struct{}) })
	f := newFixture(t, b.address, sender.Options{})
	id := f.query(msgs.KindSearch, testWait)
	f.eventually(func() bool { requests, _, _ := b.counts(); return requests == 1 })
	// The server reports the new maps in its answer to the cancelled job.
	b.set(func(b *backend) { b.maps = "7=0/1,8=0/1" })
	f.sender.HandleCancel(entry, msgs.Cancel{ID: id})
	require.Equal(t, msgs.StatusCancelled, f.answer().Status)
	f.eventually(func() bool { return f.state().InUse == 0 && f.state().Maps == "7=0/1,8=0/1" })
	f.query(msgs.KindSearch, testWait)
	require.Len(t, f.answer().Maps, 2)
}
