package course_test

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
	"github.com/samphirestair/samphirestair/internal/query/course"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/snap"
)

// tb is the part of testing.TB that *rapid.T has too.
type tb interface {
	require.TestingT
	Helper()
}

// counts implements course.Counter.
type counts map[string]int

func (c counts) Count(kind string) { c[kind]++ }

func (c counts) Sample(kind, _, _ string, _ ...slog.Attr) { c[kind]++ }

// parcel is a message on its way to or from an owner.
type parcel struct {
	vm    ident.VMID
	query *msgs.Query
	reply *msgs.Reply
	// copied is set if the message may arrive more than once.
	copied bool
}

// world is a fleet of owners that answer one machine. Time passes only when a
// test says so.
type world struct {
	now     time.Time
	start   time.Time
	doc     *svcdoc.Document
	view    *view.View
	table   *snap.Table
	holds   map[string][]msgs.Holding
	machine course.Machine
	parcels []parcel
	results []course.Result
	cancels int
	ran     int
	counts  counts
}

const (
	worldShards   = 3
	worldReplicas = 2
	worldDeadline = 200 * time.Millisecond
)

// newWorld has 3 shards of 2 replicas. Each replica set has an owner, and all
// servers hold version 1.
func newWorld(t tb, hedging string) *world {
	t.Helper()
	w := &world{
		now: time.Unix(1000, 0), start: time.Unix(1000, 0),
		doc: &svcdoc.Document{Service: "s"}, table: snap.New(snap.Options{}),
		holds: map[string][]msgs.Holding{}, counts: counts{},
		view: &view.View{
			Members: map[ident.VMID]view.Member{},
			GroupOf: map[ident.ServerID]ident.GroupID{},
			Owners:  map[ident.GroupID]ident.VMID{},
		},
	}
	for replica := range worldReplicas {
		vm, group := ident.VMID(fmt.Sprint("vm", replica)), ident.GroupID(fmt.Sprint("g", replica))
		w.view.Members[vm] = view.Member{Process: ident.Process{VM: vm, Incarnation: 1}}
		w.view.Owners[group] = vm
		for shard := range worldShards {
			id := ident.ServerID(fmt.Sprintf("s/%d%d", replica, shard))
			w.doc.Servers = append(w.doc.Servers, svcdoc.Server{ID: id, Shard: ident.Shard(shard)})
			w.view.GroupOf[id] = group
			w.holds[string(id)] = []msgs.Holding{{Version: 1, Shard: uint32(shard), Shards: worldShards}}
		}
	}
	w.view.Config = &view.Config{Services: map[ident.ServiceID]*svcdoc.Document{"s": w.doc}}
	w.machine = course.NewQuery(w.deps(t, hedging), w.spec(msgs.KindSearch))
	return w
}

func (w *world) deps(t tb, hedging string) course.Deps {
	newChoose, err := choose.Policies.Lookup("random")
	require.NoError(t, err)
	newHedge, err := hedge.Policies.Lookup(hedging)
	require.NoError(t, err)
	newAdmit, err := admit.Policies.Lookup("queue")
	require.NoError(t, err)
	live := course.NewServiceCatalog(w.table, func() *view.View { return w.view }, "s")
	first := func(int) int { return 0 }
	return course.Deps{
		Catalog: live, Fleet: live, Counter: w.counts,
		Choose:  newChoose(choose.Options{IntN: first}),
		Hedge:   newHedge(hedge.Options{}),
		Latency: newAdmit(admit.Options{}),
	}
}

func (w *world) spec(kind msgs.Kind) course.Spec {
	return course.Spec{
		ID: 7, Service: "s", Kind: kind, Key: "key", Route: "key", Action: "book",
		Limit: 100, Deadline: w.now.Add(worldDeadline),
	}
}

// apply takes what the machine asks for.
func (w *world) apply(step course.Step) {
	for _, send := range step.Sends {
		query := send.Query
		w.parcels = append(w.parcels, parcel{vm: send.To.Process.VM, query: &query})
	}
	for _, cancel := range step.Cancels {
		w.cancels += len(cancel.Cancel.Seqs)
	}
	if step.Result != nil {
		w.results = append(w.results, *step.Result)
	}
}

// take removes the message with the given index.
func (w *world) take(i int) parcel {
	p := w.parcels[i]
	w.parcels = append(w.parcels[:i:i], w.parcels[i+1:]...)
	return p
}

// deliver hands one message to its receiver.
func (w *world) deliver(p parcel) {
	if p.query != nil {
		w.parcels = append(w.parcels, parcel{vm: p.vm, reply: w.answer(p)})
		return
	}
	for _, answer := range p.reply.Answers {
		if len(answer.Maps) > 0 || answer.Status == msgs.StatusWrongVersion {
			w.table.Learn("s", ident.ServerID(answer.Server), answer.Maps)
		}
	}
	w.apply(w.machine.OnReply(w.now, p.vm, *p.reply))
}

// deliverAll delivers until nothing is on its way.
func (w *world) deliverAll() {
	for len(w.parcels) > 0 {
		w.deliver(w.take(0))
	}
}

// tick advances the time to the machine's next timer.
func (w *world) tick() {
	w.now = w.machine.NextTimer()
	w.apply(w.machine.OnTimer(w.now))
}

// answer is what the owner replies. Probes are not run.
func (w *world) answer(p parcel) *msgs.Reply {
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
			Status: msgs.StatusWrongVersion, Maps: w.holds[server], Slots: 2,
		}
		for _, holding := range w.holds[server] {
			if holding.Version != p.query.Version || holding.Shard != item.Shard {
				continue
			}
			w.ran++
			id := fmt.Sprintf("%d/%d", holding.Version, holding.Shard)
			answer.Status, answer.Hits = msgs.StatusOK, []msgs.Hit{{ID: id, Score: 1}}
		}
		reply.Answers = append(reply.Answers, answer)
	}
	return reply
}

// check verifies everything that must hold of the only result.
func (w *world) check(t tb) course.Result {
	t.Helper()
	require.Len(t, w.results, 1)
	require.False(t, w.now.After(w.start.Add(worldDeadline)))
	result := w.results[0]
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
	require.Equal(t, worldShards+int(max(result.Version, 1)-1), result.TotalShards, "denominator")
	require.Equal(t, result.AnsweredShards == result.TotalShards, result.Outcome == course.OutcomeFull)
	if result.Outcome == course.OutcomeNotRun {
		require.Zero(t, w.ran, "false not run")
	}
	return result
}

// duplicate puts a copy of a message on its way.
func (w *world) duplicate(i int) {
	w.parcels[i].copied = true
	w.parcels = append(w.parcels, w.parcels[i])
}

// pick draws the index of a message on its way.
func (w *world) pick(t *rapid.T) int {
	if len(w.parcels) == 0 {
		t.Skip("nothing on its way")
	}
	return rapid.IntRange(0, len(w.parcels)-1).Draw(t, "message")
}

// candidates returns the items that an action's home is told to run it at.
func (w *world) candidates() []msgs.Item {
	plan := w.table.Pin(w.view.Config, w.doc)
	target := xxhash.Sum64String("key") % uint64(plan.Shards)
	items := []msgs.Item{}
	for _, server := range plan.Replicas[target] {
		items = append(items, msgs.Item{Server: string(server.ID), Shard: uint32(target)})
	}
	return items
}
