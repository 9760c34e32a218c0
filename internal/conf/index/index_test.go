package index_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/index"
)

func TestOldChangesAreDropped(t *testing.T) {
	ix := &index.Index{}
	for i := range 600 {
		ix.Append(index.Change{ID: ident.ChangeID(fmt.Sprint(i))})
	}
	require.EqualValues(t, 600, ix.Serial)
	_, found := ix.Find("99")
	require.False(t, found)
	oldest, found := ix.Find("100")
	require.True(t, found)
	require.EqualValues(t, 101, oldest.Serial)
}

func TestCloneSharesNothing(t *testing.T) {
	empty, err := index.Decode(nil)
	require.NoError(t, err)
	ix := empty.Clone()
	ix.ZonesOut["espoo"] = "c1"
	ix.Append(index.Change{ID: "c1"})
	require.Empty(t, empty.ZonesOut)
	require.Empty(t, empty.Changes)

	decoded, err := index.Decode(ix.Encode())
	require.NoError(t, err)
	require.Equal(t, ix, decoded)
}

func TestInvalidIndex(t *testing.T) {
	_, err := index.Decode([]byte("{"))
	require.ErrorContains(t, err, "index: decode")
}
