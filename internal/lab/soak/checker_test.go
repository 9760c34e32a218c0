package soak_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/soak"
)

var bounds = soak.Bounds{
	Contact: 4 * time.Second, Drain: 3 * time.Second, Evacuate: 5 * time.Second, Config: 3 * time.Second,
	Rollback: 250 * time.Millisecond, Grace: 6 * time.Second, CloseRace: 200 * time.Millisecond, Gone: 500 * time.Millisecond,
	Late: 500 * time.Millisecond, ExtraShare: 0.2, ExtraSlack: 5, ExtraWindow: 10 * time.Second, Recovery: 12 * time.Second,
	LimitFactor: 1.5, LimitSlack: 5, LimitWindow: 4 * time.Second,
	QuotaOverage: 0.1, QuotaSlack: 18.8, QuotaWindow: 5 * time.Second,
	ExposureShare: 0.1, ExposureSlack: 50, RolloutBack: 5 * time.Second,
}

var (
	one = &soak.Route{Name: "one", Attempts: 2, Timeout: time.Second}
	all = &soak.Route{Name: "all", Idempotent: true, Attempts: 2, Timeout: time.Second, Limit: 2, Coverage: 0.6}
)

const record = "0123456789abcdef"

// scenario is a checker with one accepted configuration and one placed server. Tests
// report events to it.
type scenario struct {
	*soak.Checker
	faults *soak.FaultLog
	next   int
}

func newScenario() *scenario {
	w := &scenario{faults: soak.NewFaultLog()}
	w.Checker = soak.NewChecker(bounds, w.faults)
	w.VersionAccepted(version(1, "desk"))
	w.SetZone("i-1", "vantaa")
	return w
}

func version(number ident.Version, desk ident.ServiceID) soak.Version {
	return soak.Version{
		Number: number, AckedAt: time.Now(),
		Single: map[string]ident.ServiceID{"one": desk},
		Shards: map[string][]ident.ServiceID{"all": {"s1", "s2", "s3"}},
	}
}

// send reports a request on a route and returns its id.
func (w *scenario) send(route *soak.Route) string {
	w.next++
	id := fmt.Sprint("r", w.next)
	w.Sent(soak.Attempt{ID: id, Route: route, VM: "vm-1", SentAt: time.Now(), Deadline: time.Second, ConnectionReused: true})
	return id
}

// run reports that server i-1 runs a request.
func (w *scenario) run(id string, service ident.ServiceID) {
	w.Arrived(soak.Arrival{ID: id, Server: "i-1", Service: service, At: time.Now(), Ran: true, TimeLeft: 500 * time.Millisecond, HasTimeLeft: true})
}

// runAs reports that server i-1 runs a request of the tenant "north", with what it got of the tenant.
func (w *scenario) runAs(got soak.Arrival) {
	w.next++
	id := fmt.Sprint("r", w.next)
	w.Sent(soak.Attempt{ID: id, Route: one, VM: "vm-1", SentAt: time.Now(), Deadline: time.Second, Tenant: "north"})
	got.ID, got.Server, got.Service, got.At, got.Ran = id, "i-1", "desk", time.Now(), true
	got.TimeLeft, got.HasTimeLeft = 500*time.Millisecond, true
	w.Arrived(got)
}

// runOften reports that requests of the tenant "north" run at an interval.
func (w *scenario) runOften(count int, interval time.Duration) {
	for range count {
		w.runAs(soak.Arrival{Tenant: "north"})
		time.Sleep(interval)
	}
}

// arriveEvery lets a number of requests arrive on a connection, spaced by interval.
func (w *scenario) arriveEvery(interval time.Duration, count int, conn string) {
	for range count {
		w.arriveOn(conn)
		time.Sleep(interval)
	}
}

// arriveOn reports that a new request runs after it arrived on a connection.
func (w *scenario) arriveOn(conn string) {
	w.Arrived(soak.Arrival{
		ID: w.send(one), Server: "i-1", Service: "desk", At: time.Now(), Ran: true, TimeLeft: 500 * time.Millisecond, HasTimeLeft: true, Conn: conn,
	})
}

// reply reports a server's reply of one record and returns its signature.
func (w *scenario) reply(id string, service ident.ServiceID, whole bool) string {
	signature := fmt.Sprintf("%s-%s", id, service)
	w.Replied(soak.Reply{Signature: signature, ID: id, Service: service, Status: 200, Body: record, Complete: whole})
	return signature
}

// answer reports the answer that the caller got now.
func (w *scenario) answer(id string, answer soak.Answer) {
	answer.At = time.Now()
	w.Answered(id, answer)
}

