// Package coll provides small generic collection and value types.
package coll

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of comparable values. The zero value is an empty set that can be
// read but not added to; NewSet returns one that can be added to. It is not safe
// for concurrent use.
type Set[T comparable] map[T]struct{}

// NewSet returns a set of the given values.
func NewSet[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add adds v.
func (s Set[T]) Add(v T) {
	s[v] = struct{}{}
}

// Remove removes v if it is present.
func (s Set[T]) Remove(v T) {
	delete(s, v)
}

// Has reports whether v is present.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Clone returns a copy of the set. The copy of the zero value can be added to.
func (s Set[T]) Clone() Set[T] {
	if s == nil {
		return NewSet[T]()
	}
	return maps.Clone(s)
}

// Sorted returns the values of s in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T {
	return slices.Sorted(maps.Keys(s))
}
