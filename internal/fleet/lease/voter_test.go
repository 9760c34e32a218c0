package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
)

// startedVoter returns a voter that grants requests at the returned time.
func startedVoter() (*lease.Voter, time.Time) {
	return lease.NewVoter(origin, lease.Options{}), origin.Add(time.Minute)
}

func request(kind lease.Kind, term uint64) lease.Request {
	return lease.Request{Kind: kind, Group: group, Term: term, Epoch: 1}
}

func TestDelayedReleaseOfAnEarlierTermChangesNothing(t *testing.T) {
	v, now := startedVoter()
	p := ident.Process{VM: "a", Incarnation: 1}
	v.Handle(p, request(lease.Acquire, 1), now)
	v.Handle(p, request(lease.Release, 1), now)
	require.Equal(t, lease.Granted, v.Handle(p, request(lease.Acquire, 2), now).Refusal)
	require.Equal(t, lease.OldTerm, v.Handle(p, request(lease.Release, 1), now).Refusal)
	require.Equal(t, lease.Held, v.Handle(ident.Process{VM: "b"}, request(lease.Acquire, 3), now).Refusal)
}

func TestHolderRenewsAfterAFailedAttemptOfAnother(t *testing.T) {
	v, now := startedVoter()
	holder, other := ident.Process{VM: "a", Incarnation: 1}, ident.Process{VM: "b", Incarnation: 1}
	v.Handle(other, request(lease.Acquire, 2), now)
	require.Equal(t, lease.Held, v.Handle(holder, request(lease.Renew, 1), now).Refusal)
	v.Handle(other, request(lease.Release, 2), now)
	require.Equal(t, lease.Granted, v.Handle(holder, request(lease.Renew, 1), now).Refusal)
	now = now.Add(time.Minute)
	require.Equal(t, lease.OldTerm, v.Handle(other, request(lease.Acquire, 2), now).Refusal)
	require.Equal(t, lease.Granted, v.Handle(other, request(lease.Acquire, 3), now).Refusal)
}
