package admit_test

import (
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/sourcegraph/conc/pool"
)

// The table of many seeds is made by hand: SIMULATED_LOADS=200 go test -run Table -v.
func TestTableOfSimulatedLoads(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv("SIMULATED_LOADS"))
	if err != nil {
		t.Skip("made by hand")
	}
	for _, vms := range []int{1, 9, 63} {
		logSeeds(t, "tenant burst", tenantBurst(vms, 7), seeds)
		logSeeds(t, "kind burst", kindBurst(vms, 2.4), seeds)
		logSeeds(t, "two ranks", twoRanks(vms), seeds)
		logSeeds(t, "small beside large", smallBesideLarge(vms), seeds)
		logSeeds(t, "half without tenant", halfWithoutTenant(vms), seeds)
	}
}

// logSeeds logs how the shares of the groups of a load are distributed over seeds.
func logSeeds(t *testing.T, name string, load trial, seeds int) {
	t.Helper()
	all := make([][]sourceStats, seeds)
	group := pool.New().WithMaxGoroutines(2)
	for seed := range all {
		group.Go(func() { all[seed], _ = load.withSeed(uint64(seed)).simulate(t, "fair") })
	}
	group.Wait()
	for i := range all[0] {
		var total sourceStats
		var shares []float64
		for _, groups := range all {
			total.add(groups[i])
			shares = append(shares, groups[i].share())
		}
		slices.Sort(shares)
		t.Logf("%-20s %2d VMs, group %d: served %.4f (least %.4f, 1 in 20 below %.4f, most %.4f), at once %.4f, value %.4f, refused again %d of %d, by full servers %d",
			name, load.vms, i, total.share(), shares[0], shares[len(shares)/20], shares[len(shares)-1], total.firstShare(), total.value(),
			total.refusedTwice, total.returned, total.metFull)
	}
}
