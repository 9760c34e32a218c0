package runner_test

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/beats"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/link/deleg"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/relay"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

// zonedFleet is a fleet of two zones: shards 0 to 2 have one server each in vantaa,
// where the search arrives, and shards 3 to 5 two each in espoo, where a VM sends
// attempts for it.
type zonedFleet struct {
	view *roster.View
	// direct lists the servers that the VM in vantaa sent attempts to itself.
	direct []string
	// handleOrder plays the VM in espoo.
	handleOrder func(order *deleg.Order, onReport func(*deleg.Report), onEnd func(pool.Outcome, error))
	// directDelay is the response time of a direct attempt, and slowDelay that of the
	// shards listed in slow.
	directDelay, slowDelay time.Duration
	slow                   []string
	// notices holds what the VM in vantaa knows of the servers.
	notices *notice.Tracker
	// reach is what the VM in espoo reports of its links to backend servers.
	reach beats.Reach
}

func (z *zonedFleet) View() *roster.View                      { return z.view }
func (z *zonedFleet) Silent(ident.VMID) bool                  { return false }
func (z *zonedFleet) Reach(time.Time, ident.VMID) beats.Reach { return z.reach }

// signatureOf returns the signature of a server's part, and recordOf the only record of
// the part.
func signatureOf(server string) string { return "signed by " + server }

func recordOf(server string) []byte { return append([]byte(server), make([]byte, 16-len(server))...) }

func (z *zonedFleet) Send(target pool.Target, _ *pool.Message, _ time.Time, _ bool, done func(pool.Result)) *pool.Call {
	z.direct = append(z.direct, string(target.ID))
	delay := z.directDelay
	if slices.Contains(z.slow, string(target.ID[:2])) {
		delay = z.slowDelay
	}
	time.AfterFunc(delay, func() {
		response := fasthttp.AcquireResponse()
		response.SetBody(recordOf(string(target.ID)))
		done(pool.Result{Status: 200, Signature: signatureOf(string(target.ID)), Response: response})
	})
	return &pool.Call{}
}

// orderSender sends orders to the VM in espoo.
type orderSender struct{ *zonedFleet }

func (o orderSender) Send(_ string, order *deleg.Order, onReport func(*deleg.Report), onEnd func(pool.Outcome, error)) *deleg.PendingOrder {
	go o.handleOrder(order, onReport, onEnd)
	return &deleg.PendingOrder{}
}

// fullReport reports all attempts of an order as merged.
func fullReport(order *deleg.Order) *deleg.Report {
	report := &deleg.Report{}
	var records []string
	for _, s := range order.Sends {
		report.Outcomes = append(report.Outcomes, deleg.Outcome{Seq: s.Seq, Status: 200, Signature: signatureOf(s.Server), Micros: 8000})
		records = append(records, string(recordOf(s.Server)))
	}
	slices.SortFunc(records, func(a, b string) int { return strings.Compare(b, a) })
	report.Records = []byte(strings.Join(records, ""))
	return report
}

var zonedRoute = &routes.Route{
	Name: "search", Host: "desk", Prefix: "/", Idempotent: true, Attempts: 2, Timeout: time.Second,
	Goal: 100 * time.Millisecond, Limit: 10, Coverage: 0.5, Shards: []ident.ServiceID{"s0", "s1", "s2", "s3", "s4", "s5"},
}

// newEnv returns the policies of a VM with a large retry budget, and its admission.
func newEnv(t *testing.T, replicas func() relay.Replicas) (*relay.Env, admit.QueuingPolicy) {
	t.Helper()
	newChoice, err := choose.Policies.Lookup("cost")
	require.NoError(t, err)
	newBudget, err := hedge.Policies.Lookup("fleet")
	require.NoError(t, err)
	newAdmit, err := admit.Policies.Lookup("room")
	require.NoError(t, err)
	admission, ok := newAdmit(admit.Options{}).(admit.QueuingPolicy)
	require.True(t, ok)
	return &relay.Env{
		Replicas: replicas,
		Choose:   newChoice(choose.Options{}),
		Budget:   newBudget(hedge.Options{Share: 1, Slack: 100}),
		Latency:  newBudget(hedge.Options{Quantile: 0.9, InitialDelay: 30 * time.Millisecond}),
		Health:   relay.NewHealth(),
		Notices:  notice.NewTracker(notice.Options{}),
		Pace:     relay.NewPacer(func(time.Time, *roster.Replica) relay.Pace { return relay.Pace{Rate: math.Inf(1)} }, time.Now()),
		Options:  relay.Options{Partial: true}.WithDefaults(),
	}, admission
}

