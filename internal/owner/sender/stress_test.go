package sender_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/sender"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// misbehave sheds some requests at random, closes some connections, and answers
// some requests with broken JSON or with the id of another request.
func misbehave(ctx *fasthttp.RequestCtx) {
	time.Sleep(time.Duration(rand.IntN(500)) * time.Microsecond)
	switch rand.IntN(20) {
	case 0:
		ctx.SetStatusCode(bknd.StatusShed)
	case 1:
		ctx.SetConnectionClose()
	case 2:
		ctx.SetBodyString("{")
	case 3:
		ctx.Response.Header.Set(bknd.HeaderRequest, "other")
	}
}

func TestEachItemGetsOneAnswerAndTheServerStaysWithinItsSlots(t *testing.T) {
	const queries, items, senders = 200, 4, 4
	b := startBackend(t)
	b.set(func(b *backend) { b.work = misbehave })
	f := newFixture(t, b.address, sender.Options{})
	f.replies.answers = make(chan msgs.Answer, queries*items*senders)
	var wg conc.WaitGroup
	for s := range uint64(senders) {
		wg.Go(func() {
			for i := range uint64(queries) {
				id := s*queries + i
				q := msgs.Query{
					ID: id, Version: 7, Class: uint8(rand.IntN(3)),
					BudgetMicros: time.Duration(rand.IntN(int(20 * time.Millisecond))).Microseconds(),
				}
				for item := range uint32(items) {
					q.Items = append(q.Items, msgs.Item{Seq: uint32(id)*items + item, Server: "desk/a"})
				}
				f.sender.HandleQuery(entry, q)
				if rand.IntN(3) == 0 {
					f.sender.HandleCancel(entry, msgs.Cancel{ID: id, Seqs: []uint32{uint32(id) * items}})
				}
				if rand.IntN(50) == 0 {
					f.holding.Renew(time.Now().Add(time.Millisecond))
					time.Sleep(2 * time.Millisecond)
					f.holding.Renew(time.Now().Add(time.Hour))
				}
			}
		})
	}
	wg.Wait()
	require.NoError(t, f.sender.Drain(t.Context()))
	seen := map[uint32]bool{}
	for range queries * items * senders {
		a := f.answer()
		require.False(t, seen[a.Seq])
		seen[a.Seq] = true
	}
	require.Empty(t, f.replies.answers)
	_, peak, _ := b.counts()
	require.LessOrEqual(t, peak, 2)
	f.eventually(func() bool { return f.state().InUse == 0 })
}
