package merge_test

import (
	"bytes"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/query/merge"
)

func TestRecordsAreTheGreatestOfAllParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 8).Draw(t, "limit")
		records := merge.NewRecords(limit)
		var all [][]byte
		for range rapid.IntRange(0, 5).Draw(t, "parts") {
			// Only two byte values occur, so that equal records are likely.
			part := rapid.SliceOfN(rapid.ByteRange(0, 1), 0, 90).Draw(t, "part")
			records.Add(part)
			for whole := part; len(whole) >= merge.RecordSize; whole = whole[merge.RecordSize:] {
				all = append(all, whole[:merge.RecordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		require.Empty(t, bytes.Compare(bytes.Join(all[:min(limit, len(all))], nil), records.Bytes()))
	})
}

func BenchmarkRecords(b *testing.B) {
	part := make([]byte, 200)
	for i := range part {
		part[i] = byte(i * 37)
	}
	b.ReportAllocs()
	for b.Loop() {
		records := merge.NewRecords(10)
		for range 20 {
			records.Add(part)
		}
	}
}