// serve reports a request that runs and succeeds, and returns its id.
func (w *scenario) serve() string {
	id := w.send(one)
	w.run(id, "desk")
	w.answer(id, soak.Answer{Status: 200, Signatures: []string{w.reply(id, "desk", true)}, Body: record})
	return id
}

func TestChecker(t *testing.T) {
	tests := []struct {
		name string
		// want is the promise that is broken, or empty.
		want string
		play func(w *scenario)
	}{
		{"sound requests", "", func(w *scenario) {
			w.serve()
			id := w.send(all)
			var signatures []string
			for _, service := range []ident.ServiceID{"s1", "s3"} {
				w.run(id, service)
				signatures = append(signatures, w.reply(id, service, true))
			}
			w.answer(id, soak.Answer{Status: 200, Signatures: signatures, Missing: 1, Body: record + record})
			id = w.send(one)
			w.answer(id, soak.Answer{Status: 503, Refused: true})
		}},
		{"another body", soak.Mixed, func(w *scenario) {
			id := w.send(one)
			w.run(id, "desk")
			w.answer(id, soak.Answer{Status: 200, Signatures: []string{w.reply(id, "desk", true)}, Body: "x"})
		}},
		{"a broken answer", soak.Mixed, func(w *scenario) {
			id := w.send(one)
			w.run(id, "desk")
			w.answer(id, soak.Answer{Status: 200, Signatures: []string{w.reply(id, "desk", false)}, Body: record})
		}},
		{"the answer to another request", soak.Mixed, func(w *scenario) {
			other, id := w.send(one), w.send(one)
			w.answer(id, soak.Answer{Status: 200, Signatures: []string{w.reply(other, "desk", true)}, Body: record})
		}},
		{"two parts of one shard", soak.Mixed, func(w *scenario) {
			id := w.send(all)
			part := w.reply(id, "s1", true)
			w.answer(id, soak.Answer{Status: 200, Signatures: []string{part, part}, Missing: 1, Body: record + record})
		}},
		{"too few shards", soak.Mixed, func(w *scenario) {
			id := w.send(all)
			w.answer(id, soak.Answer{Status: 200, Signatures: []string{w.reply(id, "s1", true)}, Missing: 2, Body: record})
		}},
		{"a wrong number of missing shards", soak.Mixed, func(w *scenario) {
			id := w.send(all)
			w.answer(id, soak.Answer{Status: 200, Signatures: []string{w.reply(id, "s1", true), w.reply(id, "s2", true)}, Body: record + record})
		}},
		{"the key of a caller", soak.Unasked, func(w *scenario) { w.runAs(soak.Arrival{Tenant: "north", KeySeen: true}) }},
		{"another tenant", soak.Unasked, func(w *scenario) { w.runAs(soak.Arrival{Tenant: "south"}) }},
		{"no tenant", soak.Unasked, func(w *scenario) { w.runAs(soak.Arrival{}) }},
		{"a key in force", "", func(w *scenario) { w.runAs(soak.Arrival{Tenant: "north"}) }},
		{"an unknown key", soak.Key, func(w *scenario) {
			w.Sent(soak.Attempt{ID: "forged", Route: one, VM: "vm-1", SentAt: time.Now(), Deadline: time.Second, KeyUnknown: true})
			w.run("forged", "desk")
		}},
		{"an unknown key that is rejected", "", func(w *scenario) {
			w.Sent(soak.Attempt{ID: "forged", Route: one, VM: "vm-1", SentAt: time.Now(), Deadline: time.Second, KeyUnknown: true})
			w.answer("forged", soak.Answer{Status: 401})
		}},
		{"a known key that is rejected", soak.Denied, func(w *scenario) {
			w.Sent(soak.Attempt{ID: "proper", Route: one, VM: "vm-1", SentAt: time.Now(), Deadline: time.Second, Tenant: "north"})
			w.answer("proper", soak.Answer{Status: 401})
		}},
		{"a removed key", soak.Key, func(w *scenario) {
			time.Sleep(bounds.Contact)
			w.SetKeyRemoved("north", time.Now())
			time.Sleep(bounds.Config + time.Second)
			w.runAs(soak.Arrival{Tenant: "north"})
		}},
		{"a key that was removed just now", "", func(w *scenario) {
			w.SetKeyRemoved("north", time.Now())
			time.Sleep(bounds.Config / 2)
			w.runAs(soak.Arrival{Tenant: "north"})
		}},
		{"a tenant within its quota", "", func(w *scenario) {
			w.SetQuota("north", soak.Quota{Rate: 2, Burst: 2}, time.Now())
			w.runOften(32, 10*time.Millisecond)
		}},
		{"a tenant over its quota", soak.OverQuota, func(w *scenario) {
			w.SetQuota("north", soak.Quota{Rate: 2, Burst: 2}, time.Now())
			w.runOften(33, 10*time.Millisecond)
		}},
		{"a tenant over its quota in a longer time", "", func(w *scenario) {
			w.SetQuota("north", soak.Quota{Rate: 2, Burst: 2}, time.Now())
			w.runOften(33, 200*time.Millisecond)
		}},
		{"a lower quota that does not bind yet", "", func(w *scenario) {
			w.SetQuota("north", soak.Quota{Rate: 2, Burst: 2}, time.Now())
			w.SetQuota("north", soak.Quota{Rate: 1, Burst: 0}, time.Now())
			time.Sleep(bounds.Config)
			w.runOften(32, 10*time.Millisecond)
		}},
		{"a lower quota", soak.OverQuota, func(w *scenario) {
			w.SetQuota("north", soak.Quota{Rate: 2, Burst: 2}, time.Now())
			w.SetQuota("north", soak.Quota{Rate: 1, Burst: 0}, time.Now())
			w.runAs(soak.Arrival{Tenant: "north"})
			time.Sleep(bounds.Config + bounds.Contact + 2*bounds.QuotaWindow)
			w.runOften(32, 10*time.Millisecond)
		}},
		{"a request that nobody sent", soak.Unasked, func(w *scenario) { w.run("forged", "desk") }},
		{"a request run twice", soak.Twice, func(w *scenario) {
			id := w.serve()
			w.run(id, "desk")
		}},
		{"a shard run three times", soak.Budget, func(w *scenario) {
			id := w.send(all)
			for range 3 {
				w.run(id, "s1")
			}
		}},
		{"a refusal of what ran", soak.Refused, func(w *scenario) {
			id := w.send(one)
			w.run(id, "desk")
			w.answer(id, soak.Answer{Status: 503, Refused: true})
		}},
		{"a run after the refusal", soak.Refused, func(w *scenario) {
			id := w.send(one)
			w.answer(id, soak.Answer{Status: 503, Refused: true})
			w.run(id, "desk")
		}},
		{"a proper request rejected", soak.Denied, func(w *scenario) { w.answer(w.send(one), soak.Answer{Status: 404}) }},
		{"extra arrivals", soak.Budget, func(w *scenario) {
			for range 7 {
				id := w.send(all)
				w.run(id, "s1")
				w.run(id, "s1")
			}
		}},
		{"too much time handed on", soak.Budget, func(w *scenario) {
			for range 21 {
				w.Arrived(soak.Arrival{ID: w.send(one), Server: "i-1", Service: "desk", At: time.Now(), TimeLeft: 2 * time.Second, HasTimeLeft: true})
			}
		}},
		{"work for callers that left", soak.Gone, func(w *scenario) {
			for range 4 {
				id := w.send(one)
				w.CallerLeft(id, time.Now())
				time.Sleep(600 * time.Millisecond)
				w.run(id, "desk")
			}
		}},
		{"work that goes on for callers that left", soak.Gone, func(w *scenario) {
			for range 4 {
				id := w.send(all)
				w.CallerLeft(id, time.Now())
				w.Worked(id, time.Now().Add(time.Second), time.Now().Add(600*time.Millisecond))
			}
		}},
		{"work that is cancelled when callers leave", "", func(w *scenario) {
			for range 4 {
				id := w.send(all)
				w.CallerLeft(id, time.Now())
				w.Worked(id, time.Now().Add(time.Second), time.Now().Add(100*time.Millisecond))
			}
		}},
		{"a drained server", soak.Drain, func(w *scenario) {
			w.SetLeaving("i-1", time.Now())
			time.Sleep(3100 * time.Millisecond)
			w.serve()
		}},
		{"a drained server and a VM that was cut off", "", func(w *scenario) {
			w.SetLeaving("i-1", time.Now())
			end := w.faults.Begin("vm-1", false)
			time.Sleep(3 * time.Second)
			end()
			time.Sleep(3900 * time.Millisecond)
			w.serve()
		}},
		{"a server whose answers said that it leaves", soak.Drain, func(w *scenario) {
			w.NoticeSent(soak.Notice{Conn: "c1", Server: "i-1", At: time.Now(), Leaving: true})
			time.Sleep(3100 * time.Millisecond)
			w.arriveOn("c1")
		}},
		{"a server that said so on another connection", "", func(w *scenario) {
			w.NoticeSent(soak.Notice{Conn: "c1", Server: "i-1", At: time.Now(), Leaving: true})
			time.Sleep(3100 * time.Millisecond)
			w.arriveOn("c2")
		}},
		{"a server that asked for quiet", soak.Quiet, func(w *scenario) {
			w.NoticeSent(soak.Notice{Conn: "c1", Server: "i-1", At: time.Now(), Quiet: 2 * time.Second})
			time.Sleep(600 * time.Millisecond)
			for range 3 {
				w.arriveOn("c1")
			}
		}},
		{"a server whose quiet time is over", "", func(w *scenario) {
			w.NoticeSent(soak.Notice{Conn: "c1", Server: "i-1", At: time.Now(), Quiet: 2 * time.Second})
			w.arriveOn("c1")
			time.Sleep(600 * time.Millisecond)
			w.arriveOn("c1")
			w.arriveOn("c1")
			time.Sleep(1500 * time.Millisecond)
			w.arriveOn("c1")
		}},
		{"a server that named a limit", soak.Limit, func(w *scenario) {
			w.SetLimit("i-1", 2, time.Now())
			w.NoticeSent(soak.Notice{Conn: "c1", Server: "i-1", At: time.Now(), Limited: true})
			time.Sleep(2 * time.Second)
			w.arriveEvery(120*time.Millisecond, 18, "c1")
		}},
		{"a server whose limit is kept to, and VMs that don't know it yet", "", func(w *scenario) {
			w.SetLimit("i-1", 2, time.Now())
			w.NoticeSent(soak.Notice{Conn: "c1", Server: "i-1", At: time.Now(), Limited: true})
			w.arriveEvery(0, 20, "c2")
			time.Sleep(2 * time.Second)
			w.arriveEvery(120*time.Millisecond, 17, "c1")
		}},
		{"a server that names no limit any more", "", func(w *scenario) {
			w.SetLimit("i-1", 2, time.Now())
			w.NoticeSent(soak.Notice{Conn: "c1", Server: "i-1", At: time.Now(), Limited: true})
			time.Sleep(5 * time.Second)
			w.SetLimit("i-1", -1, time.Now())
			w.arriveEvery(0, 30, "c1")
		}},
		{"a zone that is out", soak.Evac, func(w *scenario) {
			w.SetZoneOut("vantaa", time.Now())
			time.Sleep(5100 * time.Millisecond)
			w.serve()
		}},
		{"an old configuration", soak.Config, func(w *scenario) {
			w.VersionAccepted(version(2, "other"))
			time.Sleep(3100 * time.Millisecond)
			w.serve()
		}},
		{"a configuration that was in force falls back", soak.Config, func(w *scenario) {
			w.VersionAccepted(version(2, "other"))
			w.run(w.send(one), "other")
			time.Sleep(300 * time.Millisecond)
			w.run(w.send(one), "desk")
		}},
		{"a service without a route", soak.Config, func(w *scenario) { w.run(w.send(one), "s1") }},
		{"requests cut off by a planned stop", soak.Lost, func(w *scenario) {
			defer w.faults.Begin("vm-1", true)()
			id := w.send(one)
			w.run(id, "desk")
			w.answer(id, soak.Answer{Cut: true})
		}},
		{"a request that crosses a planned close", "", func(w *scenario) {
			defer w.faults.Begin("vm-1", true)()
			id := w.send(one)
			time.Sleep(100 * time.Millisecond)
			w.answer(id, soak.Answer{Cut: true})
		}},
		{"requests cut off without a reason", soak.Lost, func(w *scenario) {
			for range 4 {
				id := w.send(one)
				w.run(id, "desk")
				w.answer(id, soak.Answer{Cut: true})
			}
		}},
		{"answers that were due at a VM with a fault", "", func(w *scenario) {
			for range 8 {
				id := w.send(one)
				w.faults.Begin("vm-1", false)()
				time.Sleep(4100 * time.Millisecond)
				w.answer(id, soak.Answer{Cut: true})
			}
		}},
		{"answers long after the time of the route", soak.Late, func(w *scenario) {
			for range 8 {
				id := w.send(one)
				time.Sleep(1600 * time.Millisecond)
				w.answer(id, soak.Answer{Status: 504})
			}
		}},
	}
	for _, test := range tests {
		t.Run(strings.ReplaceAll(test.name, " ", "_"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newScenario()
				time.Sleep(5 * time.Second)
				test.play(w)
				var broken []string
				for _, f := range w.Findings() {
					broken = append(broken, f.Promise)
				}
				if test.want == "" {
					require.Empty(t, w.Findings())
					return
				}
				require.Contains(t, broken, test.want)
			})
		})
	}
}

