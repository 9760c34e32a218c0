package gossip_test

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/link/gossip"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/query/poison"
)

const (
	maxBytes = 1200
	testTime = 10 * time.Second
)

var deadly = []byte("GET /deadly HTTP/1.1\r\n")

func fingerprint() poison.Fingerprint {
	return poison.NewIdentity(nil).Of(deadly, nil)
}

// condemn quarantines the deadly request.
func condemn(l *poison.Ledger) {
	l.Pin(time.Now(), fingerprint())
}

func isQuarantined(l *poison.Ledger) func() bool {
	return func() bool { return l.State(time.Now(), fingerprint()) == poison.Quarantined }
}

// hub delivers what one exchange broadcasts to others, except for the first messages.
type hub struct {
	receivers []*gossip.Exchange
	drop      int
}

func (h *hub) SendToSome(message []byte, _, _ int) { h.Broadcast(message) }

func (h *hub) Broadcast(message []byte) {
	if h.drop > 0 {
		h.drop--
		return
	}
	for _, r := range h.receivers {
		r.Receive(message)
	}
}

// run runs an exchange until the end of the test.
func run(t *testing.T, x *gossip.Exchange) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running conc.WaitGroup
	running.Go(func() { x.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

func newExchange(l *poison.Ledger, b gossip.Broadcaster, peers ...string) *gossip.Exchange {
	return gossip.New(gossip.Deps{Ledger: l, Broadcaster: b, MaxBytes: maxBytes, Serving: func() bool { return true }, Peers: func() (serving, standby []string) { return slices.Clone(peers), nil }})
}

// Guards against VMs that never learn what they missed in a lost message.
func TestEvidenceArrivesAlthoughMessagesAreLost(t *testing.T) {
	from, to := poison.NewLedger(poison.Options{}), poison.NewLedger(poison.Options{})
	run(t, newExchange(from, &hub{receivers: []*gossip.Exchange{newExchange(to, &hub{})}, drop: 1}))
	condemn(from)
	require.Eventually(t, isQuarantined(to), testTime, 10*time.Millisecond)
}

func TestEvidenceIsBroadcastAtOnce(t *testing.T) {
	from, to := poison.NewLedger(poison.Options{}), poison.NewLedger(poison.Options{})
	run(t, newExchange(from, &hub{receivers: []*gossip.Exchange{newExchange(to, &hub{})}}))
	began := time.Now()
	condemn(from)
	require.Eventually(t, isQuarantined(to), testTime, time.Millisecond)
	require.Less(t, time.Since(began), 900*time.Millisecond, "it must not wait for the next repetition")
}

// Guards against a VM that starts, or begins to serve, and runs what the others refuse.
func TestVMThatBeginsToServeLearnsWhatOthersKnow(t *testing.T) {
	known, unknown := poison.NewLedger(poison.Options{}), poison.NewLedger(poison.Options{})
	condemn(known)
	for i := range 500 {
		known.ServerEnded(time.Now(), poison.NewIdentity(nil).Of([]byte{byte(i), byte(i >> 8)}, nil), deadly, poison.End{Process: notice.Process{ID: "i-1"}, Shared: 1})
	}
	peer := newExchange(known, &hub{})
	address := serve(t, peer.Handler(func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) }))
	run(t, newExchange(unknown, &hub{}, address))
	require.Eventually(t, isQuarantined(unknown), testTime, 10*time.Millisecond)
	require.Len(t, unknown.All(time.Now()), 501)
}

// VMs of builds without evidence answer 404, and VMs that know nothing an empty body.
func TestVMsWithoutEvidenceAreAsked(t *testing.T) {
	for name, handler := range map[string]fasthttp.RequestHandler{
		"older_build": func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) },
		"empty":       func(*fasthttp.RequestCtx) {},
		"started_too": newExchange(poison.NewLedger(poison.Options{}), &hub{}).Handler(nil),
		"garbage":     func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("garbage") },
	} {
		t.Run(name, func(t *testing.T) {
			l := poison.NewLedger(poison.Options{})
			run(t, newExchange(l, &hub{}, serve(t, handler)))
			time.Sleep(300 * time.Millisecond)
			require.True(t, l.Empty())
		})
	}
}

func TestUnreadableMessagesAreIgnored(t *testing.T) {
	l := poison.NewLedger(poison.Options{})
	newExchange(l, &hub{}).Receive([]byte("garbage"))
	require.True(t, l.Empty())
}

// serve serves a handler and returns its address.
func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: handler}
	var running conc.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		require.NoError(t, server.Shutdown())
		running.Wait()
	})
	return listener.Addr().String()
}

// Guards against a VM that goes on asking because one of those that it asked knows little,
// although another one knows all.
func TestOneCompleteAnswerSuffices(t *testing.T) {
	started := serve(t, func(*fasthttp.RequestCtx) {})
	knowing := serve(t, func(ctx *fasthttp.RequestCtx) {
		time.Sleep(50 * time.Millisecond)
		ctx.Response.Header.Set("X-Complete", "1")
	})
	x := newExchange(poison.NewLedger(poison.Options{}), &hub{}, started, knowing)
	run(t, x)
	isComplete := func() bool {
		var ctx fasthttp.RequestCtx
		ctx.Request.SetRequestURI("/v1/evidence")
		x.Handler(nil)(&ctx)
		return len(ctx.Response.Header.Peek("X-Complete")) > 0
	}
	require.Eventually(t, isComplete, 2*time.Second, 10*time.Millisecond)
}
