package engine_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/engine"
	"github.com/samphirestair/samphirestair/internal/query/snap"
)

func TestHomesOfAllRoutesHaveAVersionAfterARepartition(t *testing.T) {
	document := &svcdoc.Document{Service: "s", Servers: []svcdoc.Server{{ID: "s/a"}, {ID: "s/b", Shard: 1}}}
	v := &view.View{Config: &view.Config{Services: map[ident.ServiceID]*svcdoc.Document{"s": document}}}
	table := snap.New(snap.Options{})
	for _, server := range document.Servers {
		table.SetHoldings("s", server.ID, []msgs.Holding{{Version: 2, Shard: 0, Shards: 1}})
	}
	live := engine.NewServiceCatalog(table, func() *view.View { return v }, "s")
	for route := range 16 {
		home, ok := live.Home(strconv.Itoa(route))
		require.True(t, ok)
		require.Equal(t, ident.Version(2), home.Version, "route %d", route)
		require.Zero(t, home.VersionShard)
		require.Len(t, home.Replicas, 2)
		require.Equal(t, document.Servers[home.DocumentShard].ID, home.Server)
	}
}
