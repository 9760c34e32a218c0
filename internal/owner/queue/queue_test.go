package queue_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/queue"
)

const abandonedKeepFor = 20 * time.Millisecond

var start = time.Unix(1000, 0)

// model applies random events to a queue and tracks the expected state of each
// item.
type model struct {
	queue     *queue.Queue
	now       time.Time
	limit     int
	waiting   map[*queue.Item]bool
	started   map[*queue.Item]bool
	sent      map[*queue.Item]bool
	abandoned map[*queue.Item]time.Time
	answers   map[*queue.Item]int
	items     []*queue.Item
}

func newModel() *model {
	m := &model{
		queue: queue.New(queue.Options{MaxWaiting: 5}), now: start,
		waiting: map[*queue.Item]bool{}, started: map[*queue.Item]bool{}, sent: map[*queue.Item]bool{},
		abandoned: map[*queue.Item]time.Time{}, answers: map[*queue.Item]int{},
	}
	m.setLimit(2)
	return m
}

func (m *model) setLimit(n int) {
	m.limit = n
	m.queue.SetConcurrencyLimit(n, 10*time.Millisecond)
}

func (m *model) add(t *rapid.T) {
	item := &queue.Item{
		Class:    ident.Class(rapid.IntRange(0, 2).Draw(t, "class")),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond),
	}
	m.answers[item] = 0
	m.items = append(m.items, item)
	m.waiting[item] = true
	if dropped := m.queue.Add(item, m.now); dropped != nil {
		m.answerWaiting(t, dropped)
	}
}

func (m *model) answerWaiting(t *rapid.T, item *queue.Item) {
	require.True(t, m.waiting[item])
	delete(m.waiting, item)
	m.answers[item]++
}

func (m *model) start(t *rapid.T) {
	item := m.queue.Start()
	if item == nil {
		return
	}
	require.True(t, m.waiting[item])
	for other := range m.waiting {
		require.LessOrEqual(t, item.Class, other.Class)
	}
	delete(m.waiting, item)
	m.started[item] = true
}

func (m *model) send(t *rapid.T) {
	item := pick(t, m.items, m.started)
	if item == nil {
		return
	}
	delete(m.started, item)
	if !m.queue.Send(item) {
		m.waiting[item] = true
		return
	}
	m.sent[item] = true
	require.LessOrEqual(t, len(m.sent)+len(m.abandoned), m.limit)
}

func (m *model) finish(t *rapid.T) {
	if item := pick(t, m.items, m.sent); item != nil {
		delete(m.sent, item)
		m.answers[item]++
		m.queue.Finish(item)
	}
}

func (m *model) abandon(t *rapid.T) {
	if item := pick(t, m.items, m.sent); item != nil {
		delete(m.sent, item)
		m.answers[item]++
		m.abandoned[item] = time.Time{}
		m.queue.Abandon(item, abandonedKeepFor)
	}
}

func (m *model) serverResponded(t *rapid.T) {
	askedAt := m.now.Add(-time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
	m.queue.ServerResponded(askedAt, m.now)
	for item, until := range m.abandoned {
		switch {
		case until.IsZero():
			m.abandoned[item] = m.now.Add(abandonedKeepFor)
		case !askedAt.Before(until):
			delete(m.abandoned, item)
		}
	}
}

func (m *model) acknowledge(t *rapid.T) {
	if item := pick(t, m.items, m.abandoned); item != nil {
		delete(m.abandoned, item)
		m.queue.FinishAbandoned(item)
	}
}

func (m *model) cancel(t *rapid.T) {
	if item := pick(t, m.items, m.waiting); item != nil {
		require.True(t, m.queue.Cancel(item))
		require.False(t, m.queue.Cancel(item))
		m.answerWaiting(t, item)
	}
}

func (m *model) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
	for _, item := range m.queue.Expire(m.now) {
		require.False(t, m.now.Add(10*time.Millisecond).Before(item.Deadline))
		m.answerWaiting(t, item)
	}
}

func (m *model) check(t *rapid.T) {
	require.Len(t, m.waiting, m.queue.Waiting())
	require.Equal(t, len(m.sent)+len(m.abandoned), m.queue.AtServer())
	require.Equal(t, len(m.started)+len(m.sent)+len(m.abandoned), m.queue.InUse())
	require.LessOrEqual(t, m.queue.Waiting(), 5+len(m.started)+2)
	for item, answers := range m.answers {
		open := m.waiting[item] || m.started[item] || m.sent[item]
		require.Equal(t, !open, answers == 1)
		require.LessOrEqual(t, answers, 1)
	}
}

