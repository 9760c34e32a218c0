package home_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/home"
)

var (
	self  = ident.Process{VM: "vm-1", Incarnation: 1}
	entry = ident.Process{VM: "vm-2", Incarnation: 5}
	other = ident.Process{VM: "vm-3", Incarnation: 2}
)

// link is a mesh that keeps what is sent.
type link struct {
	queries []msgs.Query
	owners  []ident.VMID
	answers []msgs.Answer
}

func (l *link) SendQuery(to view.Member, q msgs.Query) {
	l.queries = append(l.queries, q)
	l.owners = append(l.owners, to.Process.VM)
}

func (l *link) SendReply(_ view.Member, r msgs.Reply) { l.answers = append(l.answers, r.Answers...) }
func (l *link) SendCancel(view.Member, msgs.Cancel)   {}

// voters is a replicator.
type voters struct {
	fail    bool
	delay   time.Duration
	records map[string][]byte
	since   time.Time
}

func (v *voters) Replicate(ctx context.Context, _ ident.GroupID, _ uint64, key string, record []byte) error {
	select {
	case <-time.After(v.delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	if v.fail {
		return errors.New("no majority")
	}
	v.records[key] = record
	return nil
}

func (v *voters) Claims(ident.GroupID) map[string][]byte  { return v.records }
func (v *voters) ClaimsSince(ident.GroupID) time.Time     { return v.since }
func (v *voters) HandleQuery(ident.Process, msgs.Query)   {}
func (v *voters) HandleCancel(ident.Process, msgs.Cancel) {}

// fixture is a home that holds the lease of the first of two replicas.
type fixture struct {
	t       *testing.T
	home    *home.Home
	link    *link
	voters  *voters
	holding *view.Holding
	views   *view.Publisher
	key     string
	asks    uint64
}

// run runs the test body with a fixture under a fake clock.
func run(t *testing.T, body func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		key, err := uuid.NewV7()
		require.NoError(t, err)
		f := &fixture{
			t: t, link: &link{}, voters: &voters{records: map[string][]byte{}}, views: &view.Publisher{},
			holding: &view.Holding{Term: 3}, key: key.String(),
		}
		f.publish()
		f.start()
		body(f)
	})
}

func (f *fixture) publish() {
	f.holding.Renew(time.Now().Add(24 * time.Hour))
	document := &svcdoc.Document{Servers: []svcdoc.Server{{ID: "desk/a"}, {ID: "desk/b"}}}
	f.views.Publish(&view.View{
		Config:   &view.Config{Services: map[ident.ServiceID]*svcdoc.Document{"desk": document}},
		Members:  map[ident.VMID]view.Member{"vm-1": {Process: self}, "vm-2": {Process: entry}, "vm-3": {Process: other}},
		GroupOf:  map[ident.ServerID]ident.GroupID{"desk/a": "g1", "desk/b": "g2"},
		Owners:   map[ident.GroupID]ident.VMID{"g1": "vm-1", "g2": "vm-3"},
		Holdings: map[ident.GroupID]*view.Holding{"g1": f.holding},
	})
}

