package kvsrv

import "sync/atomic"

// Calls are the counts of calls that the service received, including refused ones.
type Calls struct {
	Gets    int64 `json:"gets"`
	Swaps   int64 `json:"swaps"`
	Watches int64 `json:"watches"`
	Leases  int64 `json:"leases"`
	// Waiting is the number of watches that are waiting now.
	Waiting int64 `json:"waiting"`
	// Conflicts counts writes that failed because the revision differed, Lost writes
	// whose answer was lost, and Refused calls refused during an outage.
	Conflicts int64 `json:"conflicts"`
	Lost      int64 `json:"lost"`
	Refused   int64 `json:"refused"`
}

// counters are the counters from which Calls is filled.
type counters struct {
	gets, swaps, watches, leases, waiting, conflicts, lost, refused atomic.Int64
}

func (c *counters) snapshot() Calls {
	return Calls{
		Gets:      c.gets.Load(),
		Swaps:     c.swaps.Load(),
		Watches:   c.watches.Load(),
		Leases:    c.leases.Load(),
		Waiting:   c.waiting.Load(),
		Conflicts: c.conflicts.Load(),
		Lost:      c.lost.Load(),
		Refused:   c.refused.Load(),
	}
}
