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
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/link/ferry"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/relay"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

// zoned is a fleet of two zones: shards 0 to 2 have a server in vantaa, where the search
// is, and shards 3 to 5 have two in espoo, where a VM sends for it.
type zoned struct {
	view *roster.View
	// direct lists the servers that the VM sent to itself.
	direct []string
	// carry is what the VM in espoo does with an order.
	carry func(order *ferry.Order, take func(*ferry.Report), end func(pool.Fate, error))
	// directDelay is the time of an answer to an attempt of its own, and slowDelay that
	// of the servers of slow shards.
	directDelay, slowDelay time.Duration
	slow                   []string
}

func (z *zoned) View() *roster.View     { return z.view }
func (z *zoned) Silent(ident.VMID) bool { return false }

// signatureOf is that of the part of a server, and recordOf its only record.
func signatureOf(server string) string { return "signed by " + server }

func recordOf(server string) []byte { return append([]byte(server), make([]byte, 16-len(server))...) }

func (z *zoned) Send(target pool.Target, _ *pool.Message, _ time.Time, _ bool, done func(pool.Result)) *pool.Call {
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

// orders sends orders to the VM in espoo.
type orders struct{ *zoned }

func (o orders) Send(_ string, order *ferry.Order, take func(*ferry.Report), end func(pool.Fate, error)) *ferry.Ordered {
	go o.carry(order, take, end)
	return &ferry.Ordered{}
}

// whole reports all attempts of an order, merged.
func whole(order *ferry.Order) *ferry.Report {
	report := &ferry.Report{}
	var records []string
	for _, s := range order.Sends {
		report.Outcomes = append(report.Outcomes, ferry.Outcome{Seq: s.Seq, Status: 200, Signature: signatureOf(s.Server), Micros: 8000})
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

// search runs one search.
func (z *zoned) search(t *testing.T) runner.Answer {
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
		{VM: "vm-1", Zone: "vantaa", Serving: true}, {VM: "vm-2", Zone: "espoo", Serving: true, Peer: "10.0.0.2:1"},
	}, nil)
	newChoice, err := choose.Policies.Lookup("expect")
	require.NoError(t, err)
	newBudget, err := hedge.Policies.Lookup("fleet")
	require.NoError(t, err)
	newAdmit, err := admit.Policies.Lookup("room")
	require.NoError(t, err)
	admission, ok := newAdmit(admit.Options{}).(admit.Queue)
	require.True(t, ok)
	carriers := runner.NewCarriers(z, z)
	env := &relay.Env{
		Replicas: func() relay.Replicas { return z.view },
		Choose:   newChoice(choose.Options{}),
		Zone:     "vantaa",
		Carries:  carriers.Has,
		Budget:   newBudget(hedge.Options{Share: 1, Slack: 100}),
		Latency:  newBudget(hedge.Options{Quantile: 0.9, InitialDelay: 30 * time.Millisecond}),
		Health:   relay.NewHealth(),
		Notices:  notice.NewTracker(notice.Options{}),
		Cold:     relay.NewColdGate(func(*roster.Replica) float64 { return math.Inf(1) }, time.Now()),
		Options:  relay.Options{Partial: true, Stay: 0.2}.WithDefaults(),
	}
	time.Sleep(time.Minute) // A budget is saved.
	run := runner.New(runner.Deps{Env: env, Sender: z, Carrier: orders{z}, Carriers: carriers, Beliefs: z, Admit: admission, Metrics: metrics.NewSet()})
	answer := run.Run(runner.Request{
		Message: &pool.Message{ID: "r1"}, Route: zonedRoute, Arrived: time.Now(), Wait: time.Second,
		Gone: context.Background().Done(),
	})
	time.Sleep(2 * time.Second)
	return answer
}

// requireParts checks that an answer names each shard's part once, and holds exactly the
// records of the parts that it names.
func requireParts(t *testing.T, answer runner.Answer) {
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

func TestPartsOfAnotherZoneComeMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := &zoned{directDelay: 8 * time.Millisecond}
		var ordered int
		z.carry = func(order *ferry.Order, take func(*ferry.Report), end func(pool.Fate, error)) {
			ordered = len(order.Sends)
			time.Sleep(10 * time.Millisecond)
			take(whole(order))
			end(pool.Broken, nil)
		}
		answer := z.search(t)
		requireParts(t, answer)
		require.Equal(t, 3, ordered)
		require.Len(t, z.direct, 3, "the shards of the own zone")
	})
}

// Some hedges were answered before the parts came merged with others: the block counts, and
// no shard twice.
func TestBlockThatComesAfterHedges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := &zoned{directDelay: 8 * time.Millisecond, slow: []string{"s5"}, slowDelay: 300 * time.Millisecond}
		z.carry = func(order *ferry.Order, take func(*ferry.Report), end func(pool.Fate, error)) {
			time.Sleep(62 * time.Millisecond)
			report := whole(order)
			report.Outcomes[1] = ferry.Outcome{Seq: 1, Fate: uint8(pool.Broken), Reason: "reset"}
			report.Records = append(recordOf(order.Sends[2].Server), recordOf(order.Sends[0].Server)...)
			take(report)
			end(pool.Broken, nil)
		}
		requireParts(t, z.search(t))
	})
}

func TestLatePartComesAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := &zoned{directDelay: 8 * time.Millisecond}
		z.carry = func(order *ferry.Order, take func(*ferry.Report), end func(pool.Fate, error)) {
			time.Sleep(9 * time.Millisecond)
			report := whole(order)
			report.Outcomes = report.Outcomes[:2]
			report.Records = append(recordOf(order.Sends[1].Server), recordOf(order.Sends[0].Server)...)
			take(report)
			time.Sleep(4 * time.Millisecond)
			server := order.Sends[2].Server
			take(&ferry.Report{Outcomes: []ferry.Outcome{{Seq: 2, Status: 200, Signature: signatureOf(server), Alone: true, Records: recordOf(server)}}})
			end(pool.Broken, nil)
		}
		answer := z.search(t)
		requireParts(t, answer)
		require.Len(t, z.direct, 3, "nothing was hedged")
	})
}

// A block that holds the answer of another shard is of no use.
func TestBlockWithASignatureTwiceIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := &zoned{directDelay: 8 * time.Millisecond}
		z.carry = func(order *ferry.Order, take func(*ferry.Report), end func(pool.Fate, error)) {
			time.Sleep(10 * time.Millisecond)
			report := whole(order)
			report.Outcomes[2].Signature = report.Outcomes[0].Signature
			take(report)
			end(pool.Broken, nil)
		}
		requireParts(t, z.search(t))
		require.Len(t, z.direct, 6, "the VM sends what the block was to hold")
	})
}

func TestVMThatSendsForThisOneFails(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration
		fate  pool.Fate
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
				z := &zoned{directDelay: 8 * time.Millisecond}
				z.carry = func(_ *ferry.Order, take func(*ferry.Report), end func(pool.Fate, error)) {
					time.Sleep(test.after)
					if name == "garbled_outcome" {
						take(&ferry.Report{Outcomes: []ferry.Outcome{{Seq: 77, Status: 200, Signature: "x", Fate: 99}}})
					}
					end(test.fate, errors.New(name))
				}
				began := time.Now()
				requireParts(t, z.search(t))
				require.Less(t, time.Since(began)-62*time.Second, 100*time.Millisecond, fmt.Sprint(z.direct))
			})
		})
	}
}
