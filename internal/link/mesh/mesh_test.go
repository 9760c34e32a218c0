package mesh_test

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/block"
	"github.com/samphirestair/samphirestair/internal/link/mesh"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

const testTimeout = 10 * time.Second

type lostQuery struct {
	id   uint64
	sent bool
}

// endpoint is one VM of a test. Its handlers put what they receive into channels.
type endpoint struct {
	mesh      *mesh.Mesh
	member    view.Member
	blocklist *block.Blocklist
	memory    *budget.Budget
	queries   chan msgs.Query
	replies   chan msgs.Reply
	lost      chan lostQuery
}

func (e *endpoint) HandleQuery(_ ident.Process, q msgs.Query)   { e.queries <- q }
func (e *endpoint) HandleCancel(_ ident.Process, _ msgs.Cancel) {}
func (e *endpoint) HandleReply(_ ident.Process, r msgs.Reply)   { e.replies <- r }
func (e *endpoint) HandleLost(_ ident.VMID, q msgs.Query, sent bool) {
	e.lost <- lostQuery{id: q.ID, sent: sent}
}

func newEndpoint(t *testing.T, vm ident.VMID, ip string) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	process := ident.Process{VM: vm, Incarnation: 7}
	e := &endpoint{
		blocklist: &block.Blocklist{},
		memory:    budget.New(1 << 20),
		member:    view.Member{Process: process, Peer: listener.Addr().String()},
		queries:   make(chan msgs.Query, 10000),
		replies:   make(chan msgs.Reply, 10),
		lost:      make(chan lostQuery, 10),
	}
	e.mesh = mesh.New(process, ip, slog.New(slog.DiscardHandler), metrics.NewSet(), mesh.Options{
		Blocklist: e.blocklist, Transfers: 1, Budget: e.memory,
	})
	e.mesh.Attach(e, e)
	var served sync.WaitGroup
	served.Go(func() { _ = e.mesh.Serve(listener) })
	t.Cleanup(func() {
		_ = e.mesh.Shutdown(context.Background())
		served.Wait()
	})
	return e
}

func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		require.Fail(t, "nothing received")
		panic("unreachable")
	}
}

func TestQueryArrivesUnchanged(t *testing.T) {
	a := newEndpoint(t, "a", "127.0.9.1")
	b := newEndpoint(t, "b", "127.0.9.2")
	sent := msgs.Query{ID: 3, Service: "s", Body: []byte(`{}`), Items: []msgs.Item{{Seq: 1, Server: "s/x", Shard: 2}}}
	a.mesh.SendQuery(b.member, sent)
	require.Equal(t, sent, receive(t, b.queries))
}

func TestReplyForEarlierProcessIsDropped(t *testing.T) {
	a := newEndpoint(t, "a", "127.0.9.1")
	b := newEndpoint(t, "b", "127.0.9.2")
	a.mesh.SendReply(b.member, msgs.Reply{ID: 1, Incarnation: 6})
	a.mesh.SendReply(b.member, msgs.Reply{ID: 2, Incarnation: 7})
	require.Equal(t, uint64(2), receive(t, b.replies).ID)
}

// Guards against memory of long answers that is in no budget while they are passed on, or that is not
// given back once they were sent, could not be sent, or were handled.
func TestLongAnswersHoldMemoryUntilTheyArePassedOn(t *testing.T) {
	a := newEndpoint(t, "a", "127.0.9.1")
	b := newEndpoint(t, "b", "127.0.9.2")
	long := func() msgs.Reply {
		return msgs.Reply{Incarnation: 7, Answers: []msgs.Answer{{Body: make([]byte, 3*budget.SmallSize)}}}
	}
	gone := view.Member{Process: ident.Process{VM: "gone"}, Peer: "127.0.9.3:1"}
	for _, to := range []view.Member{a.member, b.member, gone} {
		a.mesh.SendReply(to, long())
	}
	for _, arrived := range []msgs.Reply{receive(t, a.replies), receive(t, b.replies)} {
		require.NotNil(t, arrived.Answers[0].Held)
		msgs.Release(arrived.Answers)
	}
	require.Eventually(t, func() bool { return a.memory.Held(budget.Answer)+b.memory.Held(budget.Answer) == 0 }, testTimeout, time.Millisecond)
}

func TestUnreachableReceiverIsReportedAsNotSent(t *testing.T) {
	a := newEndpoint(t, "a", "127.0.9.1")
	gone := view.Member{Process: ident.Process{VM: "gone"}, Peer: "127.0.9.3:1"}
	a.mesh.SendQuery(gone, msgs.Query{ID: 5})
	require.Equal(t, lostQuery{id: 5, sent: false}, receive(t, a.lost))
}

func TestQueryOnSilentConnectionMayBeSentAndConnectionIsReplaced(t *testing.T) {
	a := newEndpoint(t, "a", "127.0.9.1")
	b := newEndpoint(t, "b", "127.0.9.2")
	a.mesh.SendQuery(b.member, msgs.Query{ID: 1})
	receive(t, b.queries)
	a.blocklist.Set([]string{"127.0.9.2"})
	a.mesh.SendQuery(b.member, msgs.Query{ID: 2})
	require.Equal(t, lostQuery{id: 2, sent: true}, receive(t, a.lost))
	a.blocklist.Set(nil)
	a.mesh.SendQuery(b.member, msgs.Query{ID: 3})
	require.Equal(t, uint64(3), receive(t, b.queries).ID)
}

func TestDecodingGarbageFails(t *testing.T) {
	var batch msgs.Batch
	_, err := batch.UnmarshalMsg([]byte("garbage"))
	require.Error(t, err)
}

func BenchmarkQueries(b *testing.B) {
	t := &testing.T{}
	from := newEndpoint(t, "a", "127.0.9.1")
	to := newEndpoint(t, "b", "127.0.9.2")
	q := msgs.Query{ID: 1, Service: "agent-desk", Body: make([]byte, 100), Items: make([]msgs.Item, 4)}
	var received atomic.Int64
	b.ReportAllocs()
	for b.Loop() {
		from.mesh.SendQuery(to.member, q)
		if received.Add(1)%1000 == 0 {
			for range 1000 {
				<-to.queries
			}
		}
	}
}
