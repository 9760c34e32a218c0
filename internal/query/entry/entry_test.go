package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/engine"
	"github.com/samphirestair/samphirestair/internal/query/entry"
)

// answerMemory is the memory that each answer of a fakeMesh holds.
const answerMemory = 2 * budget.SmallSize

// fakeMesh answers each query after a delay, like an owner of two shards.
type fakeMesh struct {
	entry *entry.Entry
	delay func(item msgs.Item) time.Duration
	// copies is the number of times that each reply is delivered; 0 means 1.
	copies int
	// metrics is the metrics set of the entry.
	metrics *metrics.Set
	// memory is the budget of answers, each of which holds answerMemory, or nil.
	memory *budget.Budget

	mu      sync.Mutex
	cancels []msgs.Cancel
}

func (m *fakeMesh) SendQuery(to view.Member, q msgs.Query) {
	for _, item := range q.Items {
		answer := msgs.Answer{
			Seq: item.Seq, Server: item.Server, Shard: item.Shard, Version: q.Version, Slots: 2,
			Maps: []msgs.Holding{{Version: 3, Shard: item.Shard, Shards: 2}}, ServiceMicros: 1000,
		}
		if answer.Server == "" {
			answer.Server = fmt.Sprint("s/a", item.Shard)
		}
		if q.Version == 0 {
			answer.Status = msgs.StatusWrongVersion
		}
		answer.Hits = []msgs.Hit{{ID: fmt.Sprint(item.Shard), Score: float64(item.Shard), Doc: []byte("{}")}}
		if m.memory != nil {
			answer.Hits[0].Doc = make([]byte, answerMemory)
		}
		answer.Body = []byte(q.Key)
		reply := msgs.Reply{ID: q.ID, Incarnation: 9, Answers: []msgs.Answer{answer}}
		for range max(m.copies, 1) {
			reply.Answers = slices.Clone(reply.Answers)
			reply.Answers[0].Held = m.memory.NewHolder(nil)
			reply.Answers[0].Held.Set(budget.Answer, answerMemory)
			m.deliver(to, reply, m.delay(item))
		}
	}
}

func (m *fakeMesh) deliver(to view.Member, reply msgs.Reply, wait time.Duration) {
	deliver := func() { m.entry.HandleReply(to.Process, reply) }
	if wait == 0 {
		deliver()
		return
	}
	time.AfterFunc(wait, deliver)
}

func (*fakeMesh) SendReply(view.Member, msgs.Reply) {}

func (m *fakeMesh) SendCancel(_ view.Member, c msgs.Cancel) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancels = append(m.cancels, c)
}

func newEntry(t *testing.T, delay func(msgs.Item) time.Duration) (*entry.Entry, *fakeMesh, *view.Publisher) {
	t.Helper()
	member := view.Member{Process: ident.Process{VM: "vm", Incarnation: 9}}
	doc := &svcdoc.Document{
		Service: "s", Deadline: time.Second, NonIdempotent: []string{"book"},
		Servers: []svcdoc.Server{{ID: "s/a0", Shard: 0}, {ID: "s/a1", Shard: 1}},
	}
	views := &view.Publisher{}
	views.Publish(&view.View{
		Self:      member,
		Config:    &view.Config{Services: map[ident.ServiceID]*svcdoc.Document{"s": doc}},
		Members:   map[ident.VMID]view.Member{"vm": member},
		GroupOf:   map[ident.ServerID]ident.GroupID{"s/a0": "g", "s/a1": "g"},
		Owners:    map[ident.GroupID]ident.VMID{"g": "vm"},
		Admitting: true,
	})
	mesh := &fakeMesh{delay: delay, metrics: metrics.NewSet()}
	deps := entry.Deps{Self: member.Process, Views: views, Mesh: mesh, Metrics: mesh.metrics}
	e, err := entry.New(deps, entry.Options{})
	require.NoError(t, err)
	mesh.entry = e
	return e, mesh, views
}

func always(delay time.Duration) func(msgs.Item) time.Duration {
	return func(msgs.Item) time.Duration { return delay }
}

func TestSearchLookupAndAction(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			e, _, _ := newEntry(t, always(delay))
			found := e.Search(t.Context(), entry.Request{Service: "s", Limit: 5})
			require.Equal(t, engine.OutcomeFull, found.Outcome)
			require.Equal(t, ident.Version(3), found.Version)
			require.Equal(t, "1", found.Hits[0].ID)
			read := e.Lookup(t.Context(), entry.Request{Service: "s", Key: "k1"})
			require.Equal(t, "k1", string(read.Body))
			booked := e.Action(t.Context(), entry.Request{Service: "s", Action: "book", Key: "k2"})
			require.Equal(t, engine.OutcomeDone, booked.Outcome)
			state := e.State()
			require.Zero(t, state.Active)
			require.Equal(t, entry.Pinned{Version: 3, Shards: 2, Covered: 2}, state.Pinned["s"])
		})
	}
}