func (f *fixture) start() {
	f.home = home.New(home.Deps{
		Self: self, Views: f.views, Mesh: f.link, Claims: f.voters, Next: f.voters,
		Events: events.New(slog.New(slog.DiscardHandler), metrics.NewSet()),
	}, home.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.home.Run(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// ask asks for the action and lets everything settle.
func (f *fixture) ask() {
	f.asks++
	f.home.HandleQuery(entry, msgs.Query{
		ID: f.asks, Kind: msgs.KindAction, Service: "desk", Action: "book", Key: f.key,
		BudgetMicros: time.Second.Microseconds(), Items: []msgs.Item{{Seq: 1}, {Server: "desk/a", Shard: 2}, {Server: "desk/b", Shard: 2}},
	})
	synctest.Wait()
}

// reply answers the last dispatch.
func (f *fixture) reply(status msgs.Status) {
	last := len(f.link.queries) - 1
	require.True(f.t, home.Mine(f.link.queries[last].ID))
	f.home.HandleReply(ident.Process{VM: f.link.owners[last]}, msgs.Reply{
		ID: f.link.queries[last].ID, Answers: []msgs.Answer{{Status: status, Body: []byte("booked")}},
	})
	synctest.Wait()
}

// answered requires the statuses of all answers so far.
func (f *fixture) answered(statuses ...msgs.Status) {
	f.t.Helper()
	got := []msgs.Status{}
	for _, a := range f.link.answers {
		got = append(got, a.Status)
	}
	require.Equal(f.t, append([]msgs.Status{}, statuses...), got)
}

func TestActionIsDispatchedOnceAndItsOutcomeKept(t *testing.T) {
	run(t, func(f *fixture) {
		f.ask()
		f.ask()
		f.answered()
		require.Len(t, f.link.queries, 1)
		require.Equal(t, []msgs.Item{{Server: "desk/a", Shard: 2}}, f.link.queries[0].Items)
		f.reply(msgs.StatusOK)
		f.answered(msgs.StatusOK, msgs.StatusOK)
		f.ask()
		require.Equal(t, []byte("booked"), f.link.answers[2].Body)
		require.Len(t, f.link.queries, 1)
		f.start()
		f.ask()
		require.Equal(t, []byte("booked"), f.link.answers[3].Body)
		require.NoError(t, f.home.Drain(context.Background()))
	})
}

func TestClaimWithoutMajorityIsNotRunAndCanBeAskedAgain(t *testing.T) {
	run(t, func(f *fixture) {
		f.voters.fail = true
		f.ask()
		f.answered(msgs.StatusNotRun)
		require.Empty(t, f.link.queries)
		f.voters.fail = false
		f.ask()
		require.Len(t, f.link.queries, 1)
	})
}

func TestOnlyACertainNotRunIsTriedAtAnotherReplica(t *testing.T) {
	run(t, func(f *fixture) {
		f.ask()
		f.reply(msgs.StatusNotRun)
		require.Equal(t, []ident.VMID{"vm-1", "vm-3"}, f.link.owners)
		f.reply(msgs.StatusFailed)
		f.answered(msgs.StatusFailed)
		f.ask()
		f.answered(msgs.StatusFailed, msgs.StatusLate)
		require.Len(t, f.link.queries, 2)
	})
}

func TestStaleCandidatesAreLeftForTheNext(t *testing.T) {
	run(t, func(f *fixture) {
		f.ask()
		f.reply(msgs.StatusWrongVersion)
		require.Equal(t, []msgs.Item{{Server: "desk/b", Shard: 2}}, f.link.queries[1].Items)
		f.answered()
		f.reply(msgs.StatusWrongVersion)
		f.answered(msgs.StatusWrongVersion)
		require.Len(t, f.link.queries, 2)
		f.ask()
		require.Len(t, f.link.queries, 3)
		f.reply(msgs.StatusOK)
		f.answered(msgs.StatusWrongVersion, msgs.StatusOK)
	})
}

func TestActionFollowsReplicaToItsNextOwner(t *testing.T) {
	run(t, func(f *fixture) {
		f.ask()
		f.reply(msgs.StatusNotRun)
		f.reply(msgs.StatusWrongOwner)
		f.answered()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, "desk/b", f.link.queries[len(f.link.queries)-1].Items[0].Server)
		f.reply(msgs.StatusOK)
		f.answered(msgs.StatusOK)
	})
}

func TestActionWithoutAnyOwnerUntilItsDeadlineIsNotRun(t *testing.T) {
	run(t, func(f *fixture) {
		orphaned := *f.views.Load()
		orphaned.Owners = map[ident.GroupID]ident.VMID{}
		f.views.Publish(&orphaned)
		f.ask()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		f.answered(msgs.StatusNotRun)
		require.Empty(t, f.link.queries)
	})
}

func TestLostDispatchIsUnknownUnlessItWasNotSent(t *testing.T) {
	run(t, func(f *fixture) {
		f.ask()
		f.home.HandleLost("vm-1", f.link.queries[0], false)
		require.Len(t, f.link.queries, 2)
		f.home.HandleLost("vm-3", f.link.queries[1], true)
		f.answered(msgs.StatusLate)
		f.reply(msgs.StatusNotRun)
		require.Len(t, f.link.queries, 2)
		f.reply(msgs.StatusOK)
		f.ask()
		f.answered(msgs.StatusLate, msgs.StatusOK)
	})
}

func TestOverdueActionIsUnknown(t *testing.T) {
	run(t, func(f *fixture) {
		f.ask()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		f.answered(msgs.StatusLate)
		f.ask()
		f.answered(msgs.StatusLate, msgs.StatusLate)
		require.Len(t, f.link.queries, 1)
	})
}

func TestLeaseThatEndsBeforeTheDispatchSendsNothing(t *testing.T) {
	run(t, func(f *fixture) {
		f.voters.delay = 100 * time.Millisecond
		f.ask()
		f.holding.Renew(time.Now())
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		f.answered(msgs.StatusWrongOwner)
		f.ask()
		f.answered(msgs.StatusWrongOwner, msgs.StatusWrongOwner)
		require.Empty(t, f.link.queries)
	})
}

func TestKeysFromBeforeALossOfClaimsAreUnknown(t *testing.T) {
	run(t, func(f *fixture) {
		f.voters.since = time.Now()
		f.ask()
		f.answered(msgs.StatusLate)
		require.Empty(t, f.link.queries)
	})
}
