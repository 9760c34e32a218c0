package engine_test

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/engine"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/snap"
)

// tb is the part of testing.TB that *rapid.T has too.
type tb interface {
	require.TestingT
	Helper()
}

// counts implements engine.Counter.
type counts map[string]int

func (c counts) Count(kind string) { c[kind]++ }

func (c counts) Sample(kind, _, _ string, _ ...slog.Attr) { c[kind]++ }

// packet is a message in transit to or from an owner.
type packet struct {
	vm    ident.VMID // the owner
	query *msgs.Query
	reply *msgs.Reply
	// duplicated is set if the message may arrive more than once.
	duplicated bool
}

// harness simulates the owners and the network around one machine. Time advances
// only in advance.
type harness struct {
	now        time.Time
	start      time.Time
	doc        *svcdoc.Document
	view       *view.View
	table      *snap.Table
	holdings   map[string][]msgs.Holding
	machine    engine.Machine
	inTransit  []packet
	results    []engine.Result
	cancels    int
	executions int
	counts     counts
}

const (
	testShards   = 3
	testReplicas = 2
	testDeadline = 200 * time.Millisecond
)

// newHarness returns a harness of 3 shards with 2 replicas each. VM vm0 owns the
// first replica of each shard and vm1 the second. All servers hold version 1.
func newHarness(t tb, hedging string) *harness {
	t.Helper()
	h := &harness{
		now: time.Unix(1000, 0), start: time.Unix(1000, 0),
		doc: &svcdoc.Document{Service: "s"}, table: snap.New(snap.Options{}),
		holdings: map[string][]msgs.Holding{}, counts: counts{},
		view: &view.View{
			Members: map[ident.VMID]view.Member{},
			GroupOf: map[ident.ServerID]ident.GroupID{},
			Owners:  map[ident.GroupID]ident.VMID{},
		},
	}
	for replica := range testReplicas {
		vm, group := ident.VMID(fmt.Sprint("vm", replica)), ident.GroupID(fmt.Sprint("g", replica))
		h.view.Members[vm] = view.Member{Process: ident.Process{VM: vm, Incarnation: 1}}
		h.view.Owners[group] = vm
		for shard := range testShards {
			id := ident.ServerID(fmt.Sprintf("s/%d%d", replica, shard))
			h.doc.Servers = append(h.doc.Servers, svcdoc.Server{ID: id, Shard: ident.Shard(shard)})
			h.view.GroupOf[id] = group
			h.holdings[string(id)] = []msgs.Holding{{Version: 1, Shard: uint32(shard), Shards: testShards}}
		}
	}
	h.view.Config = &view.Config{Services: map[ident.ServiceID]*svcdoc.Document{"s": h.doc}}
	h.machine = engine.NewQuery(h.deps(t, hedging), h.spec(msgs.KindSearch))
	return h
}

func (h *harness) deps(t tb, hedging string) engine.Deps {
	newChoose, err := choose.Policies.Lookup("random")
	require.NoError(t, err)
	newHedge, err := hedge.Policies.Lookup(hedging)
	require.NoError(t, err)
	newAdmit, err := admit.Policies.Lookup("queue")
	require.NoError(t, err)
	live := engine.NewServiceCatalog(h.table, func() *view.View { return h.view }, "s")
	first := func(int) int { return 0 }
	return engine.Deps{
		Catalog: live, Fleet: live, Counter: h.counts,
		Choose:  newChoose(choose.Options{IntN: first}),
		Hedge:   newHedge(hedge.Options{}),
		Latency: newAdmit(admit.Options{}),
	}
}

func (h *harness) spec(kind msgs.Kind) engine.Spec {
	return engine.Spec{
		ID: 7, Service: "s", Kind: kind, Key: "key", Route: "key", Action: "book",
		Limit: 100, Deadline: h.now.Add(testDeadline),
	}
}

// collect records the messages and the result of a step.
func (h *harness) collect(step engine.Step) {
	for _, send := range step.Sends {
		query := send.Query
		h.inTransit = append(h.inTransit, packet{vm: send.To.Process.VM, query: &query})
	}
	for _, cancel := range step.Cancels {
		h.cancels += len(cancel.Cancel.Seqs)
	}
	if step.Result != nil {
		h.results = append(h.results, *step.Result)
	}
}

