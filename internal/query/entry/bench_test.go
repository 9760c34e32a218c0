package entry_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/engine"
	"github.com/samphirestair/samphirestair/internal/query/entry"
)

// echoMesh answers each query immediately with one reply.
type echoMesh struct {
	fakeMesh
	shards uint32
	hits   []msgs.Hit
}

func (m *echoMesh) SendQuery(to view.Member, q msgs.Query) {
	reply := msgs.Reply{ID: q.ID, Incarnation: 9, Answers: make([]msgs.Answer, len(q.Items))}
	for i, item := range q.Items {
		answer := &reply.Answers[i]
		answer.Seq, answer.Server, answer.Shard, answer.Version = item.Seq, item.Server, item.Shard, q.Version
		answer.Hits, answer.Slots, answer.ServiceMicros = m.hits, 2, 1000
		if q.Version == 0 {
			answer.Status = msgs.StatusWrongVersion
			answer.Maps = []msgs.Holding{{Version: 1, Shard: item.Shard, Shards: m.shards}}
		}
	}
	m.entry.HandleReply(to.Process, reply)
}

// BenchmarkSearch measures the cost of a search in the entry, without network or
// servers: 210 shards with two replicas each, in groups of four servers.
func BenchmarkSearch(b *testing.B) {
	const shards, groupSize = 210, 4
	self := ident.Process{VM: "vm", Incarnation: 9}
	doc := &svcdoc.Document{Service: "s", Deadline: 1 << 40}
	current := &view.View{
		Admitting: true, Members: map[ident.VMID]view.Member{},
		GroupOf: map[ident.ServerID]ident.GroupID{}, Owners: map[ident.GroupID]ident.VMID{},
		Config: &view.Config{Services: map[ident.ServiceID]*svcdoc.Document{"s": doc}},
	}
	for i := range 2 * shards {
		id, vm := ident.ServerID(fmt.Sprint("s/", i)), ident.VMID(fmt.Sprint("vm", i/groupSize))
		doc.Servers = append(doc.Servers, svcdoc.Server{ID: id, Shard: ident.Shard(i % shards)})
		current.GroupOf[id], current.Owners[ident.GroupID(vm)] = ident.GroupID(vm), vm
		current.Members[vm] = view.Member{Process: ident.Process{VM: vm, Incarnation: 1}}
	}
	views := &view.Publisher{}
	views.Publish(current)
	mesh := &echoMesh{shards: shards}
	for i := range 10 {
		mesh.hits = append(mesh.hits, msgs.Hit{ID: fmt.Sprint("hit", i), Score: float64(10 - i), Doc: []byte("{}")})
	}
	e, err := entry.New(entry.Deps{Self: self, Views: views, Mesh: mesh}, entry.Options{})
	require.NoError(b, err)
	mesh.entry = e
	b.ReportAllocs()
	for b.Loop() {
		result := e.Search(b.Context(), entry.Request{Service: "s", Limit: 10})
		if result.Outcome != engine.OutcomeFull {
			b.Fatal(result.Outcome, result.Reason, result.AnsweredShards)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub-request")
}
