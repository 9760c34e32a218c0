package sender_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/sender"
)

func TestMapsAreNotToldByAnAnswerThatIsDropped(t *testing.T) {
	b := startBackend(t)
	b.set(func(b *backend) { b.hold = make(chan struct{}) })
	f := newFixture(t, b.address, sender.Options{})
	id := f.query(msgs.KindSearch, testWait)
	f.eventually(func() bool { works, _, _ := b.counts(); return works == 1 })
	// The maps change with the server's answer to the cancelled job, which goes to
	// nobody.
	b.set(func(b *backend) { b.maps = "7=0/1,8=0/1" })
	f.sender.HandleCancel(entry, msgs.Cancel{ID: id})
	require.Equal(t, msgs.StatusCancelled, f.answer().Status)
	f.eventually(func() bool { return f.state().InUse == 0 && f.state().Maps == "7=0/1,8=0/1" })
	f.query(msgs.KindSearch, testWait)
	require.Len(t, f.answer().Maps, 2)
}
