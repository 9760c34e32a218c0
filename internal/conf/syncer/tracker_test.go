package syncer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

const documentFormat = `[service]
name = %s
deadline = %dms
[callers]
classes = a
[limits]
slots = 1
connections = 1
connect_cost = 0s
cold_slots = 1
warm_after = 1
[server s]
address = 127.0.0.1:1
zone = z
shard = 0
`

func documentText(service ident.ServiceID, millis int) string {
	return fmt.Sprintf(documentFormat, service, millis)
}

// history holds the accepted changes: the index at each revision and the texts
// of the documents.
type history struct {
	indexes   []*index.Index
	revisions []ident.Revision
	texts     map[reference]text
}

// accept appends an edited index whose revision is skip higher than the last.
func (h *history) accept(edit func(*index.Index), skip int) {
	last := len(h.indexes) - 1
	next := h.indexes[last].Clone()
	edit(next)
	next.Append(index.Change{})
	h.indexes = append(h.indexes, next)
	h.revisions = append(h.revisions, h.revisions[last]+ident.Revision(skip))
}

// machine is a state machine test: it delivers indexes and documents to two
// trackers in random order.
type machine struct {
	history  history
	trackers [2]*tracker
	adopted  [2]coll.Option[*view.Config]
}

func newMachine() *machine {
	return &machine{
		history: history{
			indexes:   []*index.Index{{}},
			revisions: []ident.Revision{0},
			texts:     map[reference]text{},
		},
		trackers: [2]*tracker{newTracker(), newTracker()},
	}
}

func (m *machine) settle(t *rapid.T, i int) {
	before, started := m.adopted[i].Get()
	next, _ := m.trackers[i].advance()
	config, ok := next.Get()
	if !ok {
		return
	}
	if started {
		require.GreaterOrEqual(t, config.Revision, before.Revision)
	}
	m.adopted[i] = next
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"accept document": func(t *rapid.T) {
			service := rapid.SampledFrom([]ident.ServiceID{"a", "b"}).Draw(t, "service")
			change := ident.ChangeID(fmt.Sprint(len(m.history.indexes)))
			m.history.texts[reference{service, change}] = coll.Some(documentText(service, len(m.history.indexes)))
			m.history.accept(func(ix *index.Index) { ix.Documents[service] = change }, rapid.IntRange(1, 3).Draw(t, "skip"))
		},
		"accept zone out": func(t *rapid.T) {
			m.history.accept(func(ix *index.Index) { ix.ZonesOut["z"] = "c" }, rapid.IntRange(1, 3).Draw(t, "skip"))
		},
		"accept zone in": func(t *rapid.T) {
			m.history.accept(func(ix *index.Index) { delete(ix.ZonesOut, "z") }, rapid.IntRange(1, 3).Draw(t, "skip"))
		},
		"deliver index": func(t *rapid.T) {
			i := rapid.IntRange(0, 1).Draw(t, "tracker")
			at := rapid.IntRange(0, len(m.history.indexes)-1).Draw(t, "position")
			m.trackers[i].offer(m.history.revisions[at], m.history.indexes[at])
			m.settle(t, i)
		},
		"deliver document": func(t *rapid.T) {
			i := rapid.IntRange(0, 1).Draw(t, "tracker")
			missing := m.trackers[i].missing()
			if len(missing) == 0 {
				t.Skip("no document is missing")
			}
			ref := rapid.SampledFrom(missing).Draw(t, "reference")
			body := m.history.texts[ref]
			if rapid.IntRange(0, 4).Draw(t, "absent") == 0 {
				body = coll.None[string]()
			}
			m.trackers[i].setText(ref, body)
			m.settle(t, i)
		},
		"copy from peer": func(t *rapid.T) {
			i := rapid.IntRange(0, 1).Draw(t, "tracker")
			if bundle, ok := m.trackers[1-i].bundle(); ok {
				m.trackers[i].merge(bundle)
				m.settle(t, i)
			}
		},
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, 1).Draw(t, "tracker")
			m.trackers[i], m.adopted[i] = newTracker(), coll.None[*view.Config]()
		},
		"": func(t *rapid.T) {
			for i := range m.trackers {
				m.check(t, i)
			}
		},
	}
}

// check compares the configuration in force with the index that was accepted at
// its revision.
func (m *machine) check(t *rapid.T, i int) {
	config, ok := m.adopted[i].Get()
	if !ok {
		return
	}
	require.Equal(t, config.Revision, m.trackers[i].revision())
	m.checkBundle(t, i)
	for at, revision := range m.history.revisions {
		if revision != config.Revision {
			continue
		}
		accepted := m.history.indexes[at]
		require.Equal(t, accepted.Serial, config.Serial)
		require.Len(t, config.ZonesOut, len(accepted.ZonesOut))
		m.checkServices(t, i, accepted, config)
		return
	}
	t.Fatalf("revision %d was never accepted", config.Revision)
}

// checkBundle requires that the bundle for other VMs has the accepted texts.
func (m *machine) checkBundle(t *rapid.T, i int) {
	bundle, ok := m.trackers[i].bundle()
	require.True(t, ok)
	for _, document := range bundle.Documents {
		ref := reference{document.Service, document.Change}
		if _, unusable := m.trackers[i].unusable[ref]; !unusable {
			require.Equal(t, m.history.texts[ref].Or("accepted"), document.Text)
		}
	}
}

func (m *machine) checkServices(t *rapid.T, i int, accepted *index.Index, config *view.Config) {
	for service, change := range accepted.Documents {
		if _, unusable := m.trackers[i].unusable[reference{service, change}]; unusable {
			continue
		}
		require.Contains(t, config.Services, service)
		require.Equal(t, string(change)+"ms", config.Services[service].Deadline.String())
	}
	for service := range config.Services {
		require.Contains(t, accepted.Documents, service)
	}
}

// deliverAll delivers the last index and all missing documents, and requires
// that they come into force.
func (m *machine) deliverAll(t *rapid.T, i int) {
	last := len(m.history.indexes) - 1
	m.trackers[i].offer(m.history.revisions[last], m.history.indexes[last])
	for _, ref := range m.trackers[i].missing() {
		m.trackers[i].setText(ref, m.history.texts[ref])
	}
	m.settle(t, i)
	m.check(t, i)
	require.Equal(t, m.history.revisions[last], m.trackers[i].revision())
	require.Empty(t, m.trackers[i].unusable)
}

func TestRevisionNeverDecreasesAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(m.actions())
		m.deliverAll(t, 0)
		m.deliverAll(t, 1)
	})
}

func TestConfirmationCountsOnlyForARevisionInForce(t *testing.T) {
	at := func(second int64) time.Time { return time.Unix(second, 0) }
	tr := newTracker()
	tr.offer(3, &index.Index{})
	tr.confirm(3, at(1))
	require.True(t, tr.lastConfirmed.IsZero())
	tr.advance()
	require.Equal(t, at(1), tr.lastConfirmed)

	ref := reference{"a", "c"}
	tr.offer(5, &index.Index{Documents: map[ident.ServiceID]ident.ChangeID{"a": "c"}})
	tr.confirm(5, at(2))
	tr.confirm(3, at(0))
	tr.advance()
	require.Equal(t, at(1), tr.lastConfirmed)
	tr.setText(ref, coll.Some("unusable"))
	_, problems := tr.advance()
	require.Len(t, problems, 1)
	require.Equal(t, at(2), tr.lastConfirmed)
}