// search runs one search.
func (z *zonedFleet) search(t *testing.T) runner.Answer {
	t.Helper()
	var replicas []*roster.Replica
	for i, service := range zonedRoute.Shards {
		names := []string{"a"}
		zone := ident.Zone("vantaa")
		if i >= 3 {
			names, zone = []string{"a", "b"}, "espoo"
		}
		for _, name := range names {
			id := ident.ServerID(string(service) + name)
			replicas = append(replicas, &roster.Replica{Server: roster.Server{ID: id, Service: service, Zone: zone, Address: "10.0.0.9:80"}})
		}
	}
	table, err := routes.NewTable(&routes.Config{Version: 1, Routes: []routes.Route{*zonedRoute}})
	require.NoError(t, err)
	z.view = roster.NewView(table, replicas, []roster.Member{
		{VM: "vm-1", Zone: "vantaa", Serving: true}, {VM: "vm-2", Zone: "espoo", Serving: true, PeerAddress: "10.0.0.2:1"},
	}, nil)
	delegates := runner.NewDelegates(z, z)
	if z.notices == nil {
		z.notices = notice.NewTracker(notice.Options{})
	}
	env, admission := newEnv(t, func() relay.Replicas { return z.view })
	env.Zone, env.CanDelegate, env.Notices, env.Options.CrossZonePenalty = "vantaa", delegates.Has, z.notices, 0.2
	time.Sleep(time.Minute) // Fills the retry budget.
	run := runner.New(runner.Deps{Env: env, Sender: z, OrderSender: orderSender{z}, Delegates: delegates, Views: z, Admit: admission, Metrics: metrics.NewSet()})
	answer := run.Run(runner.Request{
		Message: &pool.Message{ID: "r1"}, Route: zonedRoute, Arrived: time.Now(), Wait: time.Second,
		Gone: context.Background().Done(),
	})
	time.Sleep(2 * time.Second)
	return answer
}

// requireAllParts checks that an answer names the part of each shard once, and holds
// exactly the records of these parts.
func requireAllParts(t *testing.T, answer runner.Answer) {
	t.Helper()
	require.Equal(t, relay.Success, answer.Verdict, answer.Reason)
	require.Len(t, answer.Signatures, len(zonedRoute.Shards))
	require.Zero(t, answer.Missing)
	shards := map[string]bool{}
	var records [][]byte
	for _, signature := range answer.Signatures {
		server := strings.TrimPrefix(signature, "signed by ")
		require.False(t, shards[server[:2]], "two parts of shard %s", server[:2])
		shards[server[:2]] = true
		records = append(records, recordOf(server))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	require.Equal(t, bytes.Join(records, nil), answer.Records)
}

func TestPartsOfOtherZoneAreMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := &zonedFleet{directDelay: 8 * time.Millisecond}
		var ordered int
		z.handleOrder = func(order *deleg.Order, onReport func(*deleg.Report), onEnd func(pool.Outcome, error)) {
			ordered = len(order.Sends)
			time.Sleep(10 * time.Millisecond)
			onReport(fullReport(order))
			onEnd(pool.Broken, nil)
		}
		answer := z.search(t)
		requireAllParts(t, answer)
		require.Equal(t, 3, ordered)
		require.Len(t, z.direct, 3, "the shards of its own zone")
	})
}

// Guards against a VM that doesn't learn of a server's limit because a delegate sends its
// attempts. Reports of an earlier build say nothing about limits.
func TestLimitsInReportsOfDelegates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := &zonedFleet{notices: notice.NewTracker(notice.Options{})}
		limited := map[string]notice.Limit{}
		reported := true
		z.handleOrder = func(order *deleg.Order, onReport func(*deleg.Report), onEnd func(pool.Outcome, error)) {
			report := fullReport(order)
			report.HasLimits = reported
			for _, s := range order.Sends {
				if limit, ok := limited[s.Server[:2]]; ok {
					report.Limits = append(report.Limits, deleg.Limit{Seq: s.Seq, PerSecond: float64(limit)})
				}
			}
			onReport(report)
			onEnd(pool.Broken, nil)
		}
		limits := func() (list []notice.Limit) {
			for _, state := range z.notices.Limits() {
				list = append(list, state.Limit)
			}
			return list
		}
		limited["s4"] = 7.5
		requireAllParts(t, z.search(t))
		require.Equal(t, []notice.Limit{7.5}, limits())

		clear(limited)
		reported = false
		for range 20 {
			requireAllParts(t, z.search(t))
		}
		require.Equal(t, []notice.Limit{7.5}, limits())

		reported = true
		for range 20 {
			requireAllParts(t, z.search(t))
		}
		require.Empty(t, limits())
	})
}

