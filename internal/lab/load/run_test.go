package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/lab/load"
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// entryVM is a fake entry VM whose answers a test may change with corrupt. It
// collects the idempotency keys that it receives.
type entryVM struct {
	listed  []string
	corrupt func(body map[string]any)
	mu      sync.Mutex
	keys    coll.Set[string]
}

// start starts the entry VM and returns its address, which it adds to the
// listed ones.
func (e *entryVM) start(t *testing.T) string {
	e.keys = coll.NewSet[string]()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fasthttp.Server{Handler: e.handle}
	var group conc.WaitGroup
	group.Go(func() { _ = s.Serve(listener) })
	t.Cleanup(func() {
		require.NoError(t, s.Shutdown())
		group.Wait()
	})
	e.listed = append(e.listed, listener.Addr().String())
	return listener.Addr().String()
}

func (e *entryVM) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/v1/addresses" {
		reply(ctx, map[string]any{"addresses": e.listed, "lifetime_ms": 1000})
		return
	}
	body := map[string]any{"request": string(ctx.Request.Header.Peek("X-Request-Id")), "outcome": "done"}
	if key := ctx.Request.Header.Peek("Idempotency-Key"); key != nil {
		e.mu.Lock()
		e.keys.Add(string(key))
		e.mu.Unlock()
	} else {
		var q struct{ Query string }
		_ = json.Unmarshal(ctx.PostBody(), &q)
		body["outcome"], body["snapshot"] = "full", 4
		body["coverage"] = map[string]int{"answered": 1, "of": 1}
		body["hits"] = server.Hits("desk", server.Doc{Version: 4, Query: q.Query}, 2)
	}
	if e.corrupt != nil {
		e.corrupt(body)
	}
	reply(ctx, body)
}

func reply(ctx *fasthttp.RequestCtx, body any) {
	data, _ := json.Marshal(body)
	ctx.SetBody(data)
}

func run(t *testing.T, e *entryVM, mix string) (load.Report, []trace.Event) {
	address := e.start(t)
	parsed, err := load.ParseMix(mix)
	require.NoError(t, err)
	history := &bytes.Buffer{}
	recorder := trace.NewRecorder(history, "load")
	report, err := load.Run(context.Background(), load.Options{
		Entries: []string{address}, Mixes: []load.Mix{parsed}, Duration: 100 * time.Millisecond,
		Deadline: time.Minute, Recorder: recorder,
	})
	require.NoError(t, err)
	require.NoError(t, recorder.Close())
	events, err := trace.Read(history)
	require.NoError(t, err)
	return report, events
}

func TestActionsFollowAddressesWithOneKey(t *testing.T) {
	e := &entryVM{listed: []string{"127.0.0.1:1"}}
	report, events := run(t, e, "desk:action/book=500")
	require.NotZero(t, report.Total.Sent)
	require.Equal(t, report.Total.Sent, report.Total.Outcomes[trace.OutcomeDone])
	require.Greater(t, report.Total.Attempts, report.Total.Sent)
	require.Len(t, e.keys, report.Total.Sent)
	refused := 0
	for _, event := range events {
		if event.Attempt.Failure == trace.FailureNoConnection {
			refused++
		}
	}
	require.Equal(t, report.Total.Attempts-report.Total.Sent, refused)
}

func TestReportShowsCrossedAndMixedAnswers(t *testing.T) {
	report, _ := run(t, &entryVM{}, "desk:search=500")
	require.Equal(t, report.Total.Sent, report.Total.Outcomes[trace.OutcomeFull])
	require.Zero(t, report.Total.Crossed+report.Total.Mixed)

	report, _ = run(t, &entryVM{corrupt: func(b map[string]any) { b["snapshot"] = 5 }}, "desk:search=500")
	require.Equal(t, report.Total.Sent, report.Total.Mixed)
	report, _ = run(t, &entryVM{corrupt: func(b map[string]any) { b["request"] = "other" }}, "desk:search=500")
	require.Equal(t, report.Total.Sent, report.Total.Crossed)
	report, _ = run(t, &entryVM{corrupt: func(b map[string]any) { b["outcome"] = "fine" }}, "desk:search=500")
	require.Equal(t, report.Total.Sent, report.Total.Failures[trace.FailureInvalidAnswer])
}
