package place_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/place"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

var zones = []ident.Zone{"a", "b", "c", "d"}

func fleet(n int) []view.Member {
	members := make([]view.Member, n)
	for i := range members {
		vm := ident.VMID(fmt.Sprintf("vm-%03d", i))
		members[i] = view.Member{Process: ident.Process{VM: vm, Incarnation: 1}, Zone: zones[i%len(zones)]}
	}
	return members
}

// config returns a configuration of services with two replicas per shard, in
// consecutive zones.
func config(services, shards int) *view.Config {
	c := &view.Config{Services: map[ident.ServiceID]*svcdoc.Document{}}
	for s := range services {
		id := ident.ServiceID(fmt.Sprintf("service-%d", s))
		doc := &svcdoc.Document{Service: id}
		for shard := range shards {
			for replica := range 2 {
				doc.Servers = append(doc.Servers, svcdoc.Server{
					ID:    ident.ServerID(fmt.Sprintf("%s/%d-%d", id, shard, replica)),
					Zone:  zones[(shard+replica+s)%len(zones)],
					Shard: ident.Shard(shard),
				})
			}
		}
		c.Services[id] = doc
	}
	return c
}

func moved(before, after map[ident.GroupID]ident.VMID) int {
	count := 0
	for group, owner := range before {
		if after[group] != owner {
			count++
		}
	}
	return count
}

func TestGroupsAreSmallAndHoldNoReplicas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		doc := &svcdoc.Document{Service: "s"}
		for i := range rapid.IntRange(0, 60).Draw(rt, "servers") {
			doc.Servers = append(doc.Servers, svcdoc.Server{
				ID:    ident.ServerID(fmt.Sprint(i)),
				Zone:  rapid.SampledFrom(zones).Draw(rt, "zone"),
				Shard: ident.Shard(rapid.IntRange(0, 20).Draw(rt, "shard")),
			})
		}
		seen := 0
		for _, g := range place.Groups(&view.Config{Services: map[ident.ServiceID]*svcdoc.Document{"s": doc}}) {
			require.LessOrEqual(rt, len(g.Servers), 5)
			shards := map[ident.Shard]bool{}
			for _, s := range g.Servers {
				require.Equal(rt, g.Zone, s.Zone)
				require.False(rt, shards[s.Shard])
				shards[s.Shard] = true
				seen++
			}
		}
		require.Equal(rt, len(doc.Servers), seen)
	})
}

func TestGroupsChangeLittle(t *testing.T) {
	c := config(1, 210)
	doc := c.Services["service-0"]
	before := groupOf(place.Groups(c))
	all := doc.Servers
	total := 0
	for i := range all {
		doc.Servers = append(append([]svcdoc.Server(nil), all[:i]...), all[i+1:]...)
		moves := 0
		for server, group := range groupOf(place.Groups(c)) {
			if before[server] != group {
				moves++
			}
		}
		total += moves
	}
	t.Logf("%d servers in %d groups: %.1f others change their group when one is removed", len(all), len(place.Groups(c)), float64(total)/float64(len(all)))
	require.LessOrEqual(t, total/len(all), 10)
}

func groupOf(groups []view.Group) map[ident.ServerID]ident.GroupID {
	of := map[ident.ServerID]ident.GroupID{}
	for _, g := range groups {
		for _, s := range g.Servers {
			of[s.ID] = g.ID
		}
	}
	return of
}

func TestPlanKeepsReplicasApartAndOwnersInZone(t *testing.T) {
	groups := place.Groups(config(10, 20))
	for _, n := range []int{8, 9, 40} {
		members := fleet(n)
		zoneOf := map[ident.VMID]ident.Zone{}
		for _, m := range members {
			zoneOf[m.Process.VM] = m.Zone
		}
		owners := place.Plan(members, groups)
		shardOwners := map[string]bool{}
		for _, g := range groups {
			require.Equal(t, g.Zone, zoneOf[owners[g.ID]])
			for _, s := range g.Servers {
				key := fmt.Sprint(g.Service, s.Shard, owners[g.ID])
				require.False(t, shardOwners[key], key)
				shardOwners[key] = true
			}
		}
	}
}

func TestPlanWithoutZoneKeepsReplicasApart(t *testing.T) {
	c := config(10, 20)
	c.ZonesOut = map[ident.Zone]ident.ChangeID{"a": "x"}
	groups := place.Groups(c)
	candidates := place.Candidates(fleet(8), c)
	require.Len(t, candidates, 6)
	owners := place.Plan(candidates, groups)
	require.Len(t, owners, len(groups))
	shardOwners := map[string]bool{}
	for _, g := range groups {
		for _, s := range g.Servers {
			key := fmt.Sprint(g.Service, s.Shard, owners[g.ID])
			require.False(t, shardOwners[key], key)
			shardOwners[key] = true
		}
	}
}

func TestPlanMovesLittle(t *testing.T) {
	groups := place.Groups(config(6, 210))
	members := fleet(460)
	before := place.Plan(members, groups)
	worstLeave, worstJoin := 0, 0
	for i := range 40 {
		leaving := members[i*11]
		rest := append(append([]view.Member(nil), members[:i*11]...), members[i*11+1:]...)
		owned := 0
		for _, vm := range before {
			if vm == leaving.Process.VM {
				owned++
			}
		}
		after := place.Plan(rest, groups)
		worstLeave = max(worstLeave, moved(before, after)-owned)
		worstJoin = max(worstJoin, moved(after, before)-owned)
	}
	t.Logf("%d groups on 460 VMs: unnecessary moves, worst of 40: leave %d, join %d", len(groups), worstLeave, worstJoin)
	require.LessOrEqual(t, worstLeave, len(groups)/50)
	require.LessOrEqual(t, worstJoin, len(groups)/50)
}

func TestVotersSpreadOverZones(t *testing.T) {
	members := fleet(8)
	for i := range 50 {
		group := ident.GroupID(fmt.Sprint("g", i))
		voters := place.Voters(members, group)
		require.Len(t, voters, 3)
		seen := map[ident.Zone]bool{}
		for _, v := range voters {
			for _, m := range members {
				if m.Process == v {
					seen[m.Zone] = true
				}
			}
		}
		require.Len(t, seen, 3)
		kept := place.Voters(members, group, members[0].Process, members[4].Process)
		require.Contains(t, kept, members[0].Process)
		require.Contains(t, kept, members[4].Process)
	}
	require.Len(t, place.Voters(fleet(2), "g"), 2)
}

func TestMonitoredMirrorsMonitors(t *testing.T) {
	members := fleet(9)
	for _, m := range members {
		for _, monitor := range place.Monitors(members, m.Process.VM) {
			require.Contains(t, place.Monitored(members, monitor.Process.VM), m)
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	groups := place.Groups(config(6, 210))
	members := fleet(460)
	b.ReportMetric(float64(len(groups)), "groups")
	for b.Loop() {
		place.Plan(members, groups)
	}
}
