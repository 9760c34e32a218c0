package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// desk is a book with the key-value history that a test writes.
type desk struct {
	*roster.State
	revision ident.Revision
}

func newDesk() *desk {
	return &desk{State: roster.NewState("vm-1", jsonDecoder{}, nil)}
}

func (d *desk) put(key string, value any) depot.Item {
	d.revision++
	return depot.Item{Key: key, Value: encode(value), Revision: d.revision}
}

func (d *desk) del(key string) depot.Item {
	d.revision++
	return depot.Item{Key: key, Revision: d.revision, Deleted: true}
}

func (d *desk) apply(now time.Time, items ...depot.Item) {
	d.Apply(now, depot.Batch{Items: items, Revision: d.revision})
}

// ids returns the backend servers of service "a" that may get requests.
func (d *desk) ids() []ident.ServerID {
	var ids []ident.ServerID
	for _, r := range d.View().Replicas("a") {
		ids = append(ids, r.ID)
	}
	return ids
}

// registered is a backend server of service "a".
func registered() roster.Server {
	return roster.Server{Service: "a", Address: "10.0.0.1:80", Zone: "vantaa", Slots: 2}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	d := newDesk()
	d.apply(start, d.put("config:", 7))
	d.apply(start, d.put("config:", 5), d.put("config:", "unusable"))
	require.EqualValues(t, 7, d.View().Table.Config().Version)
}

// countingDecoder counts the configurations that are read.
type countingDecoder struct {
	jsonDecoder
	configs *int
}

func (r countingDecoder) Config(value []byte) (*routes.Config, error) {
	*r.configs++
	return r.jsonDecoder.Config(value)
}

// A storm of configurations arrives in one batch: one of them is read, or as many as
// it takes to find one that can be used.
func TestStormOfConfigurationsIsReadOnce(t *testing.T) {
	read := 0
	book := roster.NewState("vm-1", countingDecoder{configs: &read}, nil)
	storm := depot.Batch{Revision: 30}
	for version := range 30 {
		storm.Items = append(storm.Items, depot.Item{Key: "config:", Value: encode(version + 1), Revision: ident.Revision(version + 1)})
	}
	book.Apply(time.Now(), storm)
	require.Equal(t, 1, read)
	require.EqualValues(t, 30, book.View().Table.Config().Version)

	book.Apply(time.Now(), depot.Batch{Revision: 33, Items: []depot.Item{
		{Key: "config:", Value: encode(31), Revision: 31},
		{Key: "config:", Value: encode(32), Revision: 32},
		{Key: "config:", Value: []byte("{"), Revision: 33},
	}})
	require.Equal(t, 3, read)
	require.EqualValues(t, 32, book.View().Table.Config().Version)
}

func TestDrainingServerGetsNothing(t *testing.T) {
	d := newDesk()
	s := registered()
	d.apply(start, d.put("server:i-1", s))
	require.Equal(t, []ident.ServerID{"i-1"}, d.ids())
	s.Draining = true
	d.apply(start, d.put("server:i-1", s))
	require.Empty(t, d.ids())
}

func TestRemovedServerIsGoneAtOnceWhileTheStoreIsUp(t *testing.T) {
	d := newDesk()
	d.apply(start, d.put("server:i-1", registered()))
	d.apply(start.Add(time.Minute), d.del("server:i-1"))
	require.Empty(t, d.ids())
}

func TestServerThatLapsedDuringAnOutageMayComeBack(t *testing.T) {
	d := newDesk()
	d.apply(start, d.put("server:i-1", registered()), d.put("server:i-2", registered()))
	d.StoreFailed(start, "no answer")
	back := start.Add(30 * time.Second)
	d.Load(back, "", depot.Batch{Revision: d.revision})
	require.Len(t, d.ids(), 2)
	d.apply(back.Add(time.Second), d.put("server:i-2", registered()))
	d.RemoveExpired(back.Add(3 * time.Second))
	require.Equal(t, []ident.ServerID{"i-2"}, d.ids())
}

func TestOldWordsOfAProcessAreIgnored(t *testing.T) {
	d := newDesk()
	s := registered()
	s.Born, s.Sequence, s.Draining = 100, 9, true
	d.apply(start, d.put("server:i-1", s))
	s.Sequence, s.Draining = 8, false
	d.apply(start, d.put("server:i-1", s))
	require.Empty(t, d.ids(), "an earlier word of the same process")
	s.Born, s.Sequence = 99, 50
	d.apply(start, d.put("server:i-1", s))
	require.Empty(t, d.ids(), "an earlier process")
	s.Born, s.Sequence = 200, 1
	d.apply(start, d.put("server:i-1", s))
	require.Equal(t, []ident.ServerID{"i-1"}, d.ids(), "a later process")
}

func TestUnreadableRegistrationNamesNoServer(t *testing.T) {
	d := newDesk()
	d.apply(start, d.put("server:i-1", registered()), d.put("server:i-2", registered()))
	d.apply(start, d.put("server:i-1", "spoiled"), d.put("server:i-3", []int{1}))
	require.Equal(t, []ident.ServerID{"i-2"}, d.ids())
}

func TestZoneOutAndIn(t *testing.T) {
	d := newDesk()
	d.apply(start, d.put("server:i-1", registered()), d.put("out:vantaa", true))
	require.Empty(t, d.ids())
	d.apply(start, d.del("out:vantaa"))
	require.Len(t, d.ids(), 1)
}

func TestReadingReplacesWhatAWatchMissed(t *testing.T) {
	d := newDesk()
	d.apply(start, d.put("server:i-1", registered()), d.put("out:espoo", true))
	kept := d.put("server:i-2", registered())
	d.Load(start.Add(time.Minute), "", depot.Batch{Items: []depot.Item{kept}, Revision: d.revision})
	require.Equal(t, []ident.ServerID{"i-2"}, d.ids())
	require.Empty(t, d.View().ZonesOut)
}

func TestMemberStaysForAWhileAfterItsLeaseLapsed(t *testing.T) {
	d := newDesk()
	member := roster.Member{VM: "vm-2", CallerAddress: "10.0.0.2:80"}
	d.apply(start, d.put(roster.PrefixMembers+"vm-2", member))
	d.apply(start, d.del(roster.PrefixMembers+"vm-2"))
	require.Len(t, d.View().Members, 1)
	d.RemoveExpired(start.Add(2 * time.Second))
	require.Empty(t, d.View().Members)
}

func TestLeavingMemberIsNotNamed(t *testing.T) {
	d := newDesk()
	d.apply(start, d.put(roster.PrefixMembers+"vm-2", roster.Member{VM: "vm-2", Leaving: true}))
	require.Empty(t, d.View().Members)
}
