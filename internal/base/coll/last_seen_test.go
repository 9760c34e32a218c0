package coll_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
)

func ExampleLastSeen() {
	seen, now := coll.LastSeen[string]{}, time.Unix(0, 0)
	seen.Update(now, slices.Values([]string{"a", "b"}))
	now = now.Add(40 * time.Second)
	seen.Update(now, slices.Values([]string{"b"}))
	now = now.Add(40 * time.Second)
	seen.RemoveOlder(now, time.Minute)
	fmt.Println(seen.Has("a"), seen.Has("b"))
	// Output: false true
}

func ExampleRetain() {
	failures := map[string]int{"a": 1, "b": 2}
	coll.Retain(failures, func(id string) bool { return id == "b" })
	fmt.Println(failures)
	// Output: map[b:2]
}
