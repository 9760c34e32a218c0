package coll

import (
	"iter"
	"maps"
	"time"
)

// LastSeen is a set of values with the time at which each was last seen. It is not
// safe for concurrent use.
type LastSeen[T comparable] map[T]time.Time

// Update adds values that were seen at now, or updates their times.
func (r LastSeen[T]) Update(now time.Time, values iter.Seq[T]) {
	for v := range values {
		r[v] = now
	}
}

// RemoveOlder removes the values that were last seen more than age before now.
func (r LastSeen[T]) RemoveOlder(now time.Time, age time.Duration) {
	maps.DeleteFunc(r, func(_ T, seenAt time.Time) bool { return now.Sub(seenAt) > age })
}

// Has reports whether the value is in the set.
func (r LastSeen[T]) Has(v T) bool {
	_, ok := r[v]
	return ok
}
