package quota_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/quota"
)

// Guards against a tenant that gets more than its bound, whatever happens to VMs and messages.
func TestBoundHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{1, 2, 3, 6, 6, 12, 12, 12, 20, 40}).Draw(t, "vms")
		f := newFleet(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), count)
		limit := quota.Limit{Tenant: "north", Rate: rapid.SampledFrom([]float64{0.2, 2, 20}).Draw(t, "rate"), Burst: rapid.SampledFrom([]float64{0, 3, 30}).Draw(t, "burst")}
		pressure := rapid.SampledFrom([]float64{0.5, 3, 10}).Draw(t, "pressure")
		callers := rapid.IntRange(1, count).Draw(t, "callers")
		perStep := pressure * (limit.Rate + 4) * step.Seconds()
		each := func() {
			for n := perStep + f.random.Float64(); n >= 1; n-- {
				f.request(f.vms[f.random.IntN(callers)], limit)
			}
		}
		f.run(2*time.Second, each)
		for range rapid.IntRange(3, 12).Draw(t, "faults") {
			victim := f.vms[rapid.IntRange(0, count-1).Draw(t, "vm")]
			switch rapid.IntRange(0, 8).Draw(t, "fault") {
			case 0:
				f.kill(victim)
			case 1:
				f.start(victim)
			case 2:
				victim.frozenUntil = f.now + time.Duration(rapid.IntRange(100, 3000).Draw(t, "freeze"))*time.Millisecond
			case 3:
				for _, v := range f.vms {
					f.side[v.id] = f.random.IntN(2)
				}
			case 4:
				clear(f.side)
			case 5:
				f.loss, f.repeat = f.random.Float64()/2, f.random.Float64()/2
				f.delay = time.Duration(1+f.random.IntN(800)) * time.Millisecond
			case 6:
				f.loss, f.repeat, f.delay = 0, 0, 3*time.Millisecond
			case 7:
				for _, v := range f.vms {
					f.start(v)
				}
			default:
			}
			f.run(time.Duration(rapid.IntRange(50, 2500).Draw(t, "pause"))*time.Millisecond, each)
		}
		require.LessOrEqual(t, f.excess(limit), 0.0)
	})
}

// tenants returns a number of tenants whose usual rates, at 1.6 times of which they are limited,
// sum up to 48 requests per second, very unevenly.
func tenants(count int) []quota.Limit {
	sum := 0.0
	for i := range count {
		sum += 1 / float64(i+1)
	}
	limits := make([]quota.Limit, count)
	for i := range limits {
		limits[i] = quota.Limit{Tenant: ident.TenantID(strconv.Itoa(i)), Rate: 1.6 * 48 / sum / float64(i+1)}
	}
	return limits
}

// Guards against refusals of tenants within their quotas, while nothing happens and while VMs
// restart or are lost.
func TestTenantsWithinQuotaAreServed(t *testing.T) {
	for name, test := range map[string]struct {
		burst   float64
		disturb func(f *fleet, second int)
		// lost is the largest share of requests that may be refused although a token bucket that
		// is right at each moment has a token.
		lost float64
	}{
		"quiet": {0, func(*fleet, int) {}, 0},
		// For 0.6 s no shares are leased, and the busiest tenants use up their boot tokens.
		"start of all":    {5, func(f *fleet, second int) { restart(f, second == 5, 0, 12) }, 0.015},
		"rolling restart": {5, func(f *fleet, second int) { restart(f, second%2 == 0, second/2%12, second/2%12+1) }, 0.002},
		"third lost": {0, func(f *fleet, second int) {
			for i := range 4 {
				if second == 5 {
					f.kill(f.vms[3*i])
				}
			}
		}, 0.005},
		// For about 1 s after the last answer of an owner, only tenants with tokens held are served.
		"frozen in turn": {5, func(f *fleet, second int) {
			if second%3 == 0 {
				f.vms[second/3].frozenUntil = f.now + 2500*time.Millisecond
			}
		}, 0.025},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(rand.New(rand.NewPCG(7, 7)), 12)
			f.run(3*time.Second, nil)
			limits, sent := tenants(86), 0
			for i := range limits {
				limits[i].Burst = test.burst
			}
			for second := range 30 {
				test.disturb(f, second)
				f.run(time.Second, func() {
					for i, limit := range limits {
						if f.random.Float64() < limit.Rate/1.6*step.Seconds() && f.request(f.vms[(i+f.random.IntN(3))%12], limit) {
							sent++
						}
					}
				})
			}
			t.Logf("%d sent, %d refused, %d lost, %.0f orders a second", sent, f.refused, f.lost, float64(f.orders)/33)
			require.LessOrEqual(t, float64(f.lost), test.lost*float64(sent))
			for _, limit := range limits {
				require.LessOrEqual(t, f.excess(limit), 0.0)
			}
		})
	}
}

func restart(f *fleet, due bool, from, to int) {
	for _, v := range f.vms[from:to] {
		if due {
			f.start(v)
		}
	}
}

// Guards against a lower limit that doesn't bind because some VMs, or the bucket, still have the
// old one.
func TestLowerLimitBindsAfterOneWindow(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 2)), 12)
	before, after := quota.Limit{Tenant: "north", Rate: 40, Burst: 60, Version: 1}, quota.Limit{Tenant: "north", Rate: 2, Version: 2}
	change := 5 * time.Second
	each := func() {
		// Half of the VMs learn of the new version a second later.
		v := f.random.IntN(12)
		limit := before
		if f.now >= change && (v%2 == 0 || f.now >= change+time.Second) {
			limit = after
		}
		f.request(f.vms[v], limit)
	}
	f.run(change+time.Second, each)
	served := len(f.spent["north"])
	require.Greater(t, served, 100)
	f.spent["north"] = nil
	f.run(10*time.Second, each)
	require.LessOrEqual(t, f.excess(after), 0.0)
	require.GreaterOrEqual(t, len(f.spent["north"]), 20)
}

// Guards against VMs that go on using their shares while others may have replaced them, and
// against quotas that end while only the store is down.
func TestMinorityWithoutTheStoreUsesNoShare(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(5, 6)), 12)
	limit := quota.Limit{Tenant: "north", Rate: 100}
	f.run(3*time.Second, nil)
	f.viewAge = time.Minute
	f.run(2*time.Second, func() { f.request(f.vms[0], limit) })
	require.Greater(t, len(f.spent["north"]), 150)
	for _, v := range f.vms[:5] {
		f.side[v.id] = 1
	}
	f.run(5*time.Second, nil)
	f.spent["north"] = nil
	f.run(5*time.Second, func() { f.request(f.vms[0], limit) })
	require.LessOrEqual(t, len(f.spent["north"]), 20)
}

// Guards against owners that go on without a share, or processes that don't find the new owner,
// after the end of an owner: within 2 s a tenant has all of its quota.
func TestQuotaIsWholeTwoSecondsAfterTheEndOfAnOwner(t *testing.T) {
	for _, count := range []int{6, 12} {
		f := newFleet(rand.New(rand.NewPCG(3, 4)), count)
		limit := quota.Limit{Tenant: "north", Rate: 50}
		each := func() { f.request(f.vms[0], limit) }
		f.run(3*time.Second, nil)
		for _, v := range f.vms[1:4] {
			f.kill(v)
			f.run(2*time.Second, each)
			f.spent["north"] = nil
			f.run(2*time.Second, each)
			require.GreaterOrEqual(t, len(f.spent["north"]), 90*(count-1)/count, v.id)
			f.start(v)
			f.run(3*time.Second, nil)
		}
	}
}
