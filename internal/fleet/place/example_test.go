package place_test

import (
	"fmt"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/place"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// Two replicas of a shard are never in one group, and their groups are owned by
// different VMs.
func ExamplePlan() {
	doc := &svcdoc.Document{Service: "search", Servers: []svcdoc.Server{
		{ID: "search/1", Zone: "a", Shard: 0},
		{ID: "search/2", Zone: "a", Shard: 0},
	}}
	groups := place.Groups(&view.Config{Services: map[ident.ServiceID]*svcdoc.Document{"search": doc}})
	members := []view.Member{
		{Process: ident.Process{VM: "vm-1", Incarnation: 1}, Zone: "a"},
		{Process: ident.Process{VM: "vm-2", Incarnation: 1}, Zone: "a"},
	}
	owners := place.Plan(members, groups)
	fmt.Println(len(groups), owners[groups[0].ID] != owners[groups[1].ID])
	// Output: 2 true
}
