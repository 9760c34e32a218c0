package engine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/engine"
)

// migrate makes a server hold version 2, which has one more shard. keepOld says
// whether it also still holds version 1.
func (h *harness) migrate(server string, keepOld bool) {
	old := h.holdings[server]
	shard := old[0].Shard
	next := msgs.Holding{Version: 2, Shard: shard, Shards: testShards + 1}
	if server == "s/10" {
		next.Shard = testShards
	}
	h.holdings[server] = []msgs.Holding{next}
	if keepOld {
		h.holdings[server] = append(h.holdings[server], old...)
	}
}

func TestQueryUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, rapid.SampledFrom([]string{"none", "budget"}).Draw(t, "hedging"))
		if rapid.Bool().Draw(t, "maps known") {
			for server, maps := range h.holdings {
				h.table.SetHoldings("s", ident.ServerID(server), maps)
			}
		}
		h.collect(h.machine.Start(h.now))
		t.Repeat(map[string]func(*rapid.T){
			"deliver": func(t *rapid.T) { h.deliver(h.remove(h.drawIndex(t))) },
			"drop":    func(t *rapid.T) { h.remove(h.drawIndex(t)) },
			"connection lost": func(t *rapid.T) {
				p := h.remove(h.drawIndex(t))
				if p.query != nil {
					sent := p.duplicated || rapid.Bool().Draw(t, "sent")
					if sent {
						h.replyTo(p)
					}
					h.collect(h.machine.OnLost(h.now, p.vm, *p.query, sent))
				}
			},
			"duplicate": func(t *rapid.T) { h.duplicate(h.drawIndex(t)) },
			"wrong sender or ID": func(t *rapid.T) {
				p := h.inTransit[h.drawIndex(t)]
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
				h.deliver(p)
			},
			"refuse": func(t *rapid.T) {
				p := h.remove(h.drawIndex(t))
				if p.reply != nil {
					p.reply = &msgs.Reply{ID: p.reply.ID, Answers: slices.Clone(p.reply.Answers)}
					for i := range p.reply.Answers {
						p.reply.Answers[i].Status = rapid.SampledFrom([]msgs.Status{
							msgs.StatusNotRun, msgs.StatusFailed, msgs.StatusWrongOwner, msgs.StatusLate,
						}).Draw(t, "status")
						p.reply.Answers[i].Owner = "vm1"
					}
				}
				h.deliver(p)
			},
			"answer of another version": func(t *rapid.T) {
				p := h.remove(h.drawIndex(t))
				if p.reply != nil {
					p.reply = &msgs.Reply{ID: p.reply.ID, Answers: slices.Clone(p.reply.Answers)}
					answer := &p.reply.Answers[0]
					answer.Version, answer.Status = 9, msgs.StatusOK
					answer.Hits = []msgs.Hit{{ID: fmt.Sprintf("9/%d", answer.Shard)}}
				}
				h.deliver(p)
			},
			"migrate": func(t *rapid.T) {
				server := rapid.SampledFrom(h.doc.Servers).Draw(t, "server")
				h.migrate(string(server.ID), rapid.Bool().Draw(t, "keep"))
			},
			"advance": func(*rapid.T) { h.advance() },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, len(h.results), 1)
				require.False(t, h.machine.NextTimer().After(h.start.Add(testDeadline)))
			},
		})
		for len(h.results) == 0 {
			h.advance()
		}
		h.checkResult(t)
		h.inTransit = append(h.inTransit, packet{vm: "vm0", reply: &msgs.Reply{Answers: []msgs.Answer{{}}}})
		h.deliverAll()
		require.Len(t, h.results, 1)
	})
}

func TestQueryLearnsTheVersionFirst(t *testing.T) {
	h := newHarness(t, "none")
	h.collect(h.machine.Start(h.now))
	h.deliverAll()
	result := h.checkResult(t)
	require.Equal(t, engine.OutcomeFull, result.Outcome)
	require.Equal(t, testShards, h.executions)
}

// startWithKnownVersions starts the machine with the index versions of all
// servers known.
func (h *harness) startWithKnownVersions() {
	for server, maps := range h.holdings {
		h.table.SetHoldings("s", ident.ServerID(server), maps)
	}
	h.collect(h.machine.Start(h.now))
}

func TestQueryRestartsWhenItsVersionIsRetired(t *testing.T) {
	h := newHarness(t, "none")
	h.startWithKnownVersions()
	for _, server := range h.doc.Servers {
		h.migrate(string(server.ID), false)
	}
	h.deliverAll()
	result := h.checkResult(t)
	require.Equal(t, engine.OutcomeFull, result.Outcome)
	require.Equal(t, ident.Version(2), result.Version)
	require.Equal(t, 1, h.counts["query_restarted"])
}

