package syncer

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/conf/index"
)

// FuzzBundle checks that a bundle from another VM never lowers the revision in
// force, and that the resulting configuration can be sent to a third VM.
func FuzzBundle(f *testing.F) {
	f.Add([]byte(`{"revision":3,"index":{"serial":1,"documents":{"a":"c1"}},"documents":[{"service":"a","change":"c1","text":"x"}]}`))
	f.Add([]byte(`{"revision":3,"index":{"documents":{"a":"c1"}},"documents":[{"service":"a","change":"c1","absent":true}]}`))
	f.Add([]byte(`{"revision":9,"index":{"zones_out":{"espoo":"c2"}}}`))
	f.Add([]byte(`{"revision":9,"index":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var b Bundle
		if json.Unmarshal(data, &b) != nil {
			return
		}
		tracker := newTracker()
		tracker.merge(Bundle{Revision: 5, Index: (&index.Index{}).Clone()})
		tracker.advance()
		before := tracker.revision()
		require.EqualValues(t, 5, before)
		tracker.merge(b)
		tracker.advance()
		require.GreaterOrEqual(t, tracker.revision(), before)
		passed, ok := tracker.bundle()
		require.True(t, ok)
		other := newTracker()
		other.merge(passed)
		other.advance()
		require.Equal(t, tracker.revision(), other.revision())
	})
}
