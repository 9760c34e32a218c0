package depot_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

func ExamplePages() {
	first := depot.Batch{Items: []depot.Item{{Key: "a", Revision: 4}, {Key: "b", Revision: 2}}, Revision: 30}
	second := depot.Batch{Items: []depot.Item{{Key: "c", Revision: 9}}, Revision: 31}
	for _, stale := range []bool{false, true} {
		pages := depot.NewPages(stale)
		_ = pages.Add(first)
		_ = pages.Add(second)
		fmt.Println(stale, pages.Batch().Revision)
	}
	// Output:
	// false 30
	// true 4
}

// Guards against a batch that holds items of two eras, whose revisions can't be compared.
func TestPagesOfDifferentErasAreNotJoined(t *testing.T) {
	for _, stale := range []bool{false, true} {
		pages := depot.NewPages(stale)
		require.NoError(t, pages.Add(depot.Batch{Revision: depot.Era(1).Start() + 5}))
		require.ErrorIs(t, pages.Add(depot.Batch{Revision: depot.Era(2).Start() + 4}), depot.ErrUnavailable)
	}
}
