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

// stateUnderTest is a State with the revision of the store that a test writes to.
type stateUnderTest struct {
	*roster.State
	revision depot.Position
}

func newStateUnderTest() *stateUnderTest {
	return &stateUnderTest{State: roster.NewState("vm-1", jsonDecoder{}, nil)}
}

func (state *stateUnderTest) put(key string, value any) depot.Item {
	state.revision++
	return depot.Item{Key: key, Value: encode(value), Revision: state.revision}
}

func (state *stateUnderTest) del(key string) depot.Item {
	state.revision++
	return depot.Item{Key: key, Revision: state.revision, Deleted: true}
}

func (state *stateUnderTest) apply(now time.Time, items ...depot.Item) {
	state.Apply(now, depot.Batch{Items: items, Revision: state.revision})
}

// ids returns the backend servers of service "a" that may get requests.
func (state *stateUnderTest) ids() []ident.ServerID {
	var ids []ident.ServerID
	for _, r := range state.View().Replicas("a") {
		ids = append(ids, r.ID)
	}
	return ids
}

// registered returns the registration of a backend server of service "a".
func registered() roster.Server {
	return roster.Server{Service: "a", Address: "10.0.0.1:80", Zone: "vantaa", Slots: 2}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	state := newStateUnderTest()
	state.apply(start, state.put("config:", 7))
	state.apply(start, state.put("config:", 5), state.put("config:", "unusable"))
	require.EqualValues(t, 7, state.View().Table.Config().Version)
}

// countingDecoder counts the configurations that are decoded.
type countingDecoder struct {
	jsonDecoder
	configs *int
}

func (r countingDecoder) Config(value []byte) (*routes.Config, error) {
	*r.configs++
	return r.jsonDecoder.Config(value)
}

