package reply_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/reply"
	"github.com/samphirestair/samphirestair/internal/lab/faulty"
)

const maxBody = 4 * budget.SmallSize

func read(data []byte, response *fasthttp.Response, reserve func(int) bool) error {
	return reply.Read(response, bufio.NewReader(bytes.NewReader(data)), reply.Options{MaxBody: maxBody, Reserve: reserve})
}

// pieces is a connection from which data is read a byte at a time.
type pieces struct {
	net.Conn
	reader bytes.Reader
}

func (p *pieces) Read(b []byte) (int, error) { return iotest.OneByteReader(&p.reader).Read(b) }
func (p *pieces) Close() error               { return nil }

// readChecked reads data with the HTTP library through a checked connection.
func readChecked(data []byte, response *fasthttp.Response) error {
	conn := &pieces{}
	conn.reader.Reset(data)
	return response.ReadLimitBody(bufio.NewReader(reply.NewConn(conn)), maxBody)
}

// Guards against bodies that are read without a reservation or beyond the limit, and against
// two ways of reading that don't agree.
func TestBodiesAreReservedBeforeTheyAreRead(t *testing.T) {
	long := strings.Repeat("x", maxBody)
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct {
		data     string
		body     string
		reserved int
		fails    bool
	}{
		"short":             {ok + "Content-Length: 4\r\n\r\nbody", "body", 0, false},
		"long":              {ok + "Content-Length: 32768\r\n\r\n" + long, long, maxBody, false},
		"too long":          {ok + "Content-Length: 32769\r\n\r\n" + long + "x", "", 0, true},
		"cut short":         {ok + "Content-Length: 32768\r\n\r\nx", "", maxBody, true},
		"short chunks":      {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", "body", 0, false},
		"long chunk":        {ok + "Transfer-Encoding: chunked\r\n\r\n8000\r\n" + long + "\r\n0\r\n\r\n", long, maxBody + 1, false},
		"too long chunk":    {ok + "Transfer-Encoding: chunked\r\n\r\n8001\r\n" + long + "x\r\n0\r\n\r\n", "", maxBody + 1, true},
		"chunks cut short":  {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo", "", 0, true},
		"until the end":     {ok + "Connection: close\r\n\r\nbody", "body", 0, false},
		"after interim":     {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody", "body", 0, false},
		"not modified":      {"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "", 0, false},
		"no content":        {"HTTP/1.0 204 No Content\r\nContent-Length: 0\r\n\r\n", "", 0, false},
		"without a reason":  {"HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody", "body", 0, false},
		"unassigned status": {"HTTP/1.1 299 X\r\nContent-Length: 4\r\n\r\nbody", "body", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			most := 0
			var response, checked fasthttp.Response
			err := read([]byte(test.data), &response, func(size int) bool {
				most = max(most, size)
				return true
			})
			require.Equal(t, test.fails, err != nil, "%v", err)
			require.Equal(t, test.reserved, most)
			require.Equal(t, test.fails, readChecked([]byte(test.data), &checked) != nil)
			if err != nil {
				return
			}
			require.Equal(t, test.body, string(response.Body()))
			require.Equal(t, test.body, string(checked.Body()))
			if test.reserved > 0 {
				require.ErrorIs(t, read([]byte(test.data), &response, func(int) bool { return false }), budget.ErrNoMemory)
			}
		})
	}
}

// Guards against responses that are not valid and that are read as an answer, with a line passed on
// or with another body than the sender's.
func TestInvalidResponsesAreRejected(t *testing.T) {
	for _, responses := range []map[string]string{faulty.Responses("A: b\r\n", "body"), faulty.Heads("A: b\r\n", "body"), faulty.LongBodies("A: b\r\n")} {
		for name, data := range responses {
			t.Run(name, func(t *testing.T) {
				require.Error(t, read([]byte(data), &fasthttp.Response{}, unlimited))
				require.Error(t, readChecked([]byte(data), &fasthttp.Response{}))
			})
		}
	}
}

func unlimited(int) bool { return true }

// Guards against valid responses that the check rejects or changes, or of which it takes more bytes
// than belong to them.
func TestValidResponsesAreReadAsTheLibraryReadsThem(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, data := range faulty.Sound("A: b\r\n") {
		t.Run(name, func(t *testing.T) {
			var expected, got, checked fasthttp.Response
			require.NoError(t, expected.ReadLimitBody(bufio.NewReader(strings.NewReader(data)), maxBody))
			r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(data)))
			require.NoError(t, reply.Read(&got, r, reply.Options{MaxBody: maxBody, Reserve: unlimited}))
			require.NoError(t, readChecked([]byte(data), &checked))
			for _, response := range []*fasthttp.Response{&got, &checked} {
				require.Equal(t, expected.StatusCode(), response.StatusCode())
				require.Equal(t, string(expected.Body()), string(response.Body()))
				require.Equal(t, expected.Header.String(), response.Header.String())
			}
			if !strings.Contains(name, "until the end") {
				r = bufio.NewReader(strings.NewReader(data + next))
				require.NoError(t, reply.Read(&fasthttp.Response{}, r, reply.Options{MaxBody: maxBody, Reserve: unlimited}))
				rest, err := io.ReadAll(r)
				require.NoError(t, err)
				require.Equal(t, next, string(rest))
			}
		})
	}
}

// benchmarkData is a response like those of backend servers.
var benchmarkData = []byte("HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nX-Request-Id: 9c41d07be2a35f68\r\n" +
	"X-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Server-Load: 1,0,2\r\nContent-Length: 160\r\n\r\n" + strings.Repeat("x", 160))

func BenchmarkRead(b *testing.B) {
	var data bytes.Reader
	r := bufio.NewReader(&data)
	response := &fasthttp.Response{}
	for b.Loop() {
		data.Reset(benchmarkData)
		r.Reset(&data)
		response.Reset()
		if err := reply.Read(response, r, reply.Options{MaxBody: maxBody, Reserve: unlimited}); err != nil {
			b.Fatal(err)
		}
	}
}

// memoryConn is a connection from which a response is read at once.
type memoryConn struct {
	net.Conn
	bytes.Reader
}

func (c *memoryConn) Read(p []byte) (int, error)  { return c.Reader.Read(p) }
func (c *memoryConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *memoryConn) Close() error                { return nil }

func BenchmarkConn(b *testing.B) {
	memory := &memoryConn{}
	conn := reply.NewConn(memory)
	p := make([]byte, 4096)
	for b.Loop() {
		memory.Reset(benchmarkData)
		_, _ = conn.Write(nil)
		if n, err := conn.Read(p); n != len(benchmarkData) || err != nil {
			b.Fatal(n, err)
		}
	}
}

// FuzzRead checks that no response without a valid status is accepted, and that both ways of
// reading give the same one.
func FuzzRead(f *testing.F) {
	for _, responses := range []map[string]string{faulty.Responses("A: b\r\n", "body"), faulty.Sound("A: b\r\n")} {
		for _, response := range responses {
			f.Add([]byte(response))
		}
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var response, checked fasthttp.Response
		err := read(data, &response, func(size int) bool { return size <= maxBody+1 })
		if err == nil {
			require.True(t, reply.IsValidStatus(response.StatusCode()))
			require.LessOrEqual(t, len(response.Body()), maxBody)
		}
		if readChecked(data, &checked) != nil {
			return
		}
		require.True(t, reply.IsValidStatus(checked.StatusCode()))
		require.NotContains(t, string(data[:min(len(data), 13)]), " 000")
		if err == nil {
			require.Equal(t, checked.StatusCode(), response.StatusCode())
			require.Equal(t, string(checked.Body()), string(response.Body()))
		}
	})
}
