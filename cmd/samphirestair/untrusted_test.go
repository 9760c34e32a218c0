package main_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/ctrl"
	"github.com/samphirestair/samphirestair/internal/lab/crowd"
	"github.com/samphirestair/samphirestair/internal/lab/kvsrv"
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/lab/soak"
	"github.com/samphirestair/samphirestair/internal/lab/vmsrv"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/ops/status"
)

// Load and bounds of the test of untrusted callers. They don't depend on how fast the machine
// is: all clients are connected at a time, and the bounds hold whatever they get done.
const (
	// untrustedMemory is the memory in the settings in MB, which is the bound of the peak of
	// the resident memory.
	untrustedMemory = 96
	// untrustedClients is the number of clients, and of connections at a time.
	untrustedClients = 48
	// silentClients is the number of clients that send nothing, and partialClients of those that
	// send a body except for its end.
	silentClients, partialClients = 600, 300
	// untrustedDescriptors is the bound of the open descriptors.
	untrustedDescriptors = silentClients + 200
	// untrustedBody is the limit of bodies at the port for callers, and inflatedBody the size of
	// a compressed body once it is decompressed.
	untrustedBody, inflatedBody = 256 << 10, 16 << 20
	// answerShards is the number of shards of the service with long answers, each on two backend
	// servers. A search gets answerHits hits of answerText bytes from each shard, and as many in
	// total.
	answerShards, answerHits, answerText = 2, 1000, 2000
	// untrustedTime is the time for which clients do what they do.
	untrustedTime = 600 * time.Millisecond
	// answeredWithin is the time within which an ordinary request has to be answered
	// afterwards. It exceeds the time for which the process waits for a request to arrive.
	answeredWithin = 20 * time.Second
)

// untrustedListener is a listener with an ordinary request, and the path with the longest
// answer that it has without backend servers.
type untrustedListener struct {
	port         int
	method, path string
	body         string
	long         string
	// part is a part of the body of the answer to the ordinary request.
	part string
}

// untrustedListeners returns the listeners by name.
func untrustedListeners(t *testing.T) map[string]untrustedListener {
	t.Helper()
	batch, err := (&msgs.Batch{From: "vm-2"}).MarshalMsg(nil)
	require.NoError(t, err)
	return map[string]untrustedListener{
		"caller": {7000, http.MethodGet, "/v1/ready", "", "/v1/addresses", ""},
		"peer":   {7001, http.MethodPost, "/v1/batch", string(batch), "/v1/batch", ""},
		"admin":  {7003, http.MethodGet, "/status", "", "/metrics", ""},
	}
}

// untrusted is a process that is the only member of its fleet.
type untrusted struct {
	process *soak.Process
	ip      string
	store   string
	exits   atomic.Int32
}

// newUntrusted starts a process by a command, to which it appends the arguments of the program.
// number is different for each process at a time.
func newUntrusted(t *testing.T, command []string, number int) *untrusted {
	t.Helper()
	kv, err := kvsrv.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = kv.Close() })
	list, err := vmsrv.Start("127.0.0.1:0", vmsrv.Fault{})
	require.NoError(t, err)
	t.Cleanup(func() { _ = list.Close() })
	u := &untrusted{store: kv.URL(), ip: fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()%64, os.Getpid()/64%250, 20+number)}
	dir := t.TempDir()
	settings := filepath.Join(dir, "vm.ini")
	require.NoError(t, os.WriteFile(settings, []byte(fmt.Sprintf(
		"[vm]\nid = vm-1\nzone = vantaa\nip = %s\nmemory = %d\n[platform]\nstore = %s\nvms = %s\n[fleet]\nlist_lifetime = 100ms\n",
		u.ip, untrustedMemory, kv.URL(), list.URL())), 0o600))
	u.process, err = soak.StartProcess(command[:1], append(slices.Clone(command[1:]), "serve", "--settings", settings), filepath.Join(dir, "vm.log"),
		time.Second, func(*os.ProcessState, bool) { u.exits.Add(1) })
	require.NoError(t, err)
	t.Cleanup(u.process.Close)
	return u
}