// A finding about the retry budget lists the processes that sent the extra attempts,
// since a restarted process has a budget of its own.
func TestExtraArrivalsNameTheirProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScenario()
		for n := range 7 {
			id := fmt.Sprint("x", n)
			w.Sent(soak.Attempt{ID: id, Route: all, VM: "vm-1", Boot: n % 2, SentAt: time.Now(), Deadline: time.Second})
			w.run(id, "s1")
			w.run(id, "s1")
		}
		findings := w.Findings()
		require.Len(t, findings, 1)
		require.Equal(t, "service s1 got 7 extra arrivals in 10s for 7 requests, 6.4 are allowed; by process: vm-1/0 4, vm-1/1 3", findings[0].Text)
	})
}

func TestPlanRepeatsAndOverlaps(t *testing.T) {
	plan := soak.Plan(7, time.Minute, soak.Faults(), 9)
	require.Equal(t, plan, soak.Plan(7, time.Minute, soak.Faults(), 9))
	require.NotEqual(t, plan, soak.Plan(8, time.Minute, soak.Faults(), 9))
	overlaps := 0
	for i := 1; i < len(plan); i++ {
		if plan[i].At < plan[i-1].At+plan[i-1].Duration {
			overlaps++
		}
		require.LessOrEqual(t, plan[i].At+plan[i].Duration, time.Minute)
	}
	require.Greater(t, overlaps, len(plan)/2)
	require.Empty(t, soak.Plan(7, time.Minute, nil, 9))
}