// Many configurations arrive in one batch: only the last usable one, and unusable ones
// after it, are decoded.
func TestOnlyLastUsableConfigurationIsDecoded(t *testing.T) {
	read := 0
	book := roster.NewState("vm-1", countingDecoder{configs: &read}, nil)
	storm := depot.Batch{Revision: 30}
	for version := range 30 {
		storm.Items = append(storm.Items, depot.Item{Key: "config:", Value: encode(version + 1), Revision: depot.Position(version + 1)})
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

func TestDrainingServerGetsNoRequests(t *testing.T) {
	state := newStateUnderTest()
	s := registered()
	state.apply(start, state.put("server:i-1", s))
	require.Equal(t, []ident.ServerID{"i-1"}, state.ids())
	s.Draining = true
	state.apply(start, state.put("server:i-1", s))
	require.Empty(t, state.ids())
}

func TestServerIsRemovedAtOnceWhileTheStoreIsUp(t *testing.T) {
	state := newStateUnderTest()
	state.apply(start, state.put("server:i-1", registered()))
	state.apply(start.Add(time.Minute), state.del("server:i-1"))
	require.Empty(t, state.ids())
}

func TestServerLapsedDuringAnOutageHasAGracePeriod(t *testing.T) {
	state := newStateUnderTest()
	state.apply(start, state.put("server:i-1", registered()), state.put("server:i-2", registered()))
	state.StoreFailed(start, start, "no answer")
	back := start.Add(30 * time.Second)
	state.Load(back, "", depot.Batch{Revision: state.revision})
	require.Len(t, state.ids(), 2)
	state.apply(back.Add(time.Second), state.put("server:i-2", registered()))
	state.RemoveExpired(back.Add(3 * time.Second))
	require.Equal(t, []ident.ServerID{"i-2"}, state.ids())
}

// Guards against a server that is used for seconds after its removal because one call timed out on a
// connection that had become silent, and against a server that lapsed during an outage and is gone
// at once.
func TestOnlyOutagesHaveAGracePeriod(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const none = "no answer"
	for name, test := range map[string]struct {
		fail  func(state *stateUnderTest)
		keeps bool
	}{
		"one call": {func(s *stateUnderTest) { s.StoreFailed(at(2700), at(0), none) }, false},
		"two calls at once": {func(s *stateUnderTest) {
			s.StoreFailed(at(1000), at(0), none)
			s.StoreFailed(at(2700), at(900), none)
		}, false},
		"answered in between": {func(s *stateUnderTest) {
			s.StoreFailed(at(1000), at(0), none)
			s.StoreAnswered(at(1100))
			s.StoreFailed(at(2000), at(1200), none)
		}, false},
		"a call after a failure": {func(s *stateUnderTest) {
			s.StoreFailed(at(1000), at(0), none)
			s.StoreFailed(at(2000), at(1100), none)
		}, true},
		"refusals": {func(s *stateUnderTest) {
			s.StoreFailed(at(1), at(0), none)
			s.StoreFailed(at(3), at(2), none)
		}, true},
		"no call for long": {func(s *stateUnderTest) { s.StoreFailed(at(100), at(0), none) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			state := newStateUnderTest()
			state.apply(start, state.put("server:i-1", registered()))
			test.fail(state)
			state.apply(at(2800), state.del("server:i-1"))
			require.Equal(t, test.keeps, len(state.ids()) == 1)
			state.RemoveExpired(at(2800 + 2300))
			require.Empty(t, state.ids())
		})
	}
}

func TestOutdatedRegistrationsAreIgnored(t *testing.T) {
	state := newStateUnderTest()
	s := registered()
	s.Born, s.Sequence, s.Draining = 100, 9, true
	state.apply(start, state.put("server:i-1", s))
	s.Sequence, s.Draining = 8, false
	state.apply(start, state.put("server:i-1", s))
	require.Empty(t, state.ids(), "an earlier registration of the same process")
	s.Born, s.Sequence = 99, 50
	state.apply(start, state.put("server:i-1", s))
	require.Empty(t, state.ids(), "an earlier process")
	s.Born, s.Sequence = 200, 1
	state.apply(start, state.put("server:i-1", s))
	require.Equal(t, []ident.ServerID{"i-1"}, state.ids(), "a later process")
}

func TestServerWithUnusableRegistrationIsRemoved(t *testing.T) {
	state := newStateUnderTest()
	state.apply(start, state.put("server:i-1", registered()), state.put("server:i-2", registered()))
	state.apply(start, state.put("server:i-1", "spoiled"), state.put("server:i-3", []int{1}))
	require.Equal(t, []ident.ServerID{"i-2"}, state.ids())
}

func TestZoneOutAndIn(t *testing.T) {
	state := newStateUnderTest()
	state.apply(start, state.put("server:i-1", registered()), state.put("out:vantaa", true))
	require.Empty(t, state.ids())
	state.apply(start, state.del("out:vantaa"))
	require.Len(t, state.ids(), 1)
}

func TestLoadRemovesWhatAWatchMissed(t *testing.T) {
	state := newStateUnderTest()
	state.apply(start, state.put("server:i-1", registered()), state.put("out:espoo", true))
	kept := state.put("server:i-2", registered())
	state.Load(start.Add(time.Minute), "", depot.Batch{Items: []depot.Item{kept}, Revision: state.revision})
	require.Equal(t, []ident.ServerID{"i-2"}, state.ids())
	require.Empty(t, state.View().ZonesOut)
}

func TestMemberHasAGracePeriodAfterItsLeaseLapsed(t *testing.T) {
	state := newStateUnderTest()
	member := roster.Member{VM: "vm-2", CallerAddress: "10.0.0.2:80"}
	state.apply(start, state.put(roster.PrefixMembers+"vm-2", member))
	state.apply(start, state.del(roster.PrefixMembers+"vm-2"))
	require.Len(t, state.View().Members, 1)
	state.RemoveExpired(start.Add(2 * time.Second))
	require.Empty(t, state.View().Members)
}

func TestLeavingMemberIsNotInTheView(t *testing.T) {
	state := newStateUnderTest()
	state.apply(start, state.put(roster.PrefixMembers+"vm-2", roster.Member{VM: "vm-2", Leaving: true}))
	require.Empty(t, state.View().Members)
}

// Guards against VMs that lapse and are forgotten at once, so that nobody tells them, and against
// ones that are told so although they left, stand by or are registered again.
func TestLapsedServingVMsAreKnownForAWhile(t *testing.T) {
	state := newStateUnderTest()
	serving := func(vm ident.VMID) roster.Member { return roster.Member{VM: vm, Serving: true} }
	lapsed := func() (vms []ident.VMID) {
		for _, m := range state.View().Lapsed {
			vms = append(vms, m.VM)
		}
		return vms
	}
	state.apply(start, state.put(roster.ServingKey("vm-2"), serving("vm-2")), state.put(roster.ServingKey("vm-3"), roster.Member{VM: "vm-3", Serving: true, Leaving: true}),
		state.put("fleet/standby/vm-4", roster.Member{VM: "vm-4"}), state.put(roster.ServingKey("vm-1"), serving("vm-1")))
	state.apply(start, state.del(roster.ServingKey("vm-2")), state.del(roster.ServingKey("vm-3")), state.del("fleet/standby/vm-4"), state.del(roster.ServingKey("vm-1")))
	require.Empty(t, lapsed(), "it is kept for a short time")
	gone := start.Add(time.Second)
	state.RemoveExpired(gone)
	require.Equal(t, []ident.VMID{"vm-2"}, lapsed())
	state.RemoveExpired(gone.Add(19 * time.Second))
	require.Equal(t, []ident.VMID{"vm-2"}, lapsed())
	state.apply(gone, state.put(roster.ServingKey("vm-2"), serving("vm-2")))
	require.Empty(t, lapsed())
	state.apply(gone, state.del(roster.ServingKey("vm-2")))
	state.RemoveExpired(gone.Add(time.Second))
	require.Len(t, lapsed(), 1)
	state.RemoveExpired(gone.Add(21 * time.Second))
	require.Empty(t, lapsed())
}
