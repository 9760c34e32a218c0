package roster_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/lab/depsrv"
)

// own is the registration of the VM that follows the store.
var own = roster.Member{VM: "vm-1", CallerAddress: "10.0.0.1:80"}

// standbyKey is where this VM registers while it stands by.
const standbyKey = roster.PrefixMembers + "standby/vm-1"

// follow runs a follower and a registrar against a simulated store, with synthetic time.
func follow(t *testing.T, test func(store *depsrv.Store, f *roster.Follower, r *roster.Registrar)) {
	t.Helper()
	followWith(t, roster.FollowerOptions{}, test)
}

func followWith(t *testing.T, options roster.FollowerOptions, test func(store *depsrv.Store, f *roster.Follower, r *roster.Registrar)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := depsrv.New()
		followStore(t, store, options, func(f *roster.Follower, r *roster.Registrar) { test(store, f, r) })
	})
}

// followStore runs a follower and a registrar against store until test returns.
func followStore(t *testing.T, store *depsrv.Store, options roster.FollowerOptions, test func(f *roster.Follower, r *roster.Registrar)) {
	t.Helper()
	f := roster.NewFollower(store, roster.NewState("vm-1", jsonDecoder{}, nil), options)
	r := roster.NewRegistrar(store, f, own, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var running conc.WaitGroup
	running.Go(func() { f.Run(ctx) })
	running.Go(func() { r.Run(ctx) })
	test(f, r)
	cancel()
	running.Wait()
}

func TestChangesAreKnownWithinThreeSeconds(t *testing.T) {
	follow(t, func(store *depsrv.Store, f *roster.Follower, _ *roster.Registrar) {
		time.Sleep(time.Second)
		for version := range 20 {
			store.Set("config:", encode(version+1))
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
		require.EqualValues(t, 20, f.View().Table.Config().Version)
	})
}

func TestStormOfChangesCostsFewCalls(t *testing.T) {
	follow(t, func(store *depsrv.Store, _ *roster.Follower, _ *roster.Registrar) {
		time.Sleep(time.Second)
		before := store.Calls()
		for version := range 100 {
			store.Set("config:", encode(version+1))
			time.Sleep(20 * time.Millisecond)
		}
		require.LessOrEqual(t, store.Calls()-before, 12)
	})
}

// The store refuses calls while much changes, and then returns the changes in many parts.
func TestManyMissedChangesAreKnownSoonAfterAnOutage(t *testing.T) {
	follow(t, func(store *depsrv.Store, f *roster.Follower, _ *roster.Registrar) {
		store.Set("config:", encode(1))
		time.Sleep(5 * time.Second)
		store.SetFaults(depsrv.Faults{Down: true})
		for version := range 4 {
			for i := range 800 {
				store.Set(fmt.Sprint("server:i-", i), encode(registered()))
			}
			store.Set("config:", encode(version+2))
		}
		time.Sleep(9 * time.Second)
		store.SetFaults(depsrv.Faults{})
		time.Sleep(1500 * time.Millisecond)
		require.EqualValues(t, 5, f.View().Table.Config().Version)
	})
}

// While changes are missing, the VM can't know that a route doesn't exist.
func TestAgeGrowsWhileChangesAreMissing(t *testing.T) {
	follow(t, func(store *depsrv.Store, f *roster.Follower, _ *roster.Registrar) {
		store.Set("config:", encode(1))
		time.Sleep(5 * time.Second)
		store.SetFaults(depsrv.Faults{Down: true})
		for i := range 3000 {
			store.Set(fmt.Sprint("server:i-", i%800), encode(registered()))
		}
		store.Set("config:", encode(2))
		time.Sleep(9 * time.Second)
		store.SetFaults(depsrv.Faults{Delay: 100 * time.Millisecond})
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if age, _ := f.Age(time.Now()); age < 4*time.Second {
				require.EqualValues(t, 2, f.View().Table.Config().Version)
			}
		}
		require.EqualValues(t, 2, f.View().Table.Config().Version)
	})
}

func TestLostHistoryIsReadAgain(t *testing.T) {
	follow(t, func(store *depsrv.Store, f *roster.Follower, _ *roster.Registrar) {
		time.Sleep(time.Second)
		store.SetFaults(depsrv.Faults{Down: true})
		time.Sleep(time.Second)
		store.Set("server:i-1", encode(registered()))
		store.Compact()
		store.SetFaults(depsrv.Faults{})
		time.Sleep(2 * time.Second)
		require.Len(t, f.View().Replicas("a"), 1)
	})
}

// A VM that was suspended or stalled doesn't use its view until the store has answered.
func TestStalledVMWaitsForTheStore(t *testing.T) {
	var suspended atomic.Int64
	options := roster.FollowerOptions{Suspended: func() time.Duration { return time.Duration(suspended.Load()) }}
	followWith(t, options, func(store *depsrv.Store, f *roster.Follower, r *roster.Registrar) {
		store.Set("config:", encode(1))
		time.Sleep(5 * time.Second)
		require.True(t, r.Serving())
		require.True(t, r.ViewUsable(time.Now()))

		suspended.Add(int64(10 * time.Second))
		age, _ := f.Age(time.Now())
		require.Greater(t, age, 10*time.Second)
		require.False(t, r.ViewUsable(time.Now()), "it calls the store first")
		time.Sleep(50 * time.Millisecond)
		require.True(t, r.ViewUsable(time.Now()), "the store has answered")

		require.False(t, r.ViewUsable(time.Now().Add(5*time.Second)), "no tick for 5 s")
		time.Sleep(5 * time.Second)
		require.False(t, r.ViewUsable(time.Now()))
		time.Sleep(50 * time.Millisecond)
		require.True(t, r.ViewUsable(time.Now()), "the store has answered")

		store.SetFaults(depsrv.Faults{Down: true})
		suspended.Add(int64(10 * time.Second))
		time.Sleep(3 * time.Second)
		require.True(t, r.ViewUsable(time.Now()), "while the store is down, an old view is better than none")
	})
}

// A watch returns nothing while the configuration changes and the history is dropped: the
// VM is up to date again within the catch-up time.
func TestSilentWatchIsNoticedInTime(t *testing.T) {
	for lead := range 8 {
		follow(t, func(store *depsrv.Store, f *roster.Follower, _ *roster.Registrar) {
			store.Set("config:", encode(1))
			time.Sleep(10*time.Second + time.Duration(lead)*300*time.Millisecond)
			store.SetFaults(depsrv.Faults{HangWatches: true})
			time.Sleep(time.Second)
			store.Set("config:", encode(2))
			store.Compact()
			time.Sleep(time.Second)
			store.SetFaults(depsrv.Faults{})
			time.Sleep(4 * time.Second)
			require.EqualValues(t, 2, f.View().Table.Config().Version, "lead %d", lead)
		})
	}
}

func TestViewOutlivesAnOutageOfTheStore(t *testing.T) {
	follow(t, func(store *depsrv.Store, f *roster.Follower, _ *roster.Registrar) {
		store.Set("config:", encode(3))
		store.Set("server:i-1", encode(registered()))
		time.Sleep(time.Second)
		store.SetFaults(depsrv.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		require.Len(t, f.View().Replicas("a"), 1)
		require.EqualValues(t, 3, f.View().Table.Config().Version)
		age, known := f.Age(time.Now())
		require.True(t, known)
		require.Greater(t, age, 9*time.Minute)
	})
}

func TestRevokedRegistrationIsWrittenAgain(t *testing.T) {
	follow(t, func(store *depsrv.Store, f *roster.Follower, _ *roster.Registrar) {
		time.Sleep(3 * time.Second)
		require.Equal(t, &own, f.OwnRegistration())
		store.DeleteKey(standbyKey)
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{standbyKey}, store.Keys())
	})
}

func TestRegistrationLapsedInAnOutageComesBack(t *testing.T) {
	follow(t, func(store *depsrv.Store, f *roster.Follower, _ *roster.Registrar) {
		time.Sleep(3 * time.Second)
		store.SetFaults(depsrv.Faults{Down: true})
		time.Sleep(20 * time.Second)
		require.Empty(t, store.Keys())
		store.SetFaults(depsrv.Faults{})
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{standbyKey}, store.Keys())
		require.Len(t, f.View().Members, 1)
	})
}

func TestRegistrationSurvivesLostAnswers(t *testing.T) {
	follow(t, func(store *depsrv.Store, f *roster.Follower, _ *roster.Registrar) {
		store.SetFaults(depsrv.Faults{LoseAnswers: true})
		time.Sleep(5 * time.Second)
		store.SetFaults(depsrv.Faults{})
		time.Sleep(3 * time.Second)
		require.Equal(t, &own, f.OwnRegistration())
		require.Equal(t, []string{standbyKey}, store.Keys())
	})
}

func TestLeavingIsPublished(t *testing.T) {
	follow(t, func(_ *depsrv.Store, f *roster.Follower, r *roster.Registrar) {
		time.Sleep(3 * time.Second)
		require.Len(t, f.View().Members, 1)
		r.Leave()
		time.Sleep(1500 * time.Millisecond)
		require.Empty(t, f.View().Members)
	})
}

func TestQuietStoreIsCalledRarely(t *testing.T) {
	follow(t, func(store *depsrv.Store, _ *roster.Follower, _ *roster.Registrar) {
		time.Sleep(5 * time.Second)
		before := store.Calls()
		time.Sleep(time.Minute)
		require.LessOrEqual(t, store.Calls()-before, 90, "one and a half calls a second")
	})
}
