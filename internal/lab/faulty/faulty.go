// Package faulty provides tests with responses that are none of the protocol although they
// look much like one, and a server that sends them.
package faulty

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// interims is a number of interim responses that no server sends before a response.
const interims = 1000

// Responses returns responses without a valid status, by name. Each has the given header
// lines, which end in CRLF, and body.
func Responses(headers, body string) map[string]string {
	rest := headers + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	responses := map[string]string{
		"no status":        "HTTP/1.1\r\n" + rest,
		"no status line":   "\r\n" + rest,
		"another protocol": "HTTP/2.0 200 OK\r\n" + rest,
		"interim only":     strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", interims) + "HTTP/1.1 200 OK\r\n" + rest,
		"upgrade":          "HTTP/1.1 101 Switching Protocols\r\n" + rest,
		"000 after 100":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + rest,
		"204 with a body":  "HTTP/1.1 204 No Content\r\n" + headers + "Content-Length: 1\r\n\r\nx",
	}
	for _, status := range []string{"000", "00", "0", "99", "099", "600", "999", "1000", "2000", "+20", "-20", "20x", "abc", " 200", "20 0"} {
		responses["status "+status] = "HTTP/1.1 " + status + " OK\r\n" + rest
	}
	return responses
}

// Serve starts a server on loopback that answers each request with what answer returns for its
// head, and returns its address. closed gets a value for each connection that the other
// side closes.
func Serve(t testing.TB, answer func(head string) string) (address string, closed <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	ended := make(chan struct{}, 1000)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				serve(conn, answer)
				ended <- struct{}{}
			}()
		}
	}()
	return listener.Addr().String(), ended
}

// serve answers requests until the other side closes the connection.
func serve(conn net.Conn, answer func(head string) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		var head strings.Builder
		length := 0
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			if line == "\r\n" {
				break
			}
			head.WriteString(line)
			if name, value, _ := strings.Cut(line, ":"); strings.EqualFold(name, "Content-Length") {
				length, _ = strconv.Atoi(strings.TrimSpace(value))
			}
		}
		if _, err := reader.Discard(length); err != nil {
			return
		}
		if _, err := conn.Write([]byte(answer(head.String()))); err != nil {
			return
		}
	}
}
