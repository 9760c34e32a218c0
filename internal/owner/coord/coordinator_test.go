package coord_test

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
	"github.com/samphirestair/samphirestair/internal/owner/coord"
)

var (
	self  = ident.Process{VM: "vm-1", Incarnation: 1}
	entry = ident.Process{VM: "vm-2", Incarnation: 5}
	other = ident.Process{VM: "vm-3", Incarnation: 2}
)

// link is a mesh that records the messages sent.
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

// voters is a replicator that stores records in memory, and a query handler.
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

func (v *voters) Claims(ident.GroupID) map[string][]byte      { return v.records }
func (v *voters) ClaimsCompleteSince(ident.GroupID) time.Time { return v.since }
func (v *voters) HandleQuery(ident.Process, msgs.Query)       {}
func (v *voters) HandleCancel(ident.Process, msgs.Cancel)     {}

// fixture is a coordinator that holds the lease of the first of two replicas.
type fixture struct {
	t        *testing.T
	home     *coord.Coordinator
	link     *link
	voters   *voters
	holding  *view.Holding
	views    *view.Publisher
	key      string
	requests uint64
}

// run runs a test with a fixture and a fake clock.
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

// publish publishes a view of three VMs and two replicas and renews the lease.
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

// start starts a coordinator, which replaces the previous one.
func (f *fixture) start() {
	f.home = coord.New(coord.Deps{
		Self: self, Views: f.views, Mesh: f.link, Claims: f.voters, Next: f.voters,
		Events: events.New(slog.New(slog.DiscardHandler), metrics.NewSet()),
	}, coord.Options{})
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

// request sends a request for the action and waits until all goroutines block.
func (f *fixture) request() {
	f.requests++
	f.home.HandleQuery(entry, msgs.Query{
		ID: f.requests, Kind: msgs.KindAction, Service: "desk", Action: "book", Key: f.key,
		BudgetMicros: time.Second.Microseconds(), Items: []msgs.Item{{Seq: 1}, {Server: "desk/a", Shard: 2}, {Server: "desk/b", Shard: 2}},
	})
	synctest.Wait()
}

// reply answers the last query that was dispatched.
func (f *fixture) reply(status msgs.Status) {
	last := len(f.link.queries) - 1
	require.True(f.t, coord.OwnsQuery(f.link.queries[last].ID))
	f.home.HandleReply(ident.Process{VM: f.link.owners[last]}, msgs.Reply{
		ID: f.link.queries[last].ID, Answers: []msgs.Answer{{Status: status, Body: []byte("booked")}},
	})
	synctest.Wait()
}

// requireAnswers checks the statuses of all answers so far.
func (f *fixture) requireAnswers(statuses ...msgs.Status) {
	f.t.Helper()
	got := []msgs.Status{}
	for _, a := range f.link.answers {
		got = append(got, a.Status)
	}
	require.Equal(f.t, append([]msgs.Status{}, statuses...), got)
}

func TestActionIsDispatchedOnceAndOutcomeIsKept(t *testing.T) {
	run(t, func(f *fixture) {
		f.request()
		f.request()
		f.requireAnswers()
		require.Len(t, f.link.queries, 1)
		require.Equal(t, []msgs.Item{{Server: "desk/a", Shard: 2}}, f.link.queries[0].Items)
		f.reply(msgs.StatusOK)
		f.requireAnswers(msgs.StatusOK, msgs.StatusOK)
		f.request()
		require.Equal(t, []byte("booked"), f.link.answers[2].Body)
		require.Len(t, f.link.queries, 1)
		f.start()
		f.request()
		require.Equal(t, []byte("booked"), f.link.answers[3].Body)
		require.NoError(t, f.home.Drain(context.Background()))
	})
}

func TestActionWithoutMajorityIsNotRunAndCanBeRetried(t *testing.T) {
	run(t, func(f *fixture) {
		f.voters.fail = true
		f.request()
		f.requireAnswers(msgs.StatusNotRun)
		require.Empty(t, f.link.queries)
		f.voters.fail = false
		f.request()
		require.Len(t, f.link.queries, 1)
	})
}

func TestOnlyNotRunIsRetriedAtAnotherReplica(t *testing.T) {
	run(t, func(f *fixture) {
		f.request()
		f.reply(msgs.StatusNotRun)
		require.Equal(t, []ident.VMID{"vm-1", "vm-3"}, f.link.owners)
		f.reply(msgs.StatusFailed)
		f.requireAnswers(msgs.StatusFailed)
		f.request()
		f.requireAnswers(msgs.StatusFailed, msgs.StatusLate)
		require.Len(t, f.link.queries, 2)
	})
}

func TestWrongVersionIsRetriedAtAnotherReplica(t *testing.T) {
	run(t, func(f *fixture) {
		f.request()
		f.reply(msgs.StatusWrongVersion)
		require.Equal(t, []msgs.Item{{Server: "desk/b", Shard: 2}}, f.link.queries[1].Items)
		f.requireAnswers()
		f.reply(msgs.StatusWrongVersion)
		f.requireAnswers(msgs.StatusWrongVersion)
		require.Len(t, f.link.queries, 2)
		f.request()
		require.Len(t, f.link.queries, 3)
		f.reply(msgs.StatusOK)
		f.requireAnswers(msgs.StatusWrongVersion, msgs.StatusOK)
	})
}

func TestActionIsRetriedAtNewOwnerOfReplica(t *testing.T) {
	run(t, func(f *fixture) {
		f.request()
		f.reply(msgs.StatusNotRun)
		f.reply(msgs.StatusWrongOwner)
		f.requireAnswers()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, "desk/b", f.link.queries[len(f.link.queries)-1].Items[0].Server)
		f.reply(msgs.StatusOK)
		f.requireAnswers(msgs.StatusOK)
	})
}

