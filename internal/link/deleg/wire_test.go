package deleg_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"github.com/samphirestair/samphirestair/internal/link/deleg"
)

// Guards against slowdowns that are lost or given to another server on their way through a
// delegate.
func TestReportsHoldSlowdowns(t *testing.T) {
	b := &backend{slowdowns: map[string]int{"b": 250, "d": 70}}
	c := send(t, deleg.NewClient(), serve(t, b), newOrder("a", "b", "c", "d"))
	got := map[uint32]int{}
	for _, r := range c.reports {
		for i := range r.Outcomes {
			got[r.Outcomes[i].Seq] = r.Slowdown(i)
		}
	}
	require.Equal(t, map[uint32]int{0: 0, 1: 250, 2: 0, 3: 70}, got)
}

// Guards against a report that VMs of the version before the fourth load figure can't read:
// an outcome must keep its 14 fields, and a report must say nothing new if no server tells a
// slowdown. Unknown fields are skipped.
func TestReportsAreReadableByVMsOfOtherVersions(t *testing.T) {
	outcome, err := (&deleg.Outcome{}).MarshalMsg(nil)
	require.NoError(t, err)
	fields, _, err := msgp.ReadArrayHeaderBytes(outcome)
	require.NoError(t, err)
	require.Equal(t, uint32(14), fields)

	old := &deleg.Report{Outcomes: []deleg.Outcome{{Seq: 3, Status: 200}}, Limits: []deleg.Limit{}, Ended: []deleg.Ended{}, MayHaveEnded: []deleg.Ended{}}
	fieldsOfOld, err := old.MarshalMsg(nil)
	require.NoError(t, err)
	count, rest, err := msgp.ReadMapHeaderBytes(fieldsOfOld)
	require.NoError(t, err)
	unknown := msgp.AppendString(msgp.AppendMapHeader(nil, count+1), "later")
	unknown = append(msgp.AppendArrayHeader(unknown, 0), rest...)
	var read deleg.Report
	_, err = read.UnmarshalMsg(unknown)
	require.NoError(t, err)
	require.Equal(t, old.Outcomes, read.Outcomes)
	require.Zero(t, read.Slowdown(0))
}
