package merge_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/merge"
)

func TestTopKEqualsSortingEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 12).Draw(t, "limit")
		shards := rapid.IntRange(1, 70).Draw(t, "shards")
		top := merge.NewTopK(limit, shards)
		all := []msgs.Hit{}
		for shard := range shards {
			var hits []msgs.Hit
			for i := range rapid.IntRange(0, 5).Draw(t, "hits") {
				score := float64(rapid.IntRange(0, 3).Draw(t, "score"))
				hits = append(hits, msgs.Hit{ID: fmt.Sprint(shard, "/", i), Score: score})
			}
			require.True(t, top.Add(ident.Shard(shard), hits))
			require.False(t, top.Add(ident.Shard(shard), hits))
			all = append(all, hits...)
		}
		slices.SortFunc(all, func(a, b msgs.Hit) int {
			return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
		})
		require.Equal(t, shards, top.Answered())
		require.Equal(t, all[:min(limit, len(all))], append([]msgs.Hit{}, top.Hits()...))
	})
}

func BenchmarkTopK(b *testing.B) {
	answers := make([][]msgs.Hit, 210)
	for shard := range answers {
		for i := range 20 {
			hit := msgs.Hit{ID: fmt.Sprint(shard, i), Score: float64((shard*7919 + i*104729) % 1000)}
			answers[shard] = append(answers[shard], hit)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		top := merge.NewTopK(20, len(answers))
		for shard, hits := range answers {
			top.Add(ident.Shard(shard), hits)
		}
		top.Hits()
	}
}

// Guards against hits that keep the memory of a whole answer.
func TestCopiedHitsDoNotShareTheAnswer(t *testing.T) {
	top := merge.NewTopK(1, 2)
	doc := []byte("doc")
	require.True(t, top.AddCopy(0, []msgs.Hit{{ID: "a", Score: 1, Doc: doc}, {ID: "b", Score: 2, Doc: doc}}))
	size := top.Size()
	clear(doc)
	require.Equal(t, []msgs.Hit{{ID: "b", Score: 2, Doc: []byte("doc")}}, top.Hits())
	require.True(t, top.AddCopy(1, []msgs.Hit{{ID: "c", Score: 1, Doc: doc}}))
	require.Equal(t, size, top.Size())
}
