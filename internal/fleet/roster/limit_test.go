package roster_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
)

// All VMs together must not send more than the limit, whatever each of them knows of the
// others: one that knows only itself gets no more than its part of the target number.
func TestLimitIsDividedAmongServingVMs(t *testing.T) {
	var members []roster.Member
	for i := range 12 {
		members = append(members, roster.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Serving: i < 9})
	}
	view := roster.NewView(nil, nil, members, nil)
	total := 0.0
	for _, m := range members {
		rate, _ := roster.LimitedRate(view, m.VM, 18)
		require.Equal(t, m.Serving, rate > 0)
		total += rate
	}
	require.InDelta(t, 18, total, 1e-9)

	alone := roster.NewView(nil, nil, members[:1], nil)
	rate, _ := roster.LimitedRate(alone, "vm-0", 18)
	require.InDelta(t, 3, rate, 1e-9)
	rate, _ = roster.LimitedRate(alone, "vm-1", 18)
	require.Zero(t, rate, "a VM that leaves")
}

// All VMs may send at the same time, and again at the end of the window. Together they
// must not exceed what a server with a limit may get, unless they spread their requests.
func TestSimultaneousRequestsFitTheLimit(t *testing.T) {
	for vms := 6; vms <= 64; vms++ {
		var members []roster.Member
		for i := range vms {
			members = append(members, roster.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Serving: true})
		}
		view := roster.NewView(nil, nil, members, nil)
		for limit := 0.0; limit < 50; limit += 0.1 {
			rate, spread := roster.LimitedRate(view, "vm-0", limit)
			if spread {
				require.Less(t, limit, float64(vms)/6)
				continue
			}
			perWindow := math.Ceil(4 * rate)
			require.LessOrEqual(t, float64(vms)*perWindow, 6*limit+5, "%d VMs, limit %v", vms, limit)
			require.GreaterOrEqual(t, rate*float64(vms), limit/2, "%d VMs, limit %v", vms, limit)
		}
	}
}
