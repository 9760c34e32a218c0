package index_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/conf/index"
)

// FuzzDecode checks that encoding and decoding an index again preserves it, and
// that changes can be appended to it.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(nil))
	f.Add((&index.Index{}).Encode())
	f.Add([]byte(`{"serial":2,"documents":{"a":"c1"},"zones_out":{"espoo":"c2"},` +
		`"changes":[{"id":"c2","serial":2,"kind":"zone-out","subject":"espoo","by":"aino","at":"2026-01-01T00:00:00Z"}]}`))
	f.Add([]byte(`{"changes":[{"at":"x"}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ix, err := index.Decode(data)
		if err != nil {
			return
		}
		again, err := index.Decode(ix.Encode())
		require.NoError(t, err)
		require.Equal(t, ix.Encode(), again.Encode())
		next := ix.Clone()
		next.Append(index.Change{ID: "fuzz"})
		require.Equal(t, ix.Serial+1, next.Serial)
		_, found := next.Find("fuzz")
		require.True(t, found)
	})
}
