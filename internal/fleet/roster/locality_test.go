package roster_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
)

// fleetLayout is a fleet with one search route. Each shard has a server in each of zones,
// and cores lists the VMs of each zone by their cores.
type fleetLayout struct {
	shards int
	zones  []ident.Zone
	cores  map[ident.Zone][]float64
	out    coll.Set[ident.Zone]
}

func (s fleetLayout) view(t *testing.T, serving ...ident.VMID) *roster.View {
	t.Helper()
	route := routes.Route{Name: "search", Host: "desk.example", Prefix: "/", Attempts: 2, Timeout: 1}
	services := map[ident.ServiceID]routes.Service{}
	var replicas []*roster.Replica
	for shard := range s.shards {
		service := ident.ServiceID(fmt.Sprint("desk-", shard))
		route.Shards = append(route.Shards, service)
		services[service] = routes.Service{Connections: 64}
		for _, zone := range s.zones {
			replicas = append(replicas, &roster.Replica{Server: roster.Server{
				ID: ident.ServerID(fmt.Sprint(service, zone)), Service: service, Zone: zone,
			}})
		}
	}
	table, err := routes.NewTable(&routes.Config{Routes: []routes.Route{route}, Services: services})
	require.NoError(t, err)
	var members []roster.Member
	for _, zone := range []ident.Zone{"vantaa", "espoo", "tampere", "lahti"} {
		for i, cores := range s.cores[zone] {
			m := memberIn(zone, i, cores)
			m.Serving = coll.NewSet(serving...).Has(m.VM)
			members = append(members, m)
		}
	}
	return roster.NewView(table, replicas, members, s.out)
}

func (s fleetLayout) selected(t *testing.T, count int) []ident.VMID {
	t.Helper()
	view := s.view(t)
	return coll.Sorted(roster.SelectServing(roster.EligibleToServe(view.Members, view.LocalServiceShares(), count), count))
}

func cores(count int, each float64) []float64 {
	list := make([]float64, count)
	for i := range list {
		list[i] = each
	}
	return list
}

func TestVMsOfZonesWithoutServersStandBy(t *testing.T) {
	s := fleetLayout{
		shards: 20, zones: []ident.Zone{"vantaa", "espoo"},
		cores: map[ident.Zone][]float64{"vantaa": cores(2, 1), "espoo": cores(2, 1), "tampere": cores(2, 1), "lahti": cores(1, 1)},
	}
	require.Equal(t, []ident.VMID{"espoo-0", "espoo-1", "vantaa-0", "vantaa-1"}, s.selected(t, 6))

	t.Run("reshard_to_other_zones", func(t *testing.T) {
		moved := s
		moved.zones = []ident.Zone{"tampere", "espoo"}
		require.Equal(t, []ident.VMID{"espoo-0", "espoo-1", "tampere-0", "tampere-1"}, moved.selected(t, 6))
	})
	t.Run("zone_evacuated", func(t *testing.T) {
		evacuated := s
		evacuated.out = coll.NewSet[ident.Zone]("vantaa")
		chosen := evacuated.selected(t, 6)
		require.Len(t, chosen, 4, "two VMs of other zones join")
		require.Subset(t, chosen, []ident.VMID{"espoo-0", "espoo-1"})
	})
	t.Run("zone_lost", func(t *testing.T) {
		lost := s
		lost.cores = map[ident.Zone][]float64{"espoo": cores(2, 1), "tampere": cores(2, 1), "lahti": cores(1, 1)}
		chosen := lost.selected(t, 6)
		require.Len(t, chosen, 4)
		require.Subset(t, chosen, []ident.VMID{"espoo-0", "espoo-1"})
	})
	t.Run("no_server_known", func(t *testing.T) {
		empty := s
		empty.zones = nil
		require.Len(t, empty.selected(t, 6), 6)
	})
}

// Callers spread requests evenly over the serving VMs, so a weak VM among them would get
// as many as a strong one.
func TestWeakVMsStandByWhereStrongOnesSuffice(t *testing.T) {
	s := fleetLayout{shards: 20, zones: []ident.Zone{"vantaa", "espoo", "tampere"}, cores: map[ident.Zone][]float64{
		"vantaa": append(cores(3, 0.8), cores(20, 0.2)...), "espoo": append(cores(3, 0.8), cores(20, 0.2)...),
		"tampere": append(cores(3, 0.8), cores(20, 0.2)...),
	}}
	require.Len(t, s.selected(t, 23), 9)

	weak := s
	weak.cores = map[ident.Zone][]float64{"vantaa": append(cores(1, 0.8), cores(20, 0.2)...), "espoo": cores(20, 0.2)}
	require.Len(t, weak.selected(t, 23), 23, "one strong VM has less capacity than many weak ones")
}

func TestLocalRequestShareKeepsServersBalanced(t *testing.T) {
	s := fleetLayout{shards: 1, zones: []ident.Zone{"vantaa", "espoo", "tampere", "lahti"}, cores: map[ident.Zone][]float64{
		"vantaa": cores(2, 1), "espoo": cores(2, 1), "lahti": cores(4, 1),
	}}
	for name, test := range map[string]struct {
		serving []ident.VMID
		zone    ident.Zone
		share   float64
	}{
		"callers as servers":  {[]ident.VMID{"vantaa-0", "espoo-0", "lahti-0", "lahti-1"}, "vantaa", 1},
		"half of the callers": {[]ident.VMID{"vantaa-0", "espoo-0", "lahti-0", "lahti-1"}, "lahti", 0.3},
		"no server in zone":   {[]ident.VMID{"vantaa-0"}, "turku", 0},
		"nobody serves yet":   {nil, "vantaa", 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, test.share, s.view(t, test.serving...).LocalRequestShare("desk-0", test.zone), 1e-9)
		})
	}
}
