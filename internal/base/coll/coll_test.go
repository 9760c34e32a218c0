package coll_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
)

func TestCloneOfZeroSetAcceptsValues(t *testing.T) {
	var s coll.Set[int]
	c := s.Clone()
	c.Add(1)
	require.True(t, c.Has(1))
	require.False(t, s.Has(1))
}

func ExampleOption() {
	absent := coll.None[int]()
	fmt.Println(absent.Or(5), coll.Some(3).Or(5))
	// Output: 5 3
}

func ExamplePositive() {
	fmt.Println(coll.Positive(0, 5), coll.Positive(-1, 5), coll.Positive(3, 5))
	// Output: 5 5 3
}

func ExampleCompareBools() {
	fmt.Println(coll.CompareBools(false, true), coll.CompareBools(true, true), coll.CompareBools(true, false))
	// Output: -1 0 1
}
