package kvsrv

import "sync/atomic"

// Calls counts the calls that the service received, refused ones included.
type Calls struct {
	Gets    int64 `json:"gets"`
	Swaps   int64 `json:"swaps"`
	Watches int64 `json:"watches"`
	Leases  int64 `json:"leases"`
	// Waiting is the number of watches that wait at present.
	Waiting int64 `json:"waiting"`
	// Conflicts, Lost and Refused count writes that met another revision,
	// writes whose answer was lost, and calls refused during an outage.
	Conflicts int64 `json:"conflicts"`
	Lost      int64 `json:"lost"`
	Refused   int64 `json:"refused"`
}

// counters are the counters behind Calls.
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
