package course_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/course"
)

// migrate moves a server to a version with one more shard.
func (w *world) migrate(server string, keepOld bool) {
	old := w.holds[server]
	shard := old[0].Shard
	next := msgs.Holding{Version: 2, Shard: shard, Shards: worldShards + 1}
	if server == "s/10" {
		next.Shard = worldShards
	}
	w.holds[server] = []msgs.Holding{next}
	if keepOld {
		w.holds[server] = append(w.holds[server], old...)
	}
}

func TestQueryUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.SampledFrom([]string{"none", "budget"}).Draw(t, "hedging"))
		if rapid.Bool().Draw(t, "maps known") {
			for server, maps := range w.holds {
				w.table.Learn("s", ident.ServerID(server), maps)
			}
		}
		w.apply(w.machine.Start(w.now))
		t.Repeat(map[string]func(*rapid.T){
			"deliver": func(t *rapid.T) { w.deliver(w.take(w.pick(t))) },
			"drop":    func(t *rapid.T) { w.take(w.pick(t)) },
			"lose": func(t *rapid.T) {
				p := w.take(w.pick(t))
				if p.query != nil {
					sent := p.copied || rapid.Bool().Draw(t, "sent")
					if sent {
						w.answer(p)
					}
					w.apply(w.machine.OnLost(w.now, p.vm, *p.query, sent))
				}
			},
			"duplicate": func(t *rapid.T) { w.duplicate(w.pick(t)) },
			"cross": func(t *rapid.T) {
				p := w.parcels[w.pick(t)]
				p.vm = rapid.SampledFrom([]ident.VMID{"vm0", "vm1"}).Draw(t, "vm")
				if p.reply != nil {
					answers := slices.Clone(p.reply.Answers)
					answers[0].Seq = uint32(rapid.IntRange(0, 12).Draw(t, "seq"))
					id := p.reply.ID + uint64(rapid.IntRange(0, 1).Draw(t, "next message"))
					if id != p.reply.ID {
						answers[0].Hits = []msgs.Hit{{ID: fmt.Sprintf("8/%d", answers[0].Shard)}}
					}
					p.reply = &msgs.Reply{ID: id, Answers: answers}
				}
				w.deliver(p)
			},
			"refuse": func(t *rapid.T) {
				p := w.take(w.pick(t))
				if p.reply != nil {
					p.reply = &msgs.Reply{ID: p.reply.ID, Answers: slices.Clone(p.reply.Answers)}
					for i := range p.reply.Answers {
						p.reply.Answers[i].Status = rapid.SampledFrom([]msgs.Status{
							msgs.StatusNotRun, msgs.StatusFailed, msgs.StatusWrongOwner, msgs.StatusLate,
						}).Draw(t, "status")
						p.reply.Answers[i].Owner = "vm1"
					}
				}
				w.deliver(p)
			},
			"mix": func(t *rapid.T) {
				p := w.take(w.pick(t))
				if p.reply != nil {
					p.reply = &msgs.Reply{ID: p.reply.ID, Answers: slices.Clone(p.reply.Answers)}
					answer := &p.reply.Answers[0]
					answer.Version, answer.Status = 9, msgs.StatusOK
					answer.Hits = []msgs.Hit{{ID: fmt.Sprintf("9/%d", answer.Shard)}}
				}
				w.deliver(p)
			},
			"migrate": func(t *rapid.T) {
				server := rapid.SampledFrom(w.doc.Servers).Draw(t, "server")
				w.migrate(string(server.ID), rapid.Bool().Draw(t, "keep"))
			},
			"tick": func(*rapid.T) { w.tick() },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, len(w.results), 1)
				require.False(t, w.machine.NextTimer().After(w.start.Add(worldDeadline)))
			},
		})
		for len(w.results) == 0 {
			w.tick()
		}
		w.check(t)
		w.parcels = append(w.parcels, parcel{vm: "vm0", reply: &msgs.Reply{Answers: []msgs.Answer{{}}}})
		w.deliverAll()
		require.Len(t, w.results, 1)
	})
}

func TestQueryLearnsTheVersionFirst(t *testing.T) {
	w := newWorld(t, "none")
	w.apply(w.machine.Start(w.now))
	w.deliverAll()
	result := w.check(t)
	require.Equal(t, course.OutcomeFull, result.Outcome)
	require.Equal(t, worldShards, w.ran)
}

// known makes the versions of all servers known and starts the query.
func (w *world) known() {
	for server, maps := range w.holds {
		w.table.Learn("s", ident.ServerID(server), maps)
	}
	w.apply(w.machine.Start(w.now))
}

func TestQueryRestartsWhenItsVersionIsRetired(t *testing.T) {
	w := newWorld(t, "none")
	w.known()
	for _, server := range w.doc.Servers {
		w.migrate(string(server.ID), false)
	}
	w.deliverAll()
	result := w.check(t)
	require.Equal(t, course.OutcomeFull, result.Outcome)
	require.Equal(t, ident.Version(2), result.Version)
	require.Equal(t, 1, w.counts["query_restarted"])
}

