package seeds_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/fleet/seeds"
)

type testSource struct {
	view  *roster.View
	age   time.Duration
	known bool
}

func (source *testSource) View() *roster.View                  { return source.view }
func (source *testSource) Age(time.Time) (time.Duration, bool) { return source.age, source.known }

func viewOf(t *testing.T, version ident.Version) *roster.View {
	t.Helper()
	table, err := routes.NewTable(&routes.Config{
		Version:  version,
		Routes:   []routes.Route{{Name: "lookup", Host: "desk.example", Prefix: "/", Attempts: 1, Timeout: time.Second, Split: []routes.WeightedService{{Service: "desk", Weight: 1}}}},
		Services: map[ident.ServiceID]routes.Service{"desk": {Connections: 26}},
	})
	require.NoError(t, err)
	return roster.NewView(table, []*roster.Replica{
		{Server: roster.Server{ID: "i-1", Service: "desk", Zone: "vantaa", Address: "10.0.0.5:80", Born: 7}},
		{Server: roster.Server{ID: "i-2", Service: "desk", Zone: "lahti", Address: "10.0.0.6:80"}, ColdUntil: time.Now().Add(time.Minute)},
	}, []roster.Member{{VM: "vm-2", Zone: "vantaa", Serving: true, CallerAddress: "10.0.0.2:80"}}, coll.NewSet[ident.Zone]("espoo"))
}

func serve(t *testing.T, source *testSource) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: seeds.Handler(source)}
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		require.NoError(t, server.Shutdown())
		running.Wait()
	})
	return listener.Addr().String()
}

func clientOf(addresses ...string) *seeds.Client {
	return seeds.NewClient(func() []string { return addresses })
}

// A VM that starts without the store adopts another VM's snapshot, which leaves out the
// backend servers that get no requests.
func TestSnapshotOfAnotherVMIsAdopted(t *testing.T) {
	source := &testSource{view: viewOf(t, 9), age: 1500 * time.Millisecond, known: true}
	silent := &testSource{view: viewOf(t, 4)}
	client := clientOf(serve(t, silent), serve(t, source))
	snapshot, age, err := client.FetchSnapshot(t.Context())
	require.NoError(t, err)
	require.GreaterOrEqual(t, age, 1500*time.Millisecond)

	book := roster.NewState("vm-1", nil, nil)
	require.True(t, book.AdoptSnapshot(time.Now(), snapshot))
	view := book.View()
	require.EqualValues(t, 9, view.Table.Config().Version)
	require.NotNil(t, view.Table.Match("desk.example", "/x"))
	require.Len(t, view.Replicas("desk"), 2)
	require.Equal(t, int64(7), view.Replicas("desk")[0].Born)
	require.True(t, view.Replicas("desk")[1].ColdUntil.After(time.Now().Add(50*time.Second)))
	require.Equal(t, 1, view.ServingCount)
	require.True(t, view.ZonesOut.Has("espoo"))

	older := *snapshot.Config
	older.Version = 8
	require.False(t, book.AdoptSnapshot(time.Now(), &roster.Snapshot{Config: &older}), "a process never returns to an older version")
}

// A VM that stands by may have followed no changes for minutes, while another VM called
// the store a moment ago.
func TestNewestSnapshotIsReturned(t *testing.T) {
	old := serve(t, &testSource{view: viewOf(t, 8), age: 4 * time.Minute, known: true})
	recent := serve(t, &testSource{view: viewOf(t, 9), age: 2 * time.Second, known: true})
	for name, addresses := range map[string][]string{
		"oldest first":   {old, recent},
		"newest first":   {recent, old},
		"one is down":    {old, "127.0.0.1:1", recent},
		"many old, late": {old, old, old, old, recent},
	} {
		t.Run(name, func(t *testing.T) {
			client := clientOf(addresses...)
			snapshot, age, err := client.FetchSnapshot(t.Context())
			require.NoError(t, err)
			require.EqualValues(t, 9, snapshot.Config.Version)
			require.InDelta(t, 2*time.Second, age, float64(time.Second))
		})
	}
}

func TestNoVMReturnsASnapshot(t *testing.T) {
	for name, addresses := range map[string][]string{
		"no seeds":            nil,
		"seed without a view": {serve(t, &testSource{view: roster.NewView(nil, nil, nil, nil)})},
		"seed that is down":   {"127.0.0.1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			client := clientOf(addresses...)
			_, _, err := client.FetchSnapshot(t.Context())
			require.ErrorIs(t, err, seeds.ErrNoSnapshot)
		})
	}
}

// A VM that knows a newer configuration may fail before it has sent it. The caller must
// learn that, so that it asks again.
func TestNewerConfigurationThatCannotBeFetched(t *testing.T) {
	newer := serve(t, &testSource{view: viewOf(t, 9)})
	config, err := clientOf(newer).FetchNewerConfig(t.Context(), 8)
	require.ErrorIs(t, err, seeds.ErrNoSnapshot)
	require.Nil(t, config)
}

func TestNewerConfigurationOfAnotherVM(t *testing.T) {
	newer := serve(t, &testSource{view: viewOf(t, 9), age: time.Second, known: true})
	without := serve(t, &testSource{view: roster.NewView(nil, nil, nil, nil)})
	config, err := clientOf(newer, without).FetchNewerConfig(t.Context(), 8)
	require.NoError(t, err)
	require.EqualValues(t, 9, config.Version)
	config, err = clientOf(newer, "127.0.0.1:1").FetchNewerConfig(t.Context(), 9)
	require.NoError(t, err)
	require.Nil(t, config)
	_, err = clientOf(without).FetchNewerConfig(t.Context(), 1)
	require.ErrorIs(t, err, seeds.ErrNoSnapshot)
}
