package coll

import "cmp"

// Positive returns v if it is above zero, or else the fallback.
func Positive[T cmp.Ordered](v, fallback T) T {
	var zero T
	if v > zero {
		return v
	}
	return fallback
}
