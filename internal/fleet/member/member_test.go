package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func vm(i, incarnation int) view.Member {
	return view.Member{
		Process: ident.Process{VM: ident.VMID(fmt.Sprintf("vm-%03d", i)), Incarnation: ident.Incarnation(incarnation)},
		Zone:    ident.Zone(fmt.Sprint("zone", i%4)),
		Caller:  fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
		Peer:    fmt.Sprintf("10.0.%d.%d:8001", i/250, i%250),
		Control: fmt.Sprintf("10.0.%d.%d:8002", i/250, i%250),
	}
}

func groups(n int) []ident.GroupID {
	ids := make([]ident.GroupID, n)
	for i := range ids {
		ids[i] = ident.GroupID(fmt.Sprintf("service-%d/zone%d/%d", i/80, i%4, i%80))
	}
	return ids
}

func newValue(t *testing.T, n int, inputs member.Inputs) *member.Value {
	var joins []member.Change
	for i := range n {
		joins = append(joins, member.Change{Kind: member.Join, Member: vm(i, 1)})
	}
	v, changed := member.Apply(member.New(), joins, inputs)
	require.True(t, changed)
	return v
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	v := newValue(t, 460, member.Inputs{Groups: groups(500), Listed: coll.NewSet[ident.VMID]("vm-001")})
	v, _ = member.Apply(v, []member.Change{{Kind: member.Remove, Member: vm(3, 1)}, {Kind: member.Leave, Member: vm(4, 1)}}, member.Inputs{Groups: groups(500)})
	decoded, err := member.Decode(v.Encode())
	require.NoError(t, err)
	require.Equal(t, v, decoded)
	t.Logf("460 members, 500 groups: %d bytes", len(v.Encode()))
}

func TestChangesAreIdempotent(t *testing.T) {
	inputs := member.Inputs{Groups: groups(5)}
	v := newValue(t, 8, inputs)
	changes := []member.Change{
		{Kind: member.Join, Member: vm(9, 2)},
		{Kind: member.Leave, Member: vm(1, 1)},
		{Kind: member.Remove, Member: vm(2, 1)},
	}
	once, changed := member.Apply(v, changes, inputs)
	require.True(t, changed)
	twice, changed := member.Apply(once, changes, inputs)
	require.False(t, changed)
	require.Equal(t, once, twice)
}

func TestOlderIncarnationNeitherJoinsNorRemoves(t *testing.T) {
	v := newValue(t, 3, member.Inputs{})
	v, _ = member.Apply(v, []member.Change{{Kind: member.Join, Member: vm(1, 5)}}, member.Inputs{})
	_, changed := member.Apply(v, []member.Change{
		{Kind: member.Join, Member: vm(1, 4)},
		{Kind: member.Remove, Member: vm(1, 4)},
	}, member.Inputs{})
	require.False(t, changed)
}

func TestVotersAreReplacedInTwoSteps(t *testing.T) {
	inputs := member.Inputs{Groups: groups(1)}
	group := inputs.Groups[0]
	v := newValue(t, 8, inputs)
	before := v.Groups[group]
	lost := v.Members[before.Voters[0].VM].Member
	v, _ = member.Apply(v, []member.Change{{Kind: member.Remove, Member: lost}}, inputs)
	joint := v.Groups[group]
	require.Equal(t, before.Epoch+1, joint.Epoch)
	require.Equal(t, before.Voters, joint.Prev)
	require.NotContains(t, joint.Voters, lost.Process)
	require.Contains(t, joint.Voters, before.Voters[1])

	second := v.Members[joint.Voters[2].VM].Member
	v, _ = member.Apply(v, []member.Change{{Kind: member.Remove, Member: second}}, inputs)
	require.Equal(t, joint, v.Groups[group], "voters change only after the previous ones were dropped")

	v, _ = member.Apply(v, []member.Change{{Kind: member.DropPrev, Group: group, Epoch: joint.Epoch}}, inputs)
	require.Equal(t, joint.Voters, v.Groups[group].Prev)
	_, changed := member.Apply(v, []member.Change{{Kind: member.DropPrev, Group: group, Epoch: joint.Epoch}}, inputs)
	require.False(t, changed)
}

func TestEndedNeedsNewerIncarnationOrListing(t *testing.T) {
	inputs := member.Inputs{Groups: groups(1), Listed: coll.NewSet[ident.VMID]("vm-001")}
	v := newValue(t, 3, inputs)
	v, _ = member.Apply(v, []member.Change{{Kind: member.Join, Member: vm(2, 2)}}, member.Inputs{})
	require.Equal(t, coll.NewSet(vm(2, 1).Process), member.Ended(v, nil))
	ended := member.Ended(v, coll.NewSet[ident.VMID]())
	require.Equal(t, coll.NewSet(vm(2, 1).Process, vm(1, 1).Process), ended)
}

func TestDetectorIgnoresItsOwnPause(t *testing.T) {
	d := member.NewDetector(member.DetectorOptions{})
	now := origin
	d.Watch([]view.Member{vm(1, 1), vm(2, 1)}, now)
	require.Empty(t, d.MembersToProbe(now))
	now = now.Add(time.Minute)
	require.Empty(t, d.MembersToProbe(now))
	var overdue []view.Member
	for range 16 {
		now = now.Add(100 * time.Millisecond)
		d.Heard(vm(1, 1).Process, now)
		overdue = append(overdue, d.MembersToProbe(now)...)
	}
	require.Equal(t, []view.Member{vm(2, 1)}, overdue)
	require.True(t, d.ProbeEnded(vm(2, 1).Process, false, now))
}

func TestTwoMembersMustSuspect(t *testing.T) {
	a, b := member.NewGossip(vm(0, 1).Process), member.NewGossip(vm(1, 1).Process)
	suspect := vm(2, 1).Process
	require.True(t, a.Suspect(suspect, origin))
	require.False(t, a.Dead(suspect, 8))
	require.True(t, a.Dead(suspect, 2))
	for _, r := range a.Recent(origin) {
		b.Merge(r, origin)
	}
	b.Suspect(suspect, origin)
	require.True(t, b.Dead(suspect, 8))

	alive := member.NewGossip(suspect)
	for _, r := range b.Recent(origin) {
		require.True(t, alive.Merge(r, origin))
	}
	for _, r := range alive.Recent(origin) {
		b.Merge(r, origin)
	}
	require.False(t, b.Dead(suspect, 8))
	require.Empty(t, b.Recent(origin.Add(time.Minute)))
}

func TestBatchCollectsChanges(t *testing.T) {
	b := member.NewBatch(member.BatchOptions{})
	for i := range 5 {
		b.Add(member.Change{Kind: member.Join, Member: vm(i, 1)}, origin)
		b.Add(member.Change{Kind: member.Join, Member: vm(i, 1)}, origin)
	}
	_, due := b.Take(origin.Add(100 * time.Millisecond))
	require.False(t, due)
	changes, due := b.Take(origin.Add(300 * time.Millisecond))
	require.True(t, due)
	require.Len(t, changes, 5)
	b.Add(member.Change{Kind: member.Remove, Member: vm(1, 1)}, origin)
	b.Done(true, origin)
	require.Len(t, b.Pending(), 1)
	b.Drop(b.Pending())
	require.Empty(t, b.Pending())
}
