package change_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/change"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/conf/memkv"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

// document returns a document with one backend server.
func document(service string, millis, port int) *svcdoc.Document {
	limits := svcdoc.Limits{Slots: 1, Connections: 1, ColdSlots: 1, WarmAfter: 1}
	return &svcdoc.Document{
		Service:  ident.ServiceID(service),
		Deadline: time.Duration(millis) * time.Millisecond,
		Classes:  []string{"phone"},
		Limits:   limits,
		Servers: []svcdoc.Server{{
			ID:      ident.ServerID(service + "/s"),
			Address: fmt.Sprintf("127.0.0.1:%d", port),
			Zone:    "espoo",
			Limits:  limits,
		}},
	}
}

// do applies a change with a timeout of ten seconds.
func do(t *testing.T, s store.Store, r change.Request) change.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return change.New(s, change.Options{}).Do(ctx, r)
}

func zoneOut(zone string) change.Request {
	return change.Request{Kind: change.ZoneOut, Subject: zone, By: "aino", Force: true}
}

func read(t *testing.T, s store.Store) *index.Index {
	t.Helper()
	_, ix, err := change.New(s, change.Options{}).Read(t.Context())
	require.NoError(t, err)
	return ix
}

func TestRejections(t *testing.T) {
	kv := memkv.New()
	require.Equal(t, change.Accepted, do(t, kv, change.Request{Kind: change.Apply, Document: document("a", 1, 1)}).Status)
	require.Equal(t, change.Unchanged, do(t, kv, change.Request{Kind: change.Apply, Document: document("a", 1, 1)}).Status)

	typo := do(t, kv, change.Request{Kind: change.ZoneOut, Subject: "espo"})
	require.Equal(t, change.Rejected, typo.Status)
	require.Contains(t, typo.Reason, `did you mean "espoo"?`)

	shared := do(t, kv, change.Request{Kind: change.Apply, Document: document("b", 1, 1)})
	require.Equal(t, change.Rejected, shared.Status)
	require.Contains(t, shared.Reason, "belongs to a/s")

	require.Equal(t, change.Unchanged, do(t, kv, change.Request{Kind: change.ServerIn, Subject: "a/s"}).Status)
	stale := change.Request{Kind: change.ServerOut, Subject: "a/s", ExpectSerial: coll.Some[uint64](0)}
	outcome := do(t, kv, stale)
	require.Equal(t, change.Rejected, outcome.Status)
	require.Len(t, outcome.Conflicts, 1)
	stale.ExpectSerial = coll.Some[uint64](1)
	require.Equal(t, change.Accepted, do(t, kv, stale).Status)
}

// withConcurrentChange returns a store in which another operator's change is
// accepted just before the first swap of the index.
func withConcurrentChange(t *testing.T, kv *memkv.Store, other change.Request) store.Store {
	return &hookedStore{Store: kv, before: func() { require.Equal(t, change.Accepted, do(t, kv, other).Status) }}
}

// hookedStore calls before once, ahead of the first swap of the index.
type hookedStore struct {
	*memkv.Store
	before func()
}

func (h *hookedStore) Swap(ctx context.Context, key string, expect ident.Revision, value []byte) (ident.Revision, error) {
	if hook := h.before; key == index.Key && hook != nil {
		h.before = nil
		hook()
	}
	return h.Store.Swap(ctx, key, expect, value)
}

func TestConcurrentChangeOfAnotherSubjectIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New()
		outcome := do(t, withConcurrentChange(t, kv, zoneOut("lahti")), zoneOut("espoo"))
		require.Equal(t, change.Accepted, outcome.Status)
		require.EqualValues(t, 2, outcome.Serial)
		require.Len(t, read(t, kv).ZonesOut, 2)
	})
}

func TestConcurrentChangeOfTheSameSubjectIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New()
		other := change.Request{Kind: change.Apply, Document: document("a", 1, 1), By: "veikko"}
		outcome := do(t, withConcurrentChange(t, kv, other), change.Request{Kind: change.Apply, Document: document("a", 2, 1)})
		require.Equal(t, change.Rejected, outcome.Status)
		require.Len(t, outcome.Conflicts, 1)
		require.Equal(t, "veikko", outcome.Conflicts[0].By)
	})
}

// onSwap returns a plan that applies the effect first to the first swap of the
// index and the effect later to every call after it.
func onSwap(first, later memkv.Effect) memkv.Plan {
	swapped := false
	return func(op memkv.Op, key string) memkv.Effect {
		if swapped {
			return later
		}
		if op == memkv.Swap && key == index.Key {
			swapped = true
			return first
		}
		return memkv.Served
	}
}

func TestDoRetriesAfterLostAnswers(t *testing.T) {
	for _, effect := range []memkv.Effect{memkv.AnswerLost, memkv.Dropped, memkv.Refused} {
		synctest.Test(t, func(t *testing.T) {
			kv := memkv.New()
			kv.SetPlan(onSwap(effect, memkv.Served))
			outcome := do(t, kv, zoneOut("espoo"))
			require.Equal(t, change.Accepted, outcome.Status)
			require.Len(t, read(t, kv).Changes, 1)
		})
	}
}

func TestSettleResolvesUnknownOutcomes(t *testing.T) {
	settled := map[memkv.Effect]change.Status{
		memkv.AnswerLost: change.Accepted,
		memkv.Dropped:    change.Rejected,
	}
	for effect, status := range settled {
		synctest.Test(t, func(t *testing.T) {
			kv := memkv.New()
			kv.SetPlan(onSwap(effect, memkv.Refused))
			outcome := do(t, kv, zoneOut("espoo"))
			require.Equal(t, change.Unknown, outcome.Status)

			kv.SetPlan(nil)
			require.Equal(t, status, change.New(kv, change.Options{}).Settle(t.Context(), outcome.ID).Status)
		})
	}
}

func TestOutageIsReportedAsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New()
		kv.SetPlan(func(memkv.Op, string) memkv.Effect { return memkv.Refused })
		require.Equal(t, change.Unavailable, do(t, kv, zoneOut("espoo")).Status)
	})
}
