package coll

import (
	"iter"
	"maps"
	"time"
)

// Recent is a set of values with the time at which each was seen last. It is not safe for
// concurrent use.
type Recent[T comparable] map[T]time.Time

// See notes values that are present at now.
func (r Recent[T]) See(now time.Time, values iter.Seq[T]) {
	for v := range values {
		r[v] = now
	}
}

// Forget drops the values that were not seen for longer than age.
func (r Recent[T]) Forget(now time.Time, age time.Duration) {
	maps.DeleteFunc(r, func(_ T, seenAt time.Time) bool { return now.Sub(seenAt) > age })
}

// Has reports whether the value is in the set.
func (r Recent[T]) Has(v T) bool {
	_, ok := r[v]
	return ok
}
