package roster_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
)

func TestColdRateIsDividedAmongFourVMs(t *testing.T) {
	table, err := routes.NewTable(&routes.Config{
		Routes:   []routes.Route{lookupRoute()},
		Services: map[ident.ServiceID]routes.Service{"used": {WarmUpRate: 8}, "free": {}},
	})
	require.NoError(t, err)
	var members []roster.Member
	for i := range 9 {
		members = append(members, roster.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Serving: i < 7})
	}
	view := roster.NewView(table, nil, members, nil)
	senders, total := 0, 0.0
	for _, m := range members {
		share := roster.ColdStartRate(view, m.VM, &roster.Replica{Server: roster.Server{ID: "i-1", Service: "used"}})
		if share > 0 {
			senders++
			require.True(t, m.Serving)
		}
		total += share
	}
	require.Equal(t, 4, senders)
	require.InDelta(t, 8, total, 1e-9)
	free := &roster.Replica{Server: roster.Server{ID: "i-1", Service: "free"}}
	require.Equal(t, math.Inf(1), roster.ColdStartRate(view, "vm-0", free))
}

// Guards against VMs that don't know of each other and together exceed a cold server's
// limit.
func TestVMThatKnowsNoOtherGetsOneShareOfTheColdRate(t *testing.T) {
	table, err := routes.NewTable(&routes.Config{
		Routes:   []routes.Route{lookupRoute()},
		Services: map[ident.ServiceID]routes.Service{"used": {WarmUpRate: 8}},
	})
	require.NoError(t, err)
	view := roster.NewView(table, nil, []roster.Member{{VM: "vm-1", Serving: true}}, nil)
	share := roster.ColdStartRate(view, "vm-1", &roster.Replica{Server: roster.Server{ID: "i-1", Service: "used"}})
	require.InDelta(t, 2, share, 1e-9)
}