func (u *untrusted) address(l untrustedListener) string {
	return fmt.Sprintf("%s:%d", u.ip, l.port)
}

// requireAnswer requires that an ordinary request is answered with 200 and the listener's part
// of a body, on a new connection.
func (u *untrusted) requireAnswer(t *testing.T, l untrustedListener) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answeredWithin}
	require.Eventually(t, func() bool {
		request, err := http.NewRequest(l.method, "http://"+u.address(l)+l.path, strings.NewReader(l.body))
		if err != nil {
			return false
		}
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		body, err := io.ReadAll(response.Body)
		return response.Body.Close() == nil && err == nil && response.StatusCode == http.StatusOK && bytes.Contains(body, []byte(l.part))
	}, answeredWithin, 20*time.Millisecond, "no ordinary request is answered")
}

// inflatable returns a short compressed body that is long once it is decompressed.
func inflatable(t *testing.T) string {
	t.Helper()
	var body bytes.Buffer
	writer := gzip.NewWriter(&body)
	_, err := writer.Write(make([]byte, inflatedBody))
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	return body.String()
}

func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "samphirestair")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(output))
	return program
}

// Guards against a control port that accepts no connections any more once the process has run
// out of descriptors.
func TestControlPortOutlivesLackOfDescriptors(t *testing.T) {
	limited := fmt.Sprintf("ulimit -n %d && exec \"$0\" \"$@\"", silentClients*2/3)
	u := newUntrusted(t, []string{"/bin/sh", "-c", limited, buildProgram(t)}, 0)
	u.requireAnswer(t, untrustedListeners(t)["caller"])
	ctx, cancel := context.WithTimeout(t.Context(), untrustedTime)
	defer cancel()
	crowd.Run(ctx, u.address(controlListener), silentClients, crowd.AwaitEnd(""))
	u.requireControlAnswer(t)
	require.Zero(t, u.exits.Load(), "the process ended")
}

// controlListener is the listener for control messages.
var controlListener = untrustedListener{port: 7002}

// requireControlAnswer requires that an ordinary control message is answered, on a new connection.
func (u *untrusted) requireControlAnswer(t *testing.T) {
	t.Helper()
	client := ctrl.NewClient(ctrl.ClientOptions{})
	defer client.Close()
	require.Eventually(t, func() bool {
		var summary status.VM
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return client.Call(ctx, u.address(controlListener), "status.brief", struct{}{}, &summary) == nil
	}, answeredWithin, 20*time.Millisecond, "no control call is answered")
}

// controlMessage returns a message whose announced size is that of text, or announced unless
// that is 0.
func controlMessage(announced uint64, text string) string {
	if announced == 0 {
		announced = uint64(len(text))
	}
	return string(binary.AppendUvarint(nil, announced)) + text
}

// Guards against control messages that make a process of serve exceed the memory of its VM: longer
// than any sensible one, decoded into many values, incomplete, or sent without reading the replies.
func TestUntrustedCallersOfTheControlPortStayWithinTheMemory(t *testing.T) {
	program := buildProgram(t)
	filler := strings.Repeat("x", 64<<10)
	const begin = `{"method":"status.brief","id":1,"params":"`
	values := controlMessage(0, `{"method":"fleet.beat","id":1,"params":{"leases":[`+strings.Repeat("{},", 350_000)+"{}]}}")
	long := controlMessage(0, begin+strings.Repeat("x", 15<<20)+`"}`)
	call := controlMessage(0, `{"method":"fleet.state","id":1}`)
	tests := []struct {
		name    string
		clients int
		action  crowd.Action
	}{
		{"announced_terabyte", untrustedClients, crowd.SendAgain(controlMessage(1<<40, begin), filler)},
		{"announced_16_megabytes", untrustedClients, crowd.SendAgain(controlMessage(16<<20, begin), filler)},
		{"long_messages", untrustedClients, crowd.SendAgain(long, long)},
		{"many_values", untrustedClients, crowd.SendAgain(values, values)},
		{"messages_without_end", partialClients, crowd.AwaitEnd(controlMessage(untrustedBody, begin+strings.Repeat("x", untrustedBody-len(begin)-1)))},
		{"slow_messages", untrustedClients, crowd.SendSlowly(long)},
		{"unread_replies", untrustedClients, crowd.Pipeline(strings.Repeat(call, 1000))},
	}
	for number, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := newUntrusted(t, []string{program}, number)
			u.requireAnswer(t, untrustedListeners(t)["caller"])
			u.endure(t, controlListener, test.clients, test.action, func() { u.requireControlAnswer(t) })
		})
	}
}