func TestActionWithoutOwnerUntilDeadlineIsNotRun(t *testing.T) {
	run(t, func(f *fixture) {
		orphaned := *f.views.Load()
		orphaned.Owners = map[ident.GroupID]ident.VMID{}
		f.views.Publish(&orphaned)
		f.request()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		f.requireAnswers(msgs.StatusNotRun)
		require.Empty(t, f.link.queries)
	})
}

func TestLostQueryIsUnknownUnlessUnsent(t *testing.T) {
	run(t, func(f *fixture) {
		f.request()
		f.home.HandleLost("vm-1", f.link.queries[0], false)
		require.Len(t, f.link.queries, 2)
		f.home.HandleLost("vm-3", f.link.queries[1], true)
		f.requireAnswers(msgs.StatusLate)
		f.reply(msgs.StatusNotRun)
		require.Len(t, f.link.queries, 2)
		f.reply(msgs.StatusOK)
		f.request()
		f.requireAnswers(msgs.StatusLate, msgs.StatusOK)
	})
}

func TestOverdueActionIsUnknown(t *testing.T) {
	run(t, func(f *fixture) {
		f.request()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		f.requireAnswers(msgs.StatusLate)
		f.request()
		f.requireAnswers(msgs.StatusLate, msgs.StatusLate)
		require.Len(t, f.link.queries, 1)
	})
}

func TestActionIsNotDispatchedAfterLeaseEnds(t *testing.T) {
	run(t, func(f *fixture) {
		f.voters.delay = 100 * time.Millisecond
		f.request()
		f.holding.Renew(time.Now())
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		f.requireAnswers(msgs.StatusWrongOwner)
		f.request()
		f.requireAnswers(msgs.StatusWrongOwner, msgs.StatusWrongOwner)
		require.Empty(t, f.link.queries)
	})
}

func TestKeyIssuedBeforeLossOfClaimsIsUnknown(t *testing.T) {
	run(t, func(f *fixture) {
		f.voters.since = time.Now()
		f.request()
		f.requireAnswers(msgs.StatusLate)
		require.Empty(t, f.link.queries)
	})
}
