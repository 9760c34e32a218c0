package bknd_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// FuzzParseMaps checks that parsed maps are in range, and that formatting and parsing
// them again yields the same maps.
func FuzzParseMaps(f *testing.F) {
	for _, text := range []string{"", "7=0/1", "7=0/2,8=1/2", "7=2/2", "0=0/1", "7=0", "=/", ",", "7=0/1,", "18446744073709551616=0/1"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		maps, err := bknd.ParseMaps(text)
		if err != nil {
			require.Empty(t, maps)
			return
		}
		for _, m := range maps {
			require.NotZero(t, m.Version)
			require.Less(t, uint32(m.Shard), m.Shards)
		}
		again, err := bknd.ParseMaps(bknd.FormatMaps(maps))
		require.NoError(t, err)
		require.Equal(t, maps, again)
	})
}
