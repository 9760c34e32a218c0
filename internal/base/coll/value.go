package coll

import "cmp"

// Positive returns v if it is greater than zero, and otherwise the fallback. It
// applies defaults to options.
func Positive[T cmp.Ordered](v, fallback T) T {
	var zero T
	if v > zero {
		return v
	}
	return fallback
}

// CompareBools is like cmp.Compare for booleans; true is greater than false.
func CompareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