func TestQueryStaysWithAVersionThatReplicasStillHold(t *testing.T) {
	w := newWorld(t, "none")
	w.known()
	for shard := range worldShards {
		w.migrate(fmt.Sprintf("s/0%d", shard), false)
	}
	w.deliverAll()
	result := w.check(t)
	require.Equal(t, course.OutcomeFull, result.Outcome)
	require.Equal(t, ident.Version(1), result.Version)
	require.Zero(t, w.counts["query_restarted"])
}

func TestQueryIsPartialAtTheDeadline(t *testing.T) {
	w := newWorld(t, "none")
	w.known()
	for _, p := range w.parcels {
		reply := w.answer(p)
		reply.Answers = reply.Answers[:2]
		w.apply(w.machine.OnReply(w.now, p.vm, *reply))
	}
	for len(w.results) == 0 {
		w.tick()
	}
	result := w.check(t)
	require.Equal(t, course.OutcomePartial, result.Outcome)
	require.Equal(t, 2, result.AnsweredShards)
	require.Equal(t, "deadline", result.Reason)
	require.Equal(t, 1, w.cancels)
}

func TestQueryHedgesAndCancelsTheLoser(t *testing.T) {
	w := newWorld(t, "budget")
	deps := w.deps(t, "budget")
	deps.Hedge.Sent("s", 1000)
	for range 100 {
		deps.Hedge.Observe("s", 10*time.Millisecond, 1, 2)
	}
	w.machine = course.NewQuery(deps, w.spec(msgs.KindSearch))
	w.known()
	silent := w.take(0)
	w.tick()
	require.Equal(t, worldShards, w.counts["query_hedged"])
	w.deliverAll()
	require.Equal(t, course.OutcomeFull, w.check(t).Outcome)
	require.Equal(t, 3, w.cancels)
	w.deliver(parcel{vm: silent.vm, reply: w.answer(silent)})
	require.Equal(t, course.OutcomeFull, w.check(t).Outcome)
}

func TestQueryIsNotRunOnlyIfNothingWasSent(t *testing.T) {
	for sent, outcome := range map[bool]course.Outcome{false: course.OutcomeNotRun, true: course.OutcomePartial} {
		w := newWorld(t, "none")
		w.known()
		for len(w.results) == 0 {
			for len(w.parcels) > 0 {
				p := w.take(0)
				w.apply(w.machine.OnLost(w.now, p.vm, *p.query, sent))
			}
			w.tick()
		}
		require.Equal(t, outcome, w.check(t).Outcome)
	}
}

func TestProbesFollowTheToldOwner(t *testing.T) {
	for _, kind := range []msgs.Kind{msgs.KindSearch, msgs.KindAction} {
		w := newWorld(t, "none")
		if kind == msgs.KindAction {
			w.machine = course.NewAction(w.deps(t, "none"), w.spec(kind))
		}
		w.view.Owners["g1"] = "vm0"
		w.apply(w.machine.Start(w.now))
		for len(w.parcels) > 0 {
			p := w.take(0)
			if p.query == nil || p.vm == "vm1" || p.query.Version != 0 {
				w.deliver(p)
				continue
			}
			reply := w.answer(p)
			for i := range reply.Answers {
				reply.Answers[i] = msgs.Answer{
					Seq: reply.Answers[i].Seq, Server: reply.Answers[i].Server, Shard: reply.Answers[i].Shard,
					Status: msgs.StatusWrongOwner, Owner: "vm1",
				}
			}
			w.deliver(parcel{vm: p.vm, reply: reply})
		}
		require.Len(t, w.results, 1)
		require.Contains(t, []course.Outcome{course.OutcomeFull, course.OutcomeDone}, w.results[0].Outcome)
		require.True(t, w.now.Equal(w.start))
	}
}

func TestQueryOutlastsAHandover(t *testing.T) {
	w := newWorld(t, "none")
	w.known()
	handedOver := w.now.Add(worldDeadline / 2)
	sent := 0
	for len(w.results) == 0 {
		if len(w.parcels) == 0 {
			w.tick()
			continue
		}
		p := w.take(0)
		reply := w.answer(p)
		if w.now.Before(handedOver) {
			for i := range reply.Answers {
				reply.Answers[i].Status, reply.Answers[i].Owner = msgs.StatusWrongOwner, "vm0"
				sent++
			}
		}
		w.apply(w.machine.OnReply(w.now, p.vm, *reply))
	}
	require.Equal(t, course.OutcomeFull, w.check(t).Outcome)
	require.Less(t, sent, 20*worldShards)
}

func TestGiveUpAnswersAtOnce(t *testing.T) {
	w := newWorld(t, "none")
	w.known()
	w.apply(w.machine.Abort(w.now, "the caller gave up"))
	require.Equal(t, "the caller gave up", w.check(t).Reason)
}