func TestPartitionedVMsHaveToServeTheirCallers(t *testing.T) {
	for _, c := range []struct {
		name                   string
		served, sent           int
		othersServed, othersIn int
		found                  bool
	}{
		{"none served", 0, 50, 50, 50, true},
		{"as many served", 45, 50, 45, 50, false},
		{"just below two thirds", 33, 50, 50, 50, true},
		{"two thirds", 34, 50, 50, 50, false},
		{"all suffer", 10, 50, 14, 50, false},
		{"few fail", 0, 11, 50, 50, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newScenario()
				end := w.faults.Begin(soak.Partition("vm-2"), false)
				defer end()
				began := time.Now()
				time.Sleep(bounds.Contact)
				play := func(vm ident.VMID, served, sent int) {
					for i := range sent {
						w.next++
						id := fmt.Sprint("r", w.next)
						w.Sent(soak.Attempt{ID: id, Route: one, VM: vm, SentAt: time.Now(), Deadline: time.Second})
						answer := soak.Answer{Status: 503, Refused: true, At: time.Now()}
						if i < served {
							w.Replied(soak.Reply{Signature: id, ID: id, Service: "desk", Status: 200, Complete: true})
							answer = soak.Answer{Status: 200, Signatures: []string{id}, At: time.Now()}
						}
						w.Answered(id, answer)
					}
				}
				play("vm-2", c.served, c.sent)
				play("vm-1", c.othersServed, c.othersIn)
				w.CheckPartition(coll.NewSet[ident.VMID]("vm-2"), began, time.Now())
				found := w.Findings()
				require.Equal(t, c.found, len(found) == 1, found)
			})
		})
	}
}

func TestDeadlyRequestMustNotReachServersAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScenario()
		repeat := func(server ident.ServerID, name string) {
			w.next++
			id := fmt.Sprint("r", w.next)
			w.Sent(soak.Attempt{ID: id, Route: all, VM: "vm-1", SentAt: time.Now(), Deadline: time.Second, Deadly: name})
			w.Arrived(soak.Arrival{ID: id, Server: server, Service: "s1", At: time.Now(), Ran: true, HasTimeLeft: true, TimeLeft: time.Second})
			w.EndedBy(id, server, time.Now())
		}
		for i := range 20 {
			repeat(ident.ServerID(fmt.Sprint("i-", i)), "deadly-1")
		}
		require.Equal(t, 20, w.EndedByDeadly())
		time.Sleep(bounds.Contact + time.Millisecond)
		for i := range 3 {
			repeat(ident.ServerID(fmt.Sprint("j-", i)), "deadly-1")
			repeat(ident.ServerID(fmt.Sprint("k-", i)), fmt.Sprint("deadly-other-", i))
		}
		end := w.faults.Begin(soak.Links("held-up"), false)
		time.Sleep(time.Second)
		end()
		time.Sleep(bounds.Contact)
		repeat("held-up", "deadly-1")
		require.Empty(t, w.Findings(), "its link was disturbed within the time of contact")
		w.faults.Begin("j-4", false)()
		repeat("j-4", "deadly-1")
		require.Len(t, w.Findings(), 1)
		require.Equal(t, soak.Deadly, w.Findings()[0].Promise)
	})
}