// startBackendServers starts two backend servers for each shard, and returns their service
// document.
func startBackendServers(t *testing.T) *svcdoc.Document {
	t.Helper()
	document := &svcdoc.Document{
		Service: "desk", Deadline: 2 * time.Second, Classes: []string{"phone"},
		Limits: svcdoc.Limits{Slots: untrustedClients, ColdSlots: untrustedClients, Connections: 2 * untrustedClients, WarmAfter: 1},
	}
	for i := range 2 * answerShards {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		document.Servers = append(document.Servers, svcdoc.Server{
			ID: ident.ServerID(fmt.Sprintf("desk/s%d", i)), Address: listener.Addr().String(),
			Zone: "vantaa", Shard: ident.Shard(i / 2), Limits: document.Limits,
		})
	}
	host, err := server.Start(document.Servers, "127.0.0.1:0", server.Options{Queue: untrustedClients})
	require.NoError(t, err)
	t.Cleanup(func() { _ = host.Close() })
	return document
}

// apply puts a service document in force.
func (u *untrusted) apply(t *testing.T, program string, document *svcdoc.Document) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "desk.ini")
	require.NoError(t, os.WriteFile(file, svcdoc.Format(document), 0o600))
	output, err := exec.Command(program, "apply", file, "--store", u.store, "--by", "test").CombinedOutput()
	require.NoError(t, err, string(output))
}

// Guards against long answers of backend servers that make a process of serve exceed the memory of
// its VM while they are read, merged and encoded, or wait for callers that read slowly or not at all.
func TestUntrustedCallersWithLongAnswersStayWithinTheMemory(t *testing.T) {
	program := buildProgram(t)
	body := fmt.Sprintf(`{"query":%q,"limit":%d}`, strings.Repeat("x", answerText), answerHits)
	request := fmt.Sprintf("POST /v1/search/desk HTTP/1.1\r\nHost: vm-1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	tests := []struct {
		name    string
		clients int
		action  crowd.Action
	}{
		{"slow_readers", untrustedClients, crowd.ReadSlowly(request)},
		{"unread", untrustedClients, crowd.AwaitEnd(request)},
		{"pipelined", untrustedClients, crowd.Pipeline(request)},
		{"given_up", untrustedClients, func(_ context.Context, conn net.Conn) {
			_, _ = conn.Write([]byte(request))
			time.Sleep(20 * time.Millisecond)
		}},
	}
	for number, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := newUntrusted(t, []string{program}, number)
			u.apply(t, program, startBackendServers(t))
			search := untrustedListener{
				port: 7000, method: http.MethodPost, path: "/v1/search/desk", body: `{"query":"sofa","limit":10}`, part: `"outcome":"full"`,
			}
			u.requireAnswer(t, search)
			u.endure(t, search, test.clients, test.action, func() { u.requireAnswer(t, search) })
		})
	}
}