// pick draws one of the items in the set, or returns nil if the set is empty.
func pick[V any](t *rapid.T, items []*queue.Item, set map[*queue.Item]V) *queue.Item {
	if len(set) == 0 {
		return nil
	}
	members := slices.DeleteFunc(slices.Clone(items), func(item *queue.Item) bool {
		_, member := set[item]
		return !member
	})
	return rapid.SampledFrom(members).Draw(t, "item")
}

func TestQueueKeepsItsLimitAndLosesNoItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"add": m.add, "start": m.start, "send": m.send, "finish": m.finish,
			"abandon": m.abandon, "serverResponded": m.serverResponded, "acknowledge": m.acknowledge, "cancel": m.cancel, "advanceTime": m.advanceTime,
			"serverRestarted": func(*rapid.T) {
				m.queue.ServerRestarted()
				clear(m.abandoned)
			},
			"limit": func(t *rapid.T) { m.setLimit(rapid.IntRange(1, 4).Draw(t, "limit")) },
			"":      m.check,
		})
	})
}

func TestInheritedWorkUsesSlotsUntilItsDeadline(t *testing.T) {
	q := queue.New(queue.Options{})
	q.SetConcurrencyLimit(2, 0)
	q.Inherit(2, start.Add(time.Second))
	q.Add(&queue.Item{Deadline: start.Add(time.Minute)}, start)
	require.Nil(t, q.Start())
	next, ok := q.NextEvent()
	require.True(t, ok)
	require.Equal(t, start.Add(time.Second), next)
	q.Expire(next)
	require.NotNil(t, q.Start())
}

// Guards against a request to a server that was frozen after its last response: the
// time of the abandoned item passes here, but not at the server.
func TestSlotOfAnAbandonedItemIsNotFreedByTimeAlone(t *testing.T) {
	q := queue.New(queue.Options{})
	q.SetConcurrencyLimit(1, 0)
	abandoned := &queue.Item{Deadline: start.Add(time.Minute)}
	q.Add(abandoned, start)
	require.Equal(t, abandoned, q.Start())
	require.True(t, q.Send(abandoned))
	q.Abandon(abandoned, abandonedKeepFor)
	require.True(t, q.AwaitsResponse(start))
	q.ServerResponded(start, start)
	require.False(t, q.AwaitsResponse(start))
	q.Add(&queue.Item{Deadline: start.Add(time.Minute)}, start)

	end := start.Add(abandonedKeepFor)
	q.Expire(end)
	require.Nil(t, q.Start())
	require.True(t, q.AwaitsResponse(end))
	q.ServerResponded(end.Add(-time.Millisecond), end.Add(time.Second))
	require.Nil(t, q.Start())
	q.ServerResponded(end, end.Add(time.Second))
	require.NotNil(t, q.Start())
}

func TestIdleServerReceivesARequestDespiteASlowEstimate(t *testing.T) {
	q := queue.New(queue.Options{})
	q.SetConcurrencyLimit(1, time.Hour)
	first := &queue.Item{Deadline: start.Add(time.Second)}
	second := &queue.Item{Deadline: start.Add(time.Second)}
	require.Nil(t, q.Add(first, start))
	require.Equal(t, second, q.Add(second, start))
	require.Empty(t, q.Expire(start))
	require.Equal(t, first, q.Start())
}

func TestFullQueueRefusesTheLeastImportant(t *testing.T) {
	q := queue.New(queue.Options{MaxWaiting: 1})
	low := &queue.Item{Class: 2, Deadline: start.Add(time.Minute)}
	high := &queue.Item{Class: 0, Deadline: start.Add(time.Minute)}
	require.Nil(t, q.Add(low, start))
	require.Equal(t, low, q.Add(high, start))
	require.Equal(t, low, q.Add(low, start))
}

func BenchmarkQueue(b *testing.B) {
	q := queue.New(queue.Options{})
	q.SetConcurrencyLimit(2, time.Millisecond)
	items := make([]queue.Item, 64)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		item := &items[i%len(items)]
		*item = queue.Item{Class: ident.Class(i % 3), Deadline: start.Add(time.Hour)}
		q.Add(item, start)
		for q.Ready() {
			next := q.Start()
			q.Send(next)
			q.Finish(next)
		}
	}
}
