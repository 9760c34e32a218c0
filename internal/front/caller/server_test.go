package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/samphirestair/samphirestair/internal/base/accept"
	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/front/caller"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/engine"
	"github.com/samphirestair/samphirestair/internal/query/entry"
)

var now = time.Unix(1_800_000_000, 0)

// fakeRunner returns the same result for every request and keeps the last request.
type fakeRunner struct {
	result  entry.Result
	request entry.Request
}

func (f *fakeRunner) run(request entry.Request) entry.Result {
	f.request = request
	return f.result
}

func (f *fakeRunner) Search(_ context.Context, r entry.Request) entry.Result { return f.run(r) }
func (f *fakeRunner) Lookup(_ context.Context, r entry.Request) entry.Result { return f.run(r) }
func (f *fakeRunner) Action(_ context.Context, r entry.Request) entry.Result { return f.run(r) }

func member(vm ident.VMID, zone ident.Zone, leaving bool) view.Member {
	return view.Member{Process: ident.Process{VM: vm, Incarnation: 1}, Zone: zone, Caller: string(vm) + ":80", Leaving: leaving}
}

func fleet(selfLeaving bool) *view.View {
	v := &view.View{
		Self: member("vm1", "a", selfLeaving), Admitting: true, Members: map[ident.VMID]view.Member{},
		Config: &view.Config{
			ZonesOut: map[ident.Zone]ident.ChangeID{"out": "c1"},
			VMsOut:   map[ident.VMID]ident.ChangeID{"vm5": "c2"},
		},
	}
	for _, m := range []view.Member{
		member("vm1", "a", false), member("vm2", "b", false), member("vm3", "b", true),
		member("vm4", "out", false), member("vm5", "b", false), member("vm6", "a", false),
	} {
		v.Members[m.Process.VM] = m
	}
	return v
}

// client sends requests to a server through an in-memory listener.
type client struct {
	http   *http.Client
	views  *view.Publisher
	runner *fakeRunner
	server *caller.Server
}

func newClient(t testing.TB) *client {
	t.Helper()
	listener := fasthttputil.NewInmemoryListener()
	return newClientOf(t, listener, listener.Dial, caller.Options{BodyLimit: 1000})
}

// newClientOf returns a client of a server that accepts from listener.
func newClientOf(t testing.TB, listener net.Listener, connect func() (net.Conn, error), options caller.Options) *client {
	t.Helper()
	c := &client{views: &view.Publisher{}, runner: &fakeRunner{}}
	c.views.Publish(fleet(false))
	server := caller.New(caller.Deps{
		Runner: c.runner, Views: c.views,
		Now:   func() time.Time { return now },
		NewID: func() string { return "generated" },
	}, options)
	c.server = server
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	dial := func(context.Context, string, string) (net.Conn, error) { return connect() }
	c.http = &http.Client{Transport: &http.Transport{DialContext: dial}}
	t.Cleanup(func() {
		c.http.CloseIdleConnections()
		require.NoError(t, server.Shutdown(context.Background()))
		require.NoError(t, <-served)
	})
	return c
}

// do sends a request and returns status, headers and body of the answer as text.
// headers are "Name: value" lines.
func (c *client) do(t *testing.T, method, path, body string, headers ...string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://vm1"+path, strings.NewReader(body))
	require.NoError(t, err)
	for _, line := range headers {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
	}
	answer, err := c.http.Do(request)
	require.NoError(t, err)
	defer func() { require.NoError(t, answer.Body.Close()) }()
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s\n%s\n", method, path, answer.Status)
	for _, name := range []string{"Content-Type", "Retry-After", "X-Move-On", "X-Request-Id"} {
		if value := answer.Header.Get(name); value != "" {
			fmt.Fprintf(&text, "%s: %s\n", name, value)
		}
	}
	_, err = text.ReadFrom(answer.Body)
	require.NoError(t, err)
	return text.String() + "\n\n"
}

const key = "Idempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057"

func TestAnswers(t *testing.T) {
	c := newClient(t)
	whole := engine.Result{Outcome: engine.OutcomeFull, Version: 4, AnsweredShards: 2, TotalShards: 2}
	found := whole
	found.Hits = []msgs.Hit{{ID: "b", Score: 2.5, Doc: []byte(`{"x":1}`)}, {ID: "a", Score: 1, Doc: []byte("not json")}}
	empty := whole
	empty.Hits = []msgs.Hit{}
	read := engine.Result{Outcome: engine.OutcomeFull, Version: 4, AnsweredShards: 1, TotalShards: 1, Body: []byte(`{"sofa":3}`)}
	partial := engine.Result{Outcome: engine.OutcomePartial, Version: 4, AnsweredShards: 1, TotalShards: 2, Reason: engine.ReasonDeadline, Hits: found.Hits[:1]}
	done := engine.Result{Outcome: engine.OutcomeDone, Version: 4, AnsweredShards: 1, TotalShards: 1, Body: []byte("booked")}
	notRun := engine.Result{Outcome: engine.OutcomeNotRun, Reason: "too many requests", RetryAfter: 1200 * time.Millisecond}
	late := engine.Result{Outcome: engine.OutcomeUnknown, Reason: engine.ReasonDeadline}
	lost := engine.Result{Outcome: engine.OutcomeUnknown, Reason: "the connection to the home was lost"}

	var text strings.Builder
	ask := func(result engine.Result, path, body string, headers ...string) {
		c.runner.result = entry.Result{Result: result}
		text.WriteString(c.do(t, http.MethodPost, path, body, headers...))
	}
	ask(found, "/v1/search/desk", `{"limit":2,"text":"sofa"}`, "X-Request-Id: mine")
	ask(empty, "/v1/search/desk", `{}`)
	ask(partial, "/v1/search/desk", `{}`)
	ask(notRun, "/v1/search/desk", `{}`)
	ask(read, "/v1/lookup/desk/booking%2F7", "")
	ask(late, "/v1/lookup/desk/k", "")
	ask(done, "/v1/action/desk/book", `{"slot":1}`, key)
	ask(notRun, "/v1/action/desk/book", `{"slot":1}`, key)
	ask(lost, "/v1/action/desk/book", `{"slot":1}`, key)
	c.views.Publish(fleet(true))
	ask(empty, "/v1/search/desk", `{}`)
	goldie.New(t).Assert(t, "answers", []byte(text.String()))
}

