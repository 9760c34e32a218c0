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

// Guards against tokens that arrive after their requests have stopped waiting, and are then held
// beside a bucket that has been refilled meanwhile.
func TestBoundHoldsWithLateAnswers(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 1)), 12)
	limit := quota.Limit{Tenant: "north", Rate: 40, Burst: 80}
	f.run(2*time.Second, nil)
	f.request(f.vms[0], limit)
	f.delay = 100 * time.Millisecond
	f.run(6*time.Second, nil)
	for range 90 {
		f.request(f.vms[f.random.IntN(len(f.vms))], limit)
	}
	f.run(1700*time.Millisecond, nil)
	f.delay = 3 * time.Millisecond
	f.run(6*time.Second, func() {
		for range 3 {
			f.request(f.vms[f.random.IntN(len(f.vms))], limit)
		}
	})
	require.LessOrEqual(t, f.excess(limit), 0.0)
}

// newLeaser returns the holder of VM "p", which has been running for a second.
func newLeaser(situation quota.Situation) *quota.Holder {
	owner := quota.NewOwner(0, 1, func() quota.Bounds { return bounds })
	holder := quota.NewHolder(0, quota.Process{VM: "p", Boot: 1}, owner)
	holder.Update(0, situation)
	holder.Update(time.Second, situation)
	return holder
}

// Guards against a VM that uses its share although it has heard nothing of the store and the other
// VMs for so long that another VM may serve in its place.
func TestIsolatedVMStopsUsingItsShare(t *testing.T) {
	limit := quota.Limit{Tenant: "north", Rate: 20, Burst: 30}
	for name, test := range map[string]struct {
		registered []ident.VMID
		age        time.Duration
		verdict    quota.Verdict
	}{
		"store is heard": {[]ident.VMID{"p", "a"}, time.Second, quota.Granted},
		"isolated":       {[]ident.VMID{"p", "a"}, 10 * time.Second, quota.Refused},
		"only VM":        {[]ident.VMID{"p"}, 10 * time.Second, quota.Granted},
	} {
		situation := quota.Situation{Owners: []ident.VMID{"p"}, Registered: test.registered, Sharers: 6, Serving: true}
		holder := newLeaser(situation)
		situation.ViewAge = test.age
		holder.Update(10*time.Second, situation)
		require.Equal(t, test.verdict, holder.Take(10*time.Second, limit).Verdict, name)
	}
}

// Guards against a limit of an older configuration that an owner takes for the newest one, since a
// VM without requests of the tenant repeats it under the new version.
func TestOrderNamesLimitsOfItsVersion(t *testing.T) {
	situation := quota.Situation{Owners: []ident.VMID{"a"}, Sharers: 6, Serving: true, Version: 1}
	holder := newLeaser(situation)
	require.Equal(t, quota.Waiting, holder.Take(time.Second, quota.Limit{Tenant: "north", Rate: 20, Version: 1}).Verdict)
	due := holder.Due(time.Second)
	require.Len(t, due, 1)
	require.Len(t, due[0].Order.Asks, 1)
	holder.Answered(time.Second, "a", due[0].Order, &quota.Reply{Boot: 2, Stamp: 1, Grants: []quota.Grant{{Count: 1}}})
	situation.Version = 2
	situation.Limit = func(tenant ident.TenantID) (quota.Limit, bool) {
		return quota.Limit{Tenant: tenant, Rate: 1, Version: 2}, true
	}
	holder.Update(3*time.Second, situation)
	due = holder.Due(3 * time.Second)
	require.Len(t, due, 1)
	require.Len(t, due[0].Order.Asks, 1)
	require.EqualValues(t, 2, due[0].Order.Asks[0].Version)
	require.Equal(t, 1.0, due[0].Order.Asks[0].Rate)
}

// Guards against returned tokens, and the memory of their tenants, that stay at a VM which had no
// owner to return them to for a while.
func TestTokensAreReturnedOnceThereIsAnOwner(t *testing.T) {
	situation := quota.Situation{Sharers: 6, Version: 1}
	holder := newLeaser(situation)
	holder.GiveBack(time.Second, quota.Limit{Tenant: "north", Rate: 20, Version: 1})
	situation.Owners = []ident.VMID{"a"}
	holder.Update(3*time.Second, situation)
	due := holder.Due(3 * time.Second)
	require.Len(t, due, 1)
	require.Len(t, due[0].Order.Asks, 1)
	require.EqualValues(t, 1, due[0].Order.Asks[0].Returned)
}

// Guards against refusals for the rest of a long interval after a single lost answer, if many VMs
// serve.
func TestOwnerIsAskedAgainSoonAfterALostAnswer(t *testing.T) {
	holder := newLeaser(quota.Situation{Owners: []ident.VMID{"a"}, Sharers: 460, Serving: true, Version: 1})
	limit := quota.Limit{Tenant: "north", Rate: 20, Version: 1}
	require.Equal(t, quota.Waiting, holder.Take(time.Second, limit).Verdict)
	due := holder.Due(time.Second)
	require.Len(t, due, 1)
	failedAt := time.Second + holder.Timeout()
	holder.Failed(failedAt, "a", due[0].Order)
	require.Equal(t, quota.Waiting, holder.Take(failedAt, limit).Verdict)
	due = holder.Due(failedAt)
	require.Len(t, due, 1)
	holder.Failed(failedAt, "a", due[0].Order)
	require.Empty(t, holder.Due(failedAt), "a refused connection leads to no hot loop")
}

// Guards against refusals of all requests of a tenant with a limit that stands for none.
func TestVeryLargeLimitsAreGranted(t *testing.T) {
	for _, ask := range []quota.Ask{{Rate: 1e10}, {Rate: 1, Burst: 1e10}, {Rate: 1e300, Burst: 1e300}} {
		owner := quota.NewOwner(0, 1, func() quota.Bounds { return bounds })
		owner.LeaseOwn(0, quota.Process{VM: "a", Boot: 1}, 1<<64-1, 1)
		ask.Tenant, ask.Need, ask.Ahead = "north", 1, 1
		limit := quota.Limit{Tenant: "north", Rate: ask.Rate, Burst: ask.Burst}
		_, ok := owner.Take(0, limit, false)
		require.True(t, ok)
		reply := owner.Handle(time.Hour, &quota.Order{VM: "p", Boot: 1, Seq: 1, Asks: []quota.Ask{ask}})
		require.GreaterOrEqual(t, reply.Grants[0].Count, uint32(1), ask)
	}
}

// Guards against a lowered limit that VMs, which the tenant has left, undo at its owner.
func TestLoweredLimitBinds(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 1)), 12)
	f.version = 1
	limit := quota.Limit{Tenant: "north", Rate: 60, Burst: 60, Version: 1}
	f.limitOf = func(ident.TenantID) (quota.Limit, bool) { return limit, true }
	f.run(3*time.Second, nil)
	f.run(3*time.Second, func() { f.request(f.vms[f.random.IntN(12)], limit) })
	limit.Rate, limit.Burst, limit.Version = 1, 0, 2
	f.version = 2
	f.run(time.Second, func() { f.request(f.vms[0], limit) })
	clear(f.spent)
	f.run(6*time.Second, func() { f.request(f.vms[0], limit) })
	require.LessOrEqual(t, f.excess(limit), 0.0)
}