// remove takes the message with index i out of transit and returns it.
func (h *harness) remove(i int) packet {
	p := h.inTransit[i]
	h.inTransit = append(h.inTransit[:i:i], h.inTransit[i+1:]...)
	return p
}

// deliver delivers one message. A query puts its reply in transit.
func (h *harness) deliver(p packet) {
	if p.query != nil {
		h.inTransit = append(h.inTransit, packet{vm: p.vm, reply: h.replyTo(p)})
		return
	}
	for _, answer := range p.reply.Answers {
		if len(answer.Maps) > 0 || answer.Status == msgs.StatusWrongVersion {
			h.table.SetHoldings("s", ident.ServerID(answer.Server), answer.Maps)
		}
	}
	h.collect(h.machine.OnReply(h.now, p.vm, *p.reply))
}

// deliverAll delivers until no message is in transit.
func (h *harness) deliverAll() {
	for len(h.inTransit) > 0 {
		h.deliver(h.remove(0))
	}
}

// advance advances the time to the machine's next timer.
func (h *harness) advance() {
	h.now = h.machine.NextTimer()
	h.collect(h.machine.OnTimer(h.now))
}

// replyTo returns the reply of the owner and counts executions. Probes are not
// executed.
func (h *harness) replyTo(p packet) *msgs.Reply {
	reply := &msgs.Reply{ID: p.query.ID}
	for _, item := range p.query.Items {
		server := item.Server
		if server == "" {
			server = fmt.Sprintf("s/0%d", item.Shard)
		}
		if p.query.Kind == msgs.KindAction && item.Server != "" {
			break
		}
		if p.query.Kind == msgs.KindAction {
			server, item.Shard = p.query.Items[1].Server, p.query.Items[1].Shard
		}
		answer := msgs.Answer{
			Seq: item.Seq, Server: server, Shard: item.Shard, Version: p.query.Version,
			Status: msgs.StatusWrongVersion, Maps: h.holdings[server], Slots: 2,
		}
		for _, holding := range h.holdings[server] {
			if holding.Version != p.query.Version || holding.Shard != item.Shard {
				continue
			}
			h.executions++
			id := fmt.Sprintf("%d/%d", holding.Version, holding.Shard)
			answer.Status, answer.Hits = msgs.StatusOK, []msgs.Hit{{ID: id, Score: 1}}
		}
		reply.Answers = append(reply.Answers, answer)
	}
	return reply
}

// checkResult checks the invariants of the result, of which there must be one.
func (h *harness) checkResult(t tb) engine.Result {
	t.Helper()
	require.Len(t, h.results, 1)
	require.False(t, h.now.After(h.start.Add(testDeadline)))
	result := h.results[0]
	shards := map[string]bool{}
	for _, hit := range result.Hits {
		var version, shard int
		_, err := fmt.Sscanf(hit.ID, "%d/%d", &version, &shard)
		require.NoError(t, err)
		require.EqualValues(t, result.Version, version, "mixed snapshot")
		require.False(t, shards[hit.ID], "hit twice")
		shards[hit.ID] = true
	}
	require.Equal(t, result.AnsweredShards, len(shards), "coverage")
	require.Equal(t, testShards+int(max(result.Version, 1)-1), result.TotalShards, "denominator")
	require.Equal(t, result.AnsweredShards == result.TotalShards, result.Outcome == engine.OutcomeFull)
	if result.Outcome == engine.OutcomeNotRun {
		require.Zero(t, h.executions, "false not run")
	}
	return result
}

// duplicate puts a copy of a message in transit.
func (h *harness) duplicate(i int) {
	h.inTransit[i].duplicated = true
	h.inTransit = append(h.inTransit, h.inTransit[i])
}

// drawIndex draws the index of a message in transit.
func (h *harness) drawIndex(t *rapid.T) int {
	if len(h.inTransit) == 0 {
		t.Skip("no message in transit")
	}
	return rapid.IntRange(0, len(h.inTransit)-1).Draw(t, "message")
}

// replicaItems returns the items that list the replicas of an action.
func (h *harness) replicaItems() []msgs.Item {
	plan := h.table.Pin(h.view.Config, h.doc)
	target := xxhash.Sum64String("key") % uint64(plan.Shards)
	items := []msgs.Item{}
	for _, server := range plan.Replicas[target] {
		items = append(items, msgs.Item{Server: string(server.ID), Shard: uint32(target)})
	}
	return items
}
