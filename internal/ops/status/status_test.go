package status_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/ops/status"
)

func TestCollectCountsTheHighestSerialOnly(t *testing.T) {
	var fleet status.Fleet
	fleet.Aggregate([]status.VM{
		{VM: "vm-10", Serial: 4, Groups: []ident.GroupID{"a"}},
		{VM: "vm-2", Serial: 3},
		{VM: "vm-1", Serial: 4, Groups: []ident.GroupID{"b", "c"}},
	}, []ident.VMID{"vm-3"})
	require.Equal(t, uint64(4), fleet.Serial)
	require.Equal(t, 2, fleet.InForce)
	require.Equal(t, 3, fleet.Owned)
	require.Equal(t, ident.VMID("vm-2"), fleet.Statuses[1].VM)
}
