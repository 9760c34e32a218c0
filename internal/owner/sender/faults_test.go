package sender_test

import (
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/sender"
)

// disturbances are faults in which the server's process runs and reads requests.
var disturbances = []server.Fault{
	{Action: server.ActionSilent},
	{Action: server.ActionSlow, Factor: 10},
	{Action: server.ActionSlow, Factor: 1},
	{Action: server.ActionShed},
	{Action: server.ActionShed, Off: true},
	{Action: server.ActionGarbage, Garbage: server.GarbageJSON, Every: 3},
	{Action: server.ActionSilent},
	{Action: server.ActionGarbage, Garbage: server.GarbageRequest, Every: 3},
	{Action: server.ActionGarbage},
}

// outages are faults that end or freeze the server's process.
var outages = []server.Fault{
	{Action: server.ActionRestart},
	{Action: server.ActionSlow, Factor: 10},
	{Action: server.ActionRestart},
	{Action: server.ActionSlow, Factor: 1},
	{Action: server.ActionFreeze},
	{Action: server.ActionThaw},
	{Action: server.ActionKill},
	{Action: server.ActionRevive},
}

func TestNoServerReceivesMoreThanItBearsWhileDisturbed(t *testing.T) {
	checkServerThroughFaults(t, disturbances)
}

func TestNoServerReceivesMoreThanItBearsThroughOutages(t *testing.T) {
	checkServerThroughFaults(t, outages)
}

// checkServerThroughFaults sends more queries than a server can handle while the
// faults are applied one after the other. It checks that each query is answered
// once, that the server's limits hold, and that it works again at the end.
func checkServerThroughFaults(t *testing.T, faults []server.Fault) {
	t.Helper()
	const loops, faultTime, budget = 6, 50 * time.Millisecond, 30 * time.Millisecond
	spec := svcdoc.Server{
		ID: "desk/a", Address: freeAddress(t), Zone: "espoo",
		Limits: svcdoc.Limits{Slots: 2, Connections: 5, ColdSlots: 1, WarmAfter: 5, ConnectCost: time.Millisecond},
	}
	host, err := server.Start([]svcdoc.Server{spec}, "127.0.0.1:0", server.Options{Mean: time.Millisecond})
	require.NoError(t, err)
	defer func() { require.NoError(t, host.Close()) }()
	f := newFixtureWithServer(t, spec, sender.Options{MinSilenceTimeout: 10 * time.Millisecond})
	f.replies.answers = make(chan msgs.Answer, 1_000_000)

	stop := make(chan struct{})
	var load conc.WaitGroup
	sent := make([]uint64, loops)
	for i := range loops {
		load.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := uint64(i)<<32 | sent[i]
				sent[i]++
				f.sender.HandleQuery(entry, msgs.Query{
					ID: id, Version: 1, BudgetMicros: budget.Microseconds(),
					Items: []msgs.Item{{Server: "desk/a"}},
				})
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	for _, fault := range faults {
		require.NoError(t, host.Apply(fault))
		time.Sleep(faultTime)
	}
	close(stop)
	load.Wait()
	require.NoError(t, f.sender.Drain(t.Context()))
	total := 0
	for i := range loops {
		total += int(sent[i])
	}
	require.Len(t, f.replies.answers, total)
	stats := host.Stats()[0]
	t.Logf("%d queries, %+v", total, stats)
	require.Zero(t, stats.ColdOverloads)
	require.Zero(t, stats.SlotExcess)
	require.Zero(t, stats.ConnectionExcess)
	for len(f.replies.answers) > 0 {
		f.answer()
	}
	f.eventually(func() bool {
		f.sender.HandleQuery(entry, msgs.Query{
			Version: 1, BudgetMicros: testWait.Microseconds(), Items: []msgs.Item{{Server: "desk/a"}},
		})
		return f.answer().Status == msgs.StatusOK
	})
}

// freeAddress returns a loopback address without a listener.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	return listener.Addr().String()
}
