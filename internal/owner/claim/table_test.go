package claim_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/claim"
)

// Simulates faults in random order. No action may run twice, and no action that has run or
// may still run may be answered as not run.
func TestActionRunsAtMostOnceAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"request": s.request, "deliverClaims": s.deliverClaims, "timeOutReplication": s.timeOutReplication,
			"deliverMessage": s.deliverMessage, "takeOverLease": s.takeOverLease, "injectFault": s.injectFault,
			"advanceClock": s.advanceClock,
		})
	})
}

func TestUnreplicatedClaimOfEarlierLeaseIsUnknown(t *testing.T) {
	now := time.Unix(1000, 0)
	table := claim.New(claim.Options{})
	request := claim.Request{Key: claim.Key{Group: "g", ID: "k"}, Issued: now, Term: 1}
	decision, _ := table.Begin(request, now)
	require.Equal(t, claim.Replicate, decision)
	require.Len(t, table.LoadClaims("g", 3, nil, now), 1)
	dispatch, _, _ := table.ClaimReplicated(request.Key, 1, false, true)
	require.False(t, dispatch)
	request.Term = 3
	decision, answer := table.Begin(request, now)
	require.Equal(t, claim.Answer, decision)
	require.Equal(t, msgs.StatusLate, answer.Status)
}

func TestRepeatedRequestGetsSameOutcome(t *testing.T) {
	now := time.Unix(1000, 0)
	table := claim.New(claim.Options{})
	key := claim.Key{Group: "g", ID: "k"}
	first := claim.Request{Key: key, Issued: now, Digest: 1, Waiter: claim.Waiter{Query: 1}}
	second := claim.Request{Key: key, Issued: now, Digest: 1, Waiter: claim.Waiter{Query: 2}}
	decision, _ := table.Begin(first, now)
	require.Equal(t, claim.Replicate, decision)
	decision, _ = table.Begin(second, now)
	require.Equal(t, claim.Wait, decision)
	dispatch, _, _ := table.ClaimReplicated(key, 0, true, true)
	require.True(t, dispatch)
	done := msgs.Answer{Status: msgs.StatusOK, Body: []byte("booked")}
	require.Equal(t, []claim.Waiter{first.Waiter, second.Waiter}, table.Resolve(key, done))
	decision, answer := table.Begin(second, now)
	require.Equal(t, claim.Answer, decision)
	require.Equal(t, done, answer)

	record, ok := table.Record(key)
	require.True(t, ok)
	successor := claim.New(claim.Options{})
	successor.LoadClaims("g", 2, map[string][]byte{"k": record}, now)
	_, answer = successor.Begin(second, now)
	require.Equal(t, done, answer)
}

func TestOldAndFutureKeysAreRefused(t *testing.T) {
	now := time.Unix(100_000, 0)
	cases := map[time.Duration]msgs.Status{
		-11 * time.Minute: msgs.StatusLate,
		-6 * time.Minute:  msgs.StatusLate,
		45 * time.Second:  msgs.StatusLate,
		2 * time.Minute:   msgs.StatusNotRun,
	}
	for age, status := range cases {
		table := claim.New(claim.Options{})
		decision, answer := table.Begin(claim.Request{Issued: now.Add(age), ClaimsCompleteSince: now.Add(-5 * time.Minute)}, now)
		require.Equal(t, claim.Answer, decision)
		require.Equal(t, status, answer.Status)
	}
}

func TestIssuedAt(t *testing.T) {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	issued, err := claim.IssuedAt(id.String())
	require.NoError(t, err)
	require.WithinDuration(t, time.Now(), issued, time.Minute)
	for _, bad := range []string{"", "x", uuid.NewString(), "{" + id.String() + "}"} {
		_, err = claim.IssuedAt(bad)
		require.Error(t, err)
	}
}