// Guards against memory of answers that is not given back, or that is given back while the result
// is in use: answers that are merged, too late, repeated, or not needed.
func TestMemoryOfAnswersIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, mesh, _ := newEntry(t, func(item msgs.Item) time.Duration { return time.Duration(1+item.Shard) * 60 * time.Millisecond })
		mesh.memory, mesh.copies = budget.New(1<<20), 2
		key := strings.Repeat("k", answerMemory)
		read := e.Lookup(t.Context(), entry.Request{Service: "s", Key: key})
		require.Len(t, read.Body, len(key))
		require.GreaterOrEqual(t, mesh.memory.Held(budget.Answer), len(key))
		read.Release()
		for _, left := range []time.Duration{time.Second, 100 * time.Millisecond} {
			found := e.Search(t.Context(), entry.Request{Service: "s", Limit: 5, Deadline: time.Now().Add(left)})
			found.Release()
		}
		time.Sleep(time.Second)
		require.Zero(t, mesh.memory.Held(budget.Answer))
	})
}

// Guards against searches that all hold the answers of some shards and wait for memory for the others.
func TestSearchMakesRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		e, mesh, _ := newEntry(t, func(item msgs.Item) time.Duration {
			if item.Shard == 1 && time.Since(start) > 0 {
				return time.Hour
			}
			return time.Millisecond
		})
		mesh.memory = budget.New(3 * answerMemory)
		reserved := make(chan bool, 1)
		time.AfterFunc(100*time.Millisecond, func() {
			reserved <- mesh.memory.NewHolder(nil).Reserve(budget.Answer, 2*answerMemory, start.Add(time.Second))
		})
		found := e.Search(t.Context(), entry.Request{Service: "s", Limit: 5, Deadline: start.Add(time.Minute)})
		require.Equal(t, engine.OutcomePartial, found.Outcome)
		require.Equal(t, "no memory for the other answers", found.Reason)
		found.Release()
		require.True(t, <-reserved)
	})
}

func TestSearchIsPartialAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		e, mesh, _ := newEntry(t, func(item msgs.Item) time.Duration {
			if item.Shard == 1 && time.Since(start) > 0 {
				return time.Hour
			}
			return time.Millisecond
		})
		deadline := start.Add(100 * time.Millisecond)
		found := e.Search(t.Context(), entry.Request{Service: "s", Limit: 5, Deadline: deadline})
		require.Equal(t, engine.OutcomePartial, found.Outcome)
		require.Equal(t, 1, found.AnsweredShards)
		require.Equal(t, 98*time.Millisecond, time.Since(start))
		synctest.Wait()
		mesh.mu.Lock()
		defer mesh.mu.Unlock()
		require.Len(t, mesh.cancels, 1)
	})
}

func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delays := rand.New(rand.NewPCG(3, 4))
		var mu sync.Mutex
		e, mesh, _ := newEntry(t, func(msgs.Item) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(delays.IntN(30)) * time.Millisecond
		})
		mesh.copies = 2
		var group conc.WaitGroup
		for i := range 200 {
			key := fmt.Sprint("key", i)
			group.Go(func() {
				read := e.Lookup(t.Context(), entry.Request{Service: "s", Key: key})
				require.Equal(t, engine.OutcomeFull, read.Outcome)
				require.Equal(t, key, string(read.Body))
			})
		}
		group.Wait()
		require.Zero(t, e.State().Active)
	})
}

func TestProblemsAndRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _, views := newEntry(t, always(0))
		ctx := t.Context()
		require.Equal(t, entry.ProblemUnknownService, e.Search(ctx, entry.Request{Service: "x"}).Problem)
		require.Equal(t, entry.ProblemUnknownAction, e.Action(ctx, entry.Request{Service: "s", Action: "x"}).Problem)
		past := entry.Request{Service: "s", Deadline: time.Now()}
		require.Equal(t, entry.ProblemDeadlinePassed, e.Search(ctx, past).Problem)
		closed := *views.Load()
		closed.Admitting, closed.Refusal = false, "leaving"
		views.Publish(&closed)
		refused := e.Search(ctx, entry.Request{Service: "s"})
		require.Equal(t, engine.OutcomeNotRun, refused.Outcome)
		require.Equal(t, "leaving", refused.Reason)
	})
}

func TestDrainWaitsForRequestsInExecution(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _, _ := newEntry(t, always(20*time.Millisecond))
		require.NoError(t, e.Drain(t.Context()))
		start := time.Now()
		results := make(chan entry.Result, 1)
		go func() { results <- e.Search(context.Background(), entry.Request{Service: "s"}) }()
		synctest.Wait()
		require.Equal(t, 1, e.State().Active)
		short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		require.ErrorIs(t, e.Drain(short), context.DeadlineExceeded)
		require.NoError(t, e.Drain(t.Context()))
		require.Equal(t, 40*time.Millisecond, time.Since(start))
		require.Equal(t, engine.OutcomeFull, (<-results).Outcome)
	})
}

func TestCancelledContextEndsTheRequestAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _, _ := newEntry(t, always(20*time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		require.Equal(t, engine.OutcomePartial, e.Search(ctx, entry.Request{Service: "s"}).Outcome)
	})
}

func TestUnknownPolicyIsAnError(t *testing.T) {
	_, err := entry.New(entry.Deps{}, entry.Options{Choose: "x"})
	require.ErrorContains(t, err, "unknown plug-in")
}

func TestRequestsAreCountedInMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, mesh, _ := newEntry(t, always(time.Millisecond))
		e.Search(t.Context(), entry.Request{Service: "s", Limit: 5})
		var page bytes.Buffer
		mesh.metrics.WritePrometheus(&page)
		labels := `{service="s",kind="search",outcome="full"}`
		require.Contains(t, page.String(), "samphirestair_request_seconds_count"+labels+" 1\n")
		require.Contains(t, page.String(), "samphirestair_request_shards_answered_total"+labels+" 2\n")
	})
}
