package depot_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

func ExamplePosition() {
	before, _ := depot.NewPosition(1, 900)
	after, _ := depot.NewPosition(2, 880)
	fmt.Println(before < after, after.Era(), after.Revision())
	// Output: true 2 880
}

func TestTooLargePositions(t *testing.T) {
	_, err := depot.NewPosition(1<<24, 1)
	require.Error(t, err)
	_, err = depot.NewPosition(1, 1<<40)
	require.Error(t, err)
}
