package coll

import "maps"

// Retain removes the entries of a map whose keys are not to be kept.
func Retain[K comparable, V any](m map[K]V, keep func(K) bool) {
	maps.DeleteFunc(m, func(k K, _ V) bool { return !keep(k) })
}