func TestQueryStaysWithAVersionThatReplicasStillHold(t *testing.T) {
	h := newHarness(t, "none")
	h.startWithKnownVersions()
	for shard := range testShards {
		h.migrate(fmt.Sprintf("s/0%d", shard), false)
	}
	h.deliverAll()
	result := h.checkResult(t)
	require.Equal(t, engine.OutcomeFull, result.Outcome)
	require.Equal(t, ident.Version(1), result.Version)
	require.Zero(t, h.counts["query_restarted"])
}

func TestQueryIsPartialAtTheDeadline(t *testing.T) {
	h := newHarness(t, "none")
	h.startWithKnownVersions()
	for _, p := range h.inTransit {
		reply := h.replyTo(p)
		reply.Answers = reply.Answers[:2]
		h.collect(h.machine.OnReply(h.now, p.vm, *reply))
	}
	for len(h.results) == 0 {
		h.advance()
	}
	result := h.checkResult(t)
	require.Equal(t, engine.OutcomePartial, result.Outcome)
	require.Equal(t, 2, result.AnsweredShards)
	require.Equal(t, "deadline", result.Reason)
	require.Equal(t, 1, h.cancels)
}

func TestQueryHedgesAndCancelsTheSlowerAttempts(t *testing.T) {
	h := newHarness(t, "budget")
	deps := h.deps(t, "budget")
	deps.Hedge.Sent("s", 1000)
	for range 100 {
		deps.Hedge.Observe("s", 10*time.Millisecond, 1, 2)
	}
	h.machine = engine.NewQuery(deps, h.spec(msgs.KindSearch))
	h.startWithKnownVersions()
	silent := h.remove(0)
	h.advance()
	require.Equal(t, testShards, h.counts["query_hedged"])
	h.deliverAll()
	require.Equal(t, engine.OutcomeFull, h.checkResult(t).Outcome)
	require.Equal(t, 3, h.cancels)
	h.deliver(packet{vm: silent.vm, reply: h.replyTo(silent)})
	require.Equal(t, engine.OutcomeFull, h.checkResult(t).Outcome)
}

func TestQueryIsNotRunOnlyIfNothingWasSent(t *testing.T) {
	for sent, outcome := range map[bool]engine.Outcome{false: engine.OutcomeNotRun, true: engine.OutcomePartial} {
		h := newHarness(t, "none")
		h.startWithKnownVersions()
		for len(h.results) == 0 {
			for len(h.inTransit) > 0 {
				p := h.remove(0)
				h.collect(h.machine.OnLost(h.now, p.vm, *p.query, sent))
			}
			h.advance()
		}
		require.Equal(t, outcome, h.checkResult(t).Outcome)
	}
}

func TestProbesAreRedirectedToTheNamedOwner(t *testing.T) {
	for _, kind := range []msgs.Kind{msgs.KindSearch, msgs.KindAction} {
		h := newHarness(t, "none")
		if kind == msgs.KindAction {
			h.machine = engine.NewAction(h.deps(t, "none"), h.spec(kind))
		}
		h.view.Owners["g1"] = "vm0"
		h.collect(h.machine.Start(h.now))
		for len(h.inTransit) > 0 {
			p := h.remove(0)
			if p.query == nil || p.vm == "vm1" || p.query.Version != 0 {
				h.deliver(p)
				continue
			}
			reply := h.replyTo(p)
			for i := range reply.Answers {
				reply.Answers[i] = msgs.Answer{
					Seq: reply.Answers[i].Seq, Server: reply.Answers[i].Server, Shard: reply.Answers[i].Shard,
					Status: msgs.StatusWrongOwner, Owner: "vm1",
				}
			}
			h.deliver(packet{vm: p.vm, reply: reply})
		}
		require.Len(t, h.results, 1)
		require.Contains(t, []engine.Outcome{engine.OutcomeFull, engine.OutcomeDone}, h.results[0].Outcome)
		require.True(t, h.now.Equal(h.start))
	}
}

func TestQuerySucceedsAfterAHandover(t *testing.T) {
	h := newHarness(t, "none")
	h.startWithKnownVersions()
	handedOver := h.now.Add(testDeadline / 2)
	sent := 0
	for len(h.results) == 0 {
		if len(h.inTransit) == 0 {
			h.advance()
			continue
		}
		p := h.remove(0)
		reply := h.replyTo(p)
		if h.now.Before(handedOver) {
			for i := range reply.Answers {
				reply.Answers[i].Status, reply.Answers[i].Owner = msgs.StatusWrongOwner, "vm0"
				sent++
			}
		}
		h.collect(h.machine.OnReply(h.now, p.vm, *reply))
	}
	require.Equal(t, engine.OutcomeFull, h.checkResult(t).Outcome)
	require.Less(t, sent, 20*testShards)
}

func TestAbortReturnsTheResultAtOnce(t *testing.T) {
	h := newHarness(t, "none")
	h.startWithKnownVersions()
	h.collect(h.machine.Abort(h.now, "the caller gave up"))
	require.Equal(t, "the caller gave up", h.checkResult(t).Reason)
}
