package snap_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/snap"
)

func document() *svcdoc.Document {
	return &svcdoc.Document{Service: "s", Servers: []svcdoc.Server{
		{ID: "s/a0", Zone: "a", Shard: 0},
		{ID: "s/a1", Zone: "a", Shard: 1},
		{ID: "s/b0", Zone: "b", Shard: 0},
		{ID: "s/b1", Zone: "b", Shard: 1},
	}}
}

func holds(version uint64, shard, shards uint32) msgs.Holding {
	return msgs.Holding{Version: version, Shard: shard, Shards: shards}
}

func TestPinWithoutHoldingsUsesTheShardCountOfTheDocument(t *testing.T) {
	plan := snap.New(snap.Options{}).Pin(&view.Config{}, document())
	require.Equal(t, ident.Version(0), plan.Version)
	require.Equal(t, 2, plan.Shards)
	require.Zero(t, plan.Covered)
}

func TestPinPrefersCompleteVersionsThenTheNewest(t *testing.T) {
	table, config, doc := snap.New(snap.Options{}), &view.Config{}, document()
	table.SetHoldings("s", "s/a0", []msgs.Holding{holds(1, 0, 2), holds(2, 0, 2)})
	table.SetHoldings("s", "s/a1", []msgs.Holding{holds(1, 1, 2)})
	require.Equal(t, ident.Version(1), table.Pin(config, doc).Version)

	table.SetHoldings("s", "s/b1", []msgs.Holding{holds(2, 1, 2)})
	plan := table.Pin(config, doc)
	require.Equal(t, ident.Version(2), plan.Version)
	require.True(t, plan.Complete())

	table.SetHoldings("s", "s/b1", nil)
	require.Equal(t, ident.Version(1), table.Pin(config, doc).Version)
}

func TestPinCountsTheShardsOfServersThatAreOut(t *testing.T) {
	table, doc := snap.New(snap.Options{}), document()
	table.SetHoldings("s", "s/a0", []msgs.Holding{holds(1, 0, 2)})
	table.SetHoldings("s", "s/b1", []msgs.Holding{holds(1, 1, 2)})
	config := &view.Config{ZonesOut: map[ident.Zone]ident.ChangeID{"b": "c"}}
	plan := table.Pin(config, doc)
	require.Equal(t, 2, plan.Shards)
	require.Equal(t, 1, plan.Covered)
	require.Empty(t, plan.Replicas[1])
}

func TestProbesAskUnusedServersOncePerInterval(t *testing.T) {
	table, config, doc := snap.New(snap.Options{}), &view.Config{}, document()
	table.SetHoldings("s", "s/a0", []msgs.Holding{holds(1, 0, 2)})
	table.SetHoldings("s", "s/a1", []msgs.Holding{holds(1, 1, 2)})
	now := time.Unix(100, 0)
	require.Len(t, table.DueProbes(now, config, doc), 2)
	require.Empty(t, table.DueProbes(now.Add(time.Millisecond), config, doc))
	require.Len(t, table.DueProbes(now.Add(2*time.Second), config, doc), 2)
}

func TestPinKeepsTheOldVersionUntilARepartitionIsComplete(t *testing.T) {
	table, config, doc := snap.New(snap.Options{}), &view.Config{}, document()
	table.SetHoldings("s", "s/a0", []msgs.Holding{holds(1, 0, 2), holds(2, 0, 3)})
	table.SetHoldings("s", "s/a1", []msgs.Holding{holds(1, 1, 2), holds(2, 1, 3)})
	require.Equal(t, ident.Version(1), table.Pin(config, doc).Version)
	table.SetHoldings("s", "s/b0", []msgs.Holding{holds(2, 2, 3)})
	plan := table.Pin(config, doc)
	require.Equal(t, ident.Version(2), plan.Version)
	require.Equal(t, 3, plan.Shards)
}

func TestMostHeldVersion(t *testing.T) {
	table, doc := snap.New(snap.Options{}), document()
	servers := []*svcdoc.Server{&doc.Servers[0], &doc.Servers[2]}
	require.Zero(t, table.MostHeldVersion(servers, 0))
	table.SetHoldings("s", "s/a0", []msgs.Holding{holds(1, 0, 2), holds(2, 0, 2)})
	require.Equal(t, ident.Version(2), table.MostHeldVersion(servers, 0))
	table.SetHoldings("s", "s/b0", []msgs.Holding{holds(1, 0, 2)})
	require.Equal(t, ident.Version(1), table.MostHeldVersion(servers, 0))
}

func TestConfirmHoldingOnlyIfNoHoldingsAreKnown(t *testing.T) {
	table, config, doc := snap.New(snap.Options{}), &view.Config{}, document()
	table.ConfirmHolding("s", "s/b0", 1, 0)
	table.SetHoldings("s", "s/a0", []msgs.Holding{holds(1, 0, 2)})
	table.SetHoldings("s", "s/a1", []msgs.Holding{holds(1, 1, 2)})
	require.Len(t, table.Pin(config, doc).Replicas[0], 1)
	table.ConfirmHolding("s", "s/b0", 2, 0)
	require.Len(t, table.Pin(config, doc).Replicas[0], 1)
	table.ConfirmHolding("s", "s/b0", 1, 0)
	table.ConfirmHolding("s", "s/a0", 1, 1)
	require.Len(t, table.Pin(config, doc).Replicas[0], 2)
	require.Len(t, table.Pin(config, doc).Replicas[1], 1)
	table.SetHoldings("s", "s/b0", nil)
	require.Len(t, table.Pin(config, doc).Replicas[0], 1)
}
