package lease_test

import (
	"fmt"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
)

// A process holds the lease once a majority of the voters has granted it.
func ExampleHolder() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self := ident.Process{VM: "vm-1", Incarnation: 1}
	voters := []ident.Process{self, {VM: "vm-2", Incarnation: 1}, {VM: "vm-3", Incarnation: 1}}

	holder := lease.NewHolder("search/a/0", self, lease.Options{})
	holder.SetVoterConfig(lease.VoterConfig{Epoch: 1, Voters: voters}, start)
	holder.Start()

	now := start.Add(10 * time.Second)
	for _, p := range voters[:2] {
		voter := lease.NewVoter(start, lease.Options{})
		request := holder.Request(p)
		holder.Handle(p, request, voter.Handle(self, request, now), now, now)
	}
	fmt.Println(holder.Check(now) == lease.Acquired, holder.Until(now).Sub(now))
	fmt.Println(holder.Held(now.Add(2 * time.Second)))
	// Output:
	// true 1.9s
	// false
}
