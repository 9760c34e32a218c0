package server_test

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

const address = "127.0.20.9:17801"

// startHost starts one server that allows two connections and returns the host,
// its history and the recorder of the history.
func startHost(t *testing.T) (*server.Host, *bytes.Buffer, *trace.Recorder) {
	t.Helper()
	history := &bytes.Buffer{}
	recorder := trace.NewRecorder(history, "lab")
	spec := svcdoc.Server{
		ID: "desk/a", Address: address, Zone: "espoo",
		Limits: svcdoc.Limits{Slots: 2, Connections: 2, ColdSlots: 1, WarmAfter: 1},
	}
	host, err := server.Start([]svcdoc.Server{spec}, "127.0.0.1:0",
		server.Options{Mean: time.Millisecond, Recorder: recorder})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, host.Close()) })
	return host, history, recorder
}

const (
	// answerTimeout is the time limit for expected answers. It is long enough for
	// a busy machine.
	answerTimeout = 30 * time.Second
	// silentTime is how long a request is watched that must remain unanswered.
	silentTime = 300 * time.Millisecond
)

// send posts one request over the given client and waits for the answer.
func send(client *fasthttp.Client, path string, headers map[string]string, body string) (*fasthttp.Response, error) {
	return sendWithin(client, answerTimeout, path, headers, body)
}

func sendWithin(client *fasthttp.Client, limit time.Duration, path string, headers map[string]string, body string) (*fasthttp.Response, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	req.SetBodyString(body)
	return resp, client.DoTimeout(req, resp, limit)
}

func workHeaders(id, version string) map[string]string {
	return map[string]string{
		bknd.HeaderRequest: id, bknd.HeaderVersion: version, bknd.HeaderShard: "0",
		bknd.HeaderKey: "k", bknd.HeaderAction: "book",
	}
}

func TestServerSpeaksProtocol(t *testing.T) {
	host, history, recorder := startHost(t)
	client := &fasthttp.Client{}
	resp, err := send(client, bknd.PathHello, nil, "")
	require.NoError(t, err)
	require.Equal(t, "1=0/1", string(resp.Header.Peek(bknd.HeaderMaps)))
	boot := string(resp.Header.Peek(bknd.HeaderBoot))

	resp, err = send(client, bknd.PathQuery, workHeaders("7", "1"), `{"query":"sofa","limit":1}`)
	require.NoError(t, err)
	require.Equal(t, "7", string(resp.Header.Peek(bknd.HeaderRequest)))
	require.Contains(t, string(resp.Body()), `"doc":{"version":1,"shard":0,"query":"sofa"}`)

	resp, err = send(client, bknd.PathQuery, workHeaders("8", "2"), "")
	require.NoError(t, err)
	require.Equal(t, bknd.StatusWrongVersion, resp.StatusCode())
	require.Equal(t, "1", string(resp.Header.Peek(bknd.HeaderNotRun)))

	for range 2 {
		_, err = send(client, bknd.PathAction, workHeaders("9", "1"), "")
		require.NoError(t, err)
	}
	require.Equal(t, 1, host.Stats()[0].Duplicates)

	require.NoError(t, host.Apply(server.Fault{Server: "desk/a", Action: server.ActionRestart}))
	resp, err = send(&fasthttp.Client{}, bknd.PathHello, nil, "")
	require.NoError(t, err)
	require.NotEqual(t, boot, string(resp.Header.Peek(bknd.HeaderBoot)))

	require.NoError(t, recorder.Close())
	events, err := trace.Read(history)
	require.NoError(t, err)
	kinds := map[trace.Kind]int{}
	for _, event := range events {
		kinds[event.Kind]++
	}
	require.Equal(t, map[trace.Kind]int{
		trace.KindReceived: 4, trace.KindFinished: 4, trace.KindExecution: 2, trace.KindServer: 2,
	}, kinds)
}

func TestSilentConnectionsStaySilentAndNewOnesWork(t *testing.T) {
	host, _, _ := startHost(t)
	old := &fasthttp.Client{MaxConnsPerHost: 1}
	_, err := send(old, bknd.PathHello, nil, "")
	require.NoError(t, err)
	require.NoError(t, host.Apply(server.Fault{Action: server.ActionSilent}))
	_, err = sendWithin(old, silentTime, bknd.PathHello, nil, "")
	require.ErrorIs(t, err, fasthttp.ErrTimeout)
	_, err = send(&fasthttp.Client{}, bknd.PathHello, nil, "")
	require.NoError(t, err)
}

func TestFrozenServerAnswersAfterThaw(t *testing.T) {
	host, _, _ := startHost(t)
	require.NoError(t, host.Apply(server.Fault{Zone: "espoo", Action: server.ActionFreeze}))
	_, err := sendWithin(&fasthttp.Client{}, silentTime, bknd.PathHello, nil, "")
	require.ErrorIs(t, err, fasthttp.ErrTimeout)
	require.NoError(t, host.Apply(server.Fault{Zone: "espoo", Action: server.ActionThaw}))
	_, err = send(&fasthttp.Client{}, bknd.PathHello, nil, "")
	require.NoError(t, err)
}

func TestConnectionsAboveLimitAreClosed(t *testing.T) {
	host, _, _ := startHost(t)
	for range 2 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
	}
	require.Eventually(t, func() bool { return host.Stats()[0].Connections == 2 }, time.Minute, time.Millisecond)
	_, err := send(&fasthttp.Client{}, bknd.PathHello, nil, "")
	require.Error(t, err)
	require.NotZero(t, host.Stats()[0].ConnectionExcess)
}

func TestGarbageFaults(t *testing.T) {
	host, _, _ := startHost(t)
	client := &fasthttp.Client{MaxResponseBodySize: 1 << 20}
	fault := server.Fault{Action: server.ActionGarbage, Garbage: server.GarbageRequest}
	require.NoError(t, host.Apply(fault))
	resp, err := send(client, bknd.PathLookup, workHeaders("7", "1"), "")
	require.NoError(t, err)
	require.NotEqual(t, "7", string(resp.Header.Peek(bknd.HeaderRequest)))

	fault.Garbage = server.GarbageLarge
	require.NoError(t, host.Apply(fault))
	_, err = send(client, bknd.PathLookup, workHeaders("8", "1"), "")
	require.ErrorIs(t, err, fasthttp.ErrBodyTooLarge)
	require.Error(t, host.Apply(server.Fault{Action: "unheard"}))
	require.Error(t, host.Apply(server.Fault{Service: "other", Action: server.ActionKill}))
}

func TestGarbageThatClientsCannotDetect(t *testing.T) {
	host, _, _ := startHost(t)
	fault := server.Fault{Action: server.ActionGarbage, Garbage: server.GarbageCrossed}
	require.NoError(t, host.Apply(fault))
	resp, err := send(&fasthttp.Client{}, bknd.PathLookup, workHeaders("8", "1"), "")
	require.NoError(t, err)
	require.Equal(t, "8", string(resp.Header.Peek(bknd.HeaderRequest)))
	require.Contains(t, string(resp.Body()), "-crossed")

	fault.Garbage = server.GarbageDenied
	require.NoError(t, host.Apply(fault))
	resp, err = send(&fasthttp.Client{}, bknd.PathAction, workHeaders("9", "1"), "")
	require.NoError(t, err)
	require.Equal(t, "1", string(resp.Header.Peek(bknd.HeaderNotRun)))
	require.Equal(t, 1, host.Stats()[0].Executions)
}
