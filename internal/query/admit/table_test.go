package admit_test

import (
	"fmt"
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
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			t.Run("tenant burst", func(t *testing.T) { logSeeds(t, tenantBurst(vms, 7), seeds) })
			t.Run("kind burst", func(t *testing.T) { logSeeds(t, kindBurst(vms, 2.4), seeds) })
			t.Run("two ranks", func(t *testing.T) { logSeeds(t, twoRanks(vms), seeds) })
			t.Run("small beside large", func(t *testing.T) { logSeeds(t, smallBesideLarge(vms), seeds) })
			t.Run("half without tenant", func(t *testing.T) { logSeeds(t, halfWithoutTenant(vms), seeds) })
		})
	}
}

// logSeeds logs how the shares of the groups of a load are distributed over seeds.
func logSeeds(t *testing.T, load trial, seeds int) {
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
		t.Logf("%s, group %d: served %.4f (least %.4f, 1 in 20 below %.4f, most %.4f), at once %.4f, value %.4f, refused again %d of %d, by full servers %d",
			t.Name(), i, total.share(), shares[0], shares[len(shares)/20], shares[len(shares)-1], total.firstShare(), total.value(),
			total.refusedTwice, total.returned, total.metFull)
	}
}
