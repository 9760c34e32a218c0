package roster_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
)

func memberIn(zone ident.Zone, number int, cores float64) roster.Member {
	return roster.Member{VM: ident.VMID(fmt.Sprintf("%s-%d", zone, number)), Zone: zone, Cores: cores}
}

func TestSelectionIsSpreadOverTheZonesAndPrefersCores(t *testing.T) {
	var members []roster.Member
	for _, zone := range []ident.Zone{"vantaa", "espoo", "lahti"} {
		for i := range 8 {
			members = append(members, memberIn(zone, i, float64(i)))
		}
	}
	chosen := roster.SelectServing(members, 6)
	require.Len(t, chosen, 6)
	for _, zone := range []string{"vantaa", "espoo", "lahti"} {
		require.True(t, chosen.Has(ident.VMID(zone+"-7")))
		require.True(t, chosen.Has(ident.VMID(zone+"-6")))
	}
}

func TestServingMembersStaySelected(t *testing.T) {
	members := []roster.Member{memberIn("vantaa", 0, 0.2), memberIn("vantaa", 1, 0.8)}
	members[0].Serving = true
	require.True(t, roster.SelectServing(members, 1).Has("vantaa-0"))
	members[0].Leaving = true
	require.True(t, roster.SelectServing(members, 1).Has("vantaa-1"))
}

func TestFewMembersAllServe(t *testing.T) {
	members := []roster.Member{memberIn("vantaa", 0, 1), memberIn("espoo", 0, 1)}
	require.Len(t, roster.SelectServing(members, 9), 2)
}

func TestServingCountFollowsTheServiceWithFewestConnections(t *testing.T) {
	for connections, want := range map[int]int{64: 8, 2: 6, 5000: 64} {
		table, err := routes.NewTable(&routes.Config{
			Routes: []routes.Route{lookupRoute()},
			Services: map[ident.ServiceID]routes.Service{
				"used": {Connections: connections}, "unused": {Connections: 2},
			},
		})
		require.NoError(t, err)
		require.Equal(t, want, roster.TargetServingCount(table))
	}
}

// Guards against shares of a fleet-wide limit that add up to more than it: VMs that
// leave, or that others don't know of, use their shares too.
func TestShareCountDoesNotFallWhileVMsLeave(t *testing.T) {
	table, err := routes.NewTable(&routes.Config{
		Routes:   []routes.Route{lookupRoute()},
		Services: map[ident.ServiceID]routes.Service{"used": {Connections: 64}},
	})
	require.NoError(t, err)
	for serving, want := range map[int]int{0: 8, 3: 8, 8: 8, 10: 10} {
		var members []roster.Member
		for i := range serving {
			m := memberIn("vantaa", i, 1)
			m.Serving = true
			members = append(members, m)
		}
		require.Equal(t, want, roster.NewView(table, nil, members, nil).ShareCount, "%d known to serve", serving)
	}
	require.Equal(t, 6, roster.NewView(nil, nil, nil, nil).ShareCount)
}

func lookupRoute() routes.Route {
	return routes.Route{
		Name: "lookup", Host: "desk.example", Prefix: "/", Attempts: 1, Timeout: 1,
		Split: []routes.WeightedService{{Service: "used", Weight: 1}},
	}
}
