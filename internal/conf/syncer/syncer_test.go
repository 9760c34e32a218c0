package syncer_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/conf/memkv"
	"github.com/samphirestair/samphirestair/internal/conf/syncer"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// peers is a Fetcher that returns the bundles of other Syncers of the test.
type peers map[ident.VMID]*syncer.Syncer

func (p peers) Fetch(_ context.Context, from view.Member) (syncer.Bundle, error) {
	peer, ok := p[from.Process.VM]
	if !ok {
		return syncer.Bundle{}, errors.New("no such VM")
	}
	bundle, _ := peer.Bundle()
	return bundle, nil
}

func member(vm ident.VMID) view.Member {
	return view.Member{Process: ident.Process{VM: vm, Incarnation: 1}}
}

func refuseAll(memkv.Op, string) memkv.Effect { return memkv.Refused }

// run starts a Syncer that stops at the end of the test. It also returns the
// revisions that the Syncer adopts.
func run(t *testing.T, kv *memkv.Store, others peers) (*syncer.Syncer, *[]ident.Revision) {
	t.Helper()
	var seen []ident.Revision
	s := syncer.New(syncer.Deps{
		Store:    kv,
		Fetch:    others,
		OnConfig: func(c *view.Config) { seen = append(seen, c.Revision) },
	}, syncer.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s, &seen
}

// write stores an edited index and returns its revision.
func write(t *testing.T, kv *memkv.Store, edit func(*index.Index)) ident.Revision {
	t.Helper()
	entry, err := kv.Get(t.Context(), index.Key)
	require.NoError(t, err)
	ix, err := index.Decode(entry.Value)
	require.NoError(t, err)
	next := ix.Clone()
	edit(next)
	next.Append(index.Change{})
	revision, err := kv.Swap(t.Context(), index.Key, entry.Revision, next.Encode())
	require.NoError(t, err)
	return revision
}

func zoneOut(ix *index.Index) { ix.ZonesOut["espoo"] = "c1" }

func TestWatchDeliversChangesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New()
		s, seen := run(t, kv, nil)
		synctest.Wait()
		revision := write(t, kv, zoneOut)
		synctest.Wait()
		require.Equal(t, []ident.Revision{0, revision}, *seen)
		require.Equal(t, revision, s.Revision())
	})
}

func TestOnConfigMayWaitForCallsOfTheSyncer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New()
		revision := write(t, kv, zoneOut)
		var s *syncer.Syncer
		received := make(chan ident.Revision, 1)
		s = syncer.New(syncer.Deps{Store: kv, Fetch: peers{}, OnConfig: func(*view.Config) {
			other := make(chan struct{})
			go func() {
				defer close(other)
				s.NotePeerRevision(member("other"), 99)
				s.LastConfirmed()
				s.State()
			}()
			<-other
			received <- s.Revision()
		}}, syncer.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx)
		require.Equal(t, revision, <-received)
	})
}

func TestPollDetectsChangesWhileWatchesFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New()
		kv.SetPlan(func(op memkv.Op, _ string) memkv.Effect {
			if op == memkv.Watch {
				return memkv.Refused
			}
			return memkv.Served
		})
		s, _ := run(t, kv, nil)
		synctest.Wait()
		revision := write(t, kv, zoneOut)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Equal(t, revision, s.Revision())
	})
}

func TestVMStartedDuringAnOutageFetchesFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New()
		others := peers{}
		write(t, kv, zoneOut)
		behind, _ := run(t, kv, nil)
		others["behind"] = behind
		synctest.Wait()

		down := memkv.New()
		down.SetPlan(refuseAll)
		kv.SetPlan(refuseAll)
		started, _ := run(t, down, others)
		time.Sleep(time.Minute)
		require.False(t, started.State().Started)

		started.NotePeerRevision(member("gone"), 99)
		started.NotePeerRevision(member("behind"), behind.Revision())
		time.Sleep(time.Second)
		require.Equal(t, behind.Revision(), started.Revision())
		require.Contains(t, started.State().StoreError, "unavailable")
		require.True(t, started.LastConfirmed().IsZero())
		require.Empty(t, started.State().PeerRevisions)
	})
}

func TestLastConfirmedIsConstantDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New()
		s, _ := run(t, kv, nil)
		time.Sleep(time.Minute)
		require.Less(t, time.Since(s.LastConfirmed()), 3*time.Second)

		kv.SetPlan(refuseAll)
		lost := s.LastConfirmed()
		time.Sleep(time.Hour)
		require.Equal(t, lost, s.LastConfirmed())

		kv.SetPlan(nil)
		time.Sleep(5 * time.Second)
		require.Less(t, time.Since(s.LastConfirmed()), 5*time.Second)
	})
}

func TestAnsweredWatchesReplacePolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New()
		kv.SetWait(time.Second)
		write(t, kv, zoneOut)
		gets := 0
		kv.SetPlan(func(op memkv.Op, _ string) memkv.Effect {
			if op == memkv.Get {
				gets++
			}
			return memkv.Served
		})
		s, _ := run(t, kv, nil)
		for range 60 {
			time.Sleep(time.Second)
			require.LessOrEqual(t, time.Since(s.LastConfirmed()), 3*time.Second)
		}
		require.LessOrEqual(t, gets, 1)
	})
}

func TestLowerRevisionOfARestoredServiceIsIgnoredAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New()
		kv.SetWait(time.Second)
		write(t, kv, zoneOut)
		revision := write(t, kv, zoneOut)
		recorder := events.New(slog.New(slog.DiscardHandler), metrics.NewSet())
		s := syncer.New(syncer.Deps{Store: kv, Events: recorder, OnConfig: func(*view.Config) {}}, syncer.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx)
		synctest.Wait()

		kv.Restore()
		write(t, kv, func(*index.Index) {})
		time.Sleep(10 * time.Minute)
		require.Equal(t, revision, s.Revision())
		history := recorder.History()
		require.Equal(t, "config_store_behind", history[len(history)-1].Kind)
	})
}

func TestUnusableDocumentKeepsThePreviousOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New()
		put := func(change ident.ChangeID, text string) {
			if text != "" {
				_, err := kv.Swap(t.Context(), index.DocumentKey("a", change), 0, []byte(text))
				require.NoError(t, err)
			}
			write(t, kv, func(ix *index.Index) { ix.Documents["a"] = change })
			synctest.Wait()
		}
		s, _ := run(t, kv, nil)
		put("good", syncer.DocumentText("a", 7))
		require.Equal(t, ident.ChangeID("good"), s.State().Documents["a"].Used)

		put("bad", "nonsense")
		require.Equal(t, ident.ChangeID("good"), s.State().Documents["a"].Used)
		require.Contains(t, s.State().Documents["a"].Problem, "missing")

		put("late", "")
		require.Contains(t, s.State().Documents["a"].Problem, "does not hold")
		_, err := kv.Swap(t.Context(), index.DocumentKey("a", "late"), 0, []byte(syncer.DocumentText("a", 8)))
		require.NoError(t, err)
		time.Sleep(3 * time.Second)
		require.Equal(t, syncer.DumpedDocument{Named: "late", Used: "late"}, s.State().Documents["a"])
	})
}
