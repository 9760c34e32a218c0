package guard_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/accept"
	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/core/guard"
)

const maxBody = 64 << 10

// serve starts a protected server that echoes the length of bodies, and returns a
// connection to it.
func serve(t *testing.T, memory *budget.Budget, set *metrics.Set) net.Conn {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	listener := accept.NewListener(tcp, accept.Options{Limit: func() int { return 10 }, Failed: func(error) {}, Budget: memory})
	server := guard.Protect(&fasthttp.Server{
		ReadTimeout: 100 * time.Millisecond,
		Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.SetBodyString(fmt.Sprint(len(ctx.PostBody())))
		},
	}, guard.Options{MaxBody: func() int { return maxBody }, Reporter: guard.NewReporter("test", nil, set)})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { require.NoError(t, server.Shutdown()) })
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against bodies that are read beyond the limit, and against a status that says that the
// request may have run although its body never arrived.
func TestBodiesAreReadWithinTheLimit(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: a\r\n"
	chunk := func(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }
	for name, test := range map[string]struct {
		request string
		status  int
		body    string
		cause   guard.Cause
	}{
		"none":              {head + "\r\n", 200, "0", ""},
		"empty":             {head + "Content-Length: 0\r\n\r\n", 200, "0", ""},
		"short":             {head + "Content-Length: 5\r\n\r\nhello", 200, "5", ""},
		"at the limit":      {head + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", maxBody), 200, "65536", ""},
		"over the limit":    {head + "Content-Length: 65537\r\n\r\n", 413, "", guard.TooLarge},
		"chunks":            {head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(5) + chunk(40000) + "0\r\n\r\n", 200, "40005", ""},
		"chunks at limit":   {head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(maxBody) + "0\r\n\r\n", 200, "65536", ""},
		"chunks over limit": {head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(maxBody) + "5\r\n", 408, "", guard.TooSlow},
		"long chunk":        {head + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n" + strings.Repeat("x", maxBody+1), 413, "", guard.TooLarge},
		"no end":            {head + "Content-Length: 5\r\n\r\nhell", 408, "", guard.TooSlow},
		"invalid chunk":     {head + "Transfer-Encoding: chunked\r\n\r\nx\r\n", 400, "", guard.Malformed},
		"slow head":         {head + "X-Fill", 408, "", guard.TooSlow},
	} {
		t.Run(name, func(t *testing.T) {
			memory, set := budget.New(1<<20), metrics.NewSet()
			conn := serve(t, memory, set)
			reader := bufio.NewReader(conn)
			_, err := conn.Write([]byte(test.request))
			require.NoError(t, err)
			var response fasthttp.Response
			require.NoError(t, response.Read(reader))
			require.Equal(t, test.status, response.StatusCode())
			require.Equal(t, test.body, string(response.Body()))
			require.Equal(t, test.cause != "", response.ConnectionClose())
			if test.cause == "" {
				// The connection stays in step: another request is answered on it.
				_, err = conn.Write([]byte(head + "Content-Length: 1\r\n\r\nx"))
				require.NoError(t, err)
				require.NoError(t, response.Read(reader))
				require.Equal(t, "1", string(response.Body()))
			} else {
				require.EqualValues(t, 1, set.GetOrCreateCounter(fmt.Sprintf("samphirestair_connections_closed_total{listener=%q,cause=%q}", "test", test.cause)).Get())
			}
			require.Eventually(t, func() bool { return memory.Held(budget.Request) == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}

// Guards against a body that is refused as if it had run, or is read, while no memory is left.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	memory := budget.New(2 * budget.SmallSize)
	require.True(t, memory.NewHolder(func() {}).Reserve(budget.Answer, 2*budget.SmallSize, time.Time{}))
	conn := serve(t, memory, metrics.NewSet())
	_, err := conn.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n" + strings.Repeat("x", 40000)))
	require.NoError(t, err)
	var response fasthttp.Response
	require.NoError(t, response.Read(bufio.NewReader(conn)))
	require.Equal(t, fasthttp.StatusServiceUnavailable, response.StatusCode())
	require.NotEmpty(t, response.Header.Peek("Retry-After"))
}