// Guards against callers outside the limits that make a process of serve exceed the memory of
// its VM, run out of descriptors, hang or end. Nothing here depends on the speed of the machine.
func TestUntrustedCallersOfServeStayWithinTheMemory(t *testing.T) {
	program := buildProgram(t)
	filler, compressed := strings.Repeat("x", 64<<10), inflatable(t)
	const host = " HTTP/1.1\r\nHost: vm-1\r\n"
	paths := map[int]string{7000: "/v1/search/desk", 7001: "/v1/batch", 7003: "/status"}
	post := func(l untrustedListener) string { return "POST " + paths[l.port] + host }
	long := func(l untrustedListener) string { return "GET " + l.long + host + "\r\n" }
	for _, test := range []struct {
		name    string
		clients int
		action  func(l untrustedListener) crowd.Action
	}{
		{"announced_body", untrustedClients, func(l untrustedListener) crowd.Action {
			return crowd.SendAgain(post(l)+"Content-Length: 1073741824\r\n\r\n", filler)
		}},
		{"announced_16_megabytes", untrustedClients, func(l untrustedListener) crowd.Action {
			return crowd.SendAgain(post(l)+"Content-Length: 16777216\r\n\r\n", filler)
		}},
		{"chunked_body", untrustedClients, func(l untrustedListener) crowd.Action {
			return crowd.SendAgain(post(l)+"Transfer-Encoding: chunked\r\n\r\n", "10000\r\n"+filler+"\r\n")
		}},
		{"long_chunk", untrustedClients, func(l untrustedListener) crowd.Action {
			return crowd.SendAgain(post(l)+"Transfer-Encoding: chunked\r\n\r\nf00000\r\n", filler)
		}},
		{"body_without_announcement", untrustedClients, func(l untrustedListener) crowd.Action {
			return crowd.SendAgain(post(l)+"\r\n", filler)
		}},
		{"bodies_without_end", partialClients, func(l untrustedListener) crowd.Action {
			return crowd.AwaitEnd(post(l) + fmt.Sprintf("Content-Length: %d\r\n\r\n", untrustedBody) + strings.Repeat("x", untrustedBody-1))
		}},
		{"compressed_body", untrustedClients, func(l untrustedListener) crowd.Action {
			request := post(l) + fmt.Sprintf("Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n", len(compressed)) + compressed
			return crowd.SendAgain(request, request)
		}},
		{"slow_readers", untrustedClients, func(l untrustedListener) crowd.Action { return crowd.ReadSlowly(long(l)) }},
		{"pipelined", untrustedClients, func(l untrustedListener) crowd.Action { return crowd.Pipeline(long(l)) }},
		{"slow_heads", untrustedClients, func(l untrustedListener) crowd.Action {
			return crowd.SendSlowly("GET " + l.path + host + "X-Filler: " + filler)
		}},
		{"silent", silentClients, func(untrustedListener) crowd.Action { return crowd.AwaitEnd("") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			// The processes start together, which takes longer than what follows, and are then
			// tested one at a time.
			listeners := untrustedListeners(t)
			names := slices.Sorted(maps.Keys(listeners))
			processes := map[string]*untrusted{}
			for number, name := range names {
				processes[name] = newUntrusted(t, []string{program}, number)
			}
			for _, name := range names {
				t.Run(name, func(t *testing.T) {
					processes[name].play(t, listeners[name], test.clients, test.action(listeners[name]))
				})
			}
		})
	}
}

// play lets clients do something at a listener, and requires that the process stays within
// its bounds and answers an ordinary request afterwards.
func (u *untrusted) play(t *testing.T, l untrustedListener, clients int, do crowd.Action) {
	t.Helper()
	u.requireAnswer(t, untrustedListeners(t)["caller"])
	u.endure(t, l, clients, do, func() { u.requireAnswer(t, l) })
}

// endure lets clients do something at a listener, and requires that the process stays within
// its bounds. answered requires an answer of the listener afterwards.
func (u *untrusted) endure(t *testing.T, l untrustedListener, clients int, do crowd.Action, answered func()) {
	t.Helper()
	pid := u.process.PID()
	open := make(chan int, 1)
	time.AfterFunc(untrustedTime/2, func() {
		files, _ := crowd.Descriptors(pid)
		open <- files
	})
	ctx, cancel := context.WithTimeout(t.Context(), untrustedTime)
	defer cancel()
	crowd.Run(ctx, u.address(l), clients, do)
	descriptors := <-open
	answered()
	u.requireAnswer(t, untrustedListeners(t)["caller"])
	require.Zero(t, u.exits.Load(), "the process ended")
	peak, err := crowd.PeakMemory(pid)
	require.NoError(t, err)
	t.Logf("peak %d MB, %d descriptors", peak>>20, descriptors)
	require.LessOrEqual(t, peak, untrustedMemory<<20, "peak of the resident memory")
	require.LessOrEqual(t, descriptors, untrustedDescriptors, "open descriptors")
}