// The report arrives after hedges were answered: the merged block counts, and no shard
// counts twice.
func TestMergedBlockAfterHedges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := &zonedFleet{directDelay: 8 * time.Millisecond, slow: []string{"s5"}, slowDelay: 300 * time.Millisecond}
		z.handleOrder = func(order *deleg.Order, onReport func(*deleg.Report), onEnd func(pool.Outcome, error)) {
			time.Sleep(62 * time.Millisecond)
			report := fullReport(order)
			report.Outcomes[1] = deleg.Outcome{Seq: 1, Fate: uint8(pool.Broken), Reason: "reset"}
			report.Records = append(recordOf(order.Sends[2].Server), recordOf(order.Sends[0].Server)...)
			onReport(report)
			onEnd(pool.Broken, nil)
		}
		requireAllParts(t, z.search(t))
	})
}

func TestLatePartIsReportedSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := &zonedFleet{directDelay: 8 * time.Millisecond}
		z.handleOrder = func(order *deleg.Order, onReport func(*deleg.Report), onEnd func(pool.Outcome, error)) {
			time.Sleep(9 * time.Millisecond)
			report := fullReport(order)
			report.Outcomes = report.Outcomes[:2]
			report.Records = append(recordOf(order.Sends[1].Server), recordOf(order.Sends[0].Server)...)
			onReport(report)
			time.Sleep(4 * time.Millisecond)
			server := order.Sends[2].Server
			onReport(&deleg.Report{Outcomes: []deleg.Outcome{{Seq: 2, Status: 200, Signature: signatureOf(server), Alone: true, Records: recordOf(server)}}})
			onEnd(pool.Broken, nil)
		}
		answer := z.search(t)
		requireAllParts(t, answer)
		require.Len(t, z.direct, 3, "nothing was hedged")
	})
}

// A merged block that contains the part of another shard is discarded.
func TestMergedBlockWithDuplicateSignatureIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := &zonedFleet{directDelay: 8 * time.Millisecond}
		z.handleOrder = func(order *deleg.Order, onReport func(*deleg.Report), onEnd func(pool.Outcome, error)) {
			time.Sleep(10 * time.Millisecond)
			report := fullReport(order)
			report.Outcomes[2].Signature = report.Outcomes[0].Signature
			onReport(report)
			onEnd(pool.Broken, nil)
		}
		requireAllParts(t, z.search(t))
		require.Len(t, z.direct, 6, "the VM repeats the attempts of the discarded block itself")
	})
}

func TestDelegateFails(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration
		fate  pool.Outcome
	}{
		"not_there":       {0, pool.Unsent},
		"died":            {20 * time.Millisecond, pool.Broken},
		"silent":          {400 * time.Millisecond, pool.Broken},
		"dial_timed_out":  {150 * time.Millisecond, pool.Unsent},
		"ends_too_soon":   {time.Millisecond, pool.Broken},
		"garbled_outcome": {5 * time.Millisecond, pool.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := &zonedFleet{directDelay: 8 * time.Millisecond}
				z.handleOrder = func(_ *deleg.Order, onReport func(*deleg.Report), onEnd func(pool.Outcome, error)) {
					time.Sleep(test.after)
					if name == "garbled_outcome" {
						onReport(&deleg.Report{Outcomes: []deleg.Outcome{{Seq: 77, Status: 200, Signature: "x", Fate: 99}}})
					}
					onEnd(test.fate, errors.New(name))
				}
				began := time.Now()
				requireAllParts(t, z.search(t))
				require.Less(t, time.Since(began)-62*time.Second, 100*time.Millisecond, fmt.Sprint(z.direct))
			})
		})
	}
}

// Guards against searches that rely on a VM that is partitioned from the backend servers of
// its zone: it is alive, takes the order and reports nothing in time.
func TestPartitionedVMGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ordered := false
		z := &zonedFleet{directDelay: 8 * time.Millisecond, reach: beats.Reach{Unreached: 6, Partitioned: true}}
		z.handleOrder = func(_ *deleg.Order, _ func(*deleg.Report), onEnd func(pool.Outcome, error)) {
			ordered = true
			time.Sleep(400 * time.Millisecond)
			onEnd(pool.Broken, errors.New("no report"))
		}
		answer := z.search(t)
		require.Equal(t, relay.Success, answer.Verdict)
		require.Zero(t, answer.Missing)
		require.False(t, ordered)
		require.Len(t, z.direct, 6)
	})
}
