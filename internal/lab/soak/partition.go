package soak

import (
	"fmt"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Bounds on what callers may notice of VMs that are partitioned from all backend servers:
// fewer than partitionShare as many of their requests are served as at the other VMs, and
// more than partitionTolerance plus partitionFailures of all requests fail there.
const (
	partitionShare     = 2.0 / 3
	partitionTolerance = 10
	partitionFailures  = 1.0 / 50
)

// CheckPartition checks that callers of VMs that were partitioned from all backend servers
// in [from, to] were served about as often as those of the other VMs.
func (r *Checker) CheckPartition(vms coll.Set[ident.VMID], from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var inside, outside outcomes
	for _, q := range r.requests {
		if q.SentAt.Before(from.Add(r.bounds.Contact)) || q.SentAt.After(to) || !q.leftAt.IsZero() || q.Deadly != "" || q.answer == nil || !r.boundsApply(string(q.VM), q.SentAt) {
			continue
		}
		switch {
		case !vms.Has(q.VM) && r.reachesServers(q.VM, q.SentAt):
			outside.add(q)
		case vms.Has(q.VM) && r.anyReachesServers(q.SentAt):
			inside.add(q)
		default:
		}
	}
	failed := float64(inside.sent - inside.served)
	if float64(inside.served)*float64(outside.sent) < partitionShare*float64(outside.served)*float64(inside.sent) &&
		failed > partitionTolerance+partitionFailures*float64(inside.sent+outside.sent) {
		r.addFindingf(Recover, fmt.Sprint(coll.Sorted(vms)), "partitioned VMs served %d of %d requests, the others %d of %d",
			inside.served, inside.sent, outside.served, outside.sent)
	}
}

// reachesServers reports whether a VM was neither disturbed nor partitioned from the backend
// servers during bounds.Contact before at.
func (r *Checker) reachesServers(vm ident.VMID, at time.Time) bool {
	return r.boundsApply(string(vm), at) && r.faults.NoneBetween(Partition(vm), at.Add(-r.bounds.Contact), at)
}

// anyReachesServers reports whether this holds for any VM, so that the others have a way to
// the backend servers.
func (r *Checker) anyReachesServers(at time.Time) bool {
	for vm := range r.vms {
		if r.reachesServers(vm, at) {
			return true
		}
	}
	return false
}

// outcomes counts requests, and those of them that succeeded.
type outcomes struct {
	sent, served int
}

func (o *outcomes) add(q *request) {
	o.sent++
	if q.answer.Status/100 == 2 {
		o.served++
	}
}