func TestRejections(t *testing.T) {
	c := newClient(t)
	var text strings.Builder
	ask := func(path, body string, headers ...string) {
		text.WriteString(c.do(t, http.MethodPost, path, body, headers...))
	}
	ask("/v1/search/desk", `[1]`)
	ask("/v1/search/desk", `{"limit":-1}`)
	ask("/v1/search/desk", `{"limit":"x"}`)
	ask("/v1/search/desk", `{}`, "X-Deadline-Ms: soon")
	ask("/v1/search/desk", `{}`, "X-Deadline-Ms: 5", "X-Deadline-Unix-Ms: 1800000000005")
	ask("/v1/search/desk", `{}`, "X-Deadline-Ms: 0")
	ask("/v1/search/desk", `{}`, "X-Deadline-Unix-Ms: 1799999999999")
	ask("/v1/search/desk", `{}`, "X-Deadline-Ms: 700000")
	ask("/v1/search/desk", strings.Repeat("x", 1001))
	ask("/v1/search/desk", `{}`, "Content-Encoding: gzip")
	ask("/v1/action/desk/book", ``)
	ask("/v1/action/desk/book", ``, "Idempotency-Key: 6f2f4a52-0b0e-4f6e-8c76-0a3c1d3f8a10")
	ask("/v1/search/desk", `{}`, "X-Request-Id: "+strings.Repeat("x", 300))
	ask("/v1/nothing", ``)
	for _, fault := range []entry.RequestProblem{entry.ProblemUnknownService, entry.ProblemUnknownAction, entry.ProblemDeadlinePassed} {
		c.runner.result = entry.Result{Problem: fault, Result: engine.Result{Outcome: engine.OutcomeNotRun, Reason: "the reason"}}
		ask("/v1/action/desk/book", ``, key)
	}
	goldie.New(t).Assert(t, "rejections", []byte(text.String()))
}

// Guards against a refusal for lack of memory that doesn't have the form of other answers: that it
// has not run, when to come back in whole seconds, and the id.
func TestRefusalForLackOfMemory(t *testing.T) {
	memory := budget.New(16 << 10)
	// The garbage collector gives back what an unreferenced holder holds.
	held := memory.NewHolder(nil)
	t.Cleanup(held.Release)
	require.True(t, held.Reserve(budget.Answer, 16<<10, time.Now()))
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	c := newClientOf(t, accept.NewListener(tcp, accept.Options{Limit: func() int { return 10 }, Failed: func(error) {}, Budget: memory}),
		func() (net.Conn, error) { return net.Dial("tcp", tcp.Addr().String()) }, caller.Options{})
	text := c.do(t, http.MethodPost, "/v1/search/desk", strings.Repeat(" ", 20<<10), "X-Request-Id: mine")
	require.Zero(t, c.runner.request, "the request has run")
	goldie.New(t).Assert(t, "memory", []byte(text))
}

func TestReadyAndAddresses(t *testing.T) {
	c := newClient(t)
	var text strings.Builder
	for _, leaving := range []bool{false, true} {
		v := fleet(leaving)
		v.Admitting, v.Refusal = !leaving, "leaving"
		c.views.Publish(v)
		text.WriteString(c.do(t, http.MethodGet, "/v1/ready", ""))
		text.WriteString(c.do(t, http.MethodGet, "/v1/addresses", ""))
	}
	goldie.New(t).Assert(t, "addresses", []byte(text.String()))
}

func TestAnnounceCloseClosesConnections(t *testing.T) {
	c := newClient(t)
	for _, closing := range []bool{false, true} {
		if closing {
			c.server.AnnounceClose()
		}
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://vm1/v1/ready", nil)
		require.NoError(t, err)
		answer, err := c.http.Do(request)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.Equal(t, closing, answer.Close)
	}
}

func TestRunnerGetsAllFieldsOfARequest(t *testing.T) {
	c := newClient(t)
	c.do(t, http.MethodPost, "/v1/action/desk/book", "body", "Idempotency-Key: 01890A5D-AC96-774B-BCCE-B302099A8057",
		"Route-Key: r", "X-Caller-Class: gate", "X-Deadline-Unix-Ms: 1800000000250")
	require.Equal(t, entry.Request{
		ID: "generated", Service: "desk", Class: "gate", Deadline: now.Add(250 * time.Millisecond),
		Key: "01890a5d-ac96-774b-bcce-b302099a8057", Route: "r", Action: "book", Body: []byte("body"),
	}, c.runner.request)
	c.do(t, http.MethodPost, "/v1/lookup/desk/a%2Fb%20c", "", "X-Deadline-Ms: 40")
	require.Equal(t, "a/b c", c.runner.request.Key)
	require.Equal(t, now.Add(40*time.Millisecond), c.runner.request.Deadline)
	c.do(t, http.MethodPost, "/v1/search/desk", `{"limit":7}`)
	require.Equal(t, 7, c.runner.request.Limit)
	require.True(t, slices.Equal([]byte(`{"limit":7}`), c.runner.request.Body))
}
