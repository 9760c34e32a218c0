package coll

import "maps"

// Retain removes the entries of m for whose keys keep returns false.
func Retain[K comparable, V any](m map[K]V, keep func(K) bool) {
	maps.DeleteFunc(m, func(k K, _ V) bool { return !keep(k) })
}
