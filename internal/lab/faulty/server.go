package faulty

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Answer is what a server sends for a request.
type Answer struct {
	Text string
	// Wait is the time until it is sent.
	Wait time.Duration
	// Late is sent lateDelay after Text, when the connection may have the next request.
	Late string
	// PieceSize is the number of bytes that are sent at a time, or 0 for all.
	PieceSize int
	// Early is set if the answer is sent before the body of the request is read.
	Early bool
	// Close is set if the server closes the connection after the answer.
	Close bool
}

// lateDelay exceeds the time in which a client reads an answer on loopback.
const lateDelay = 2 * time.Millisecond

// Serve starts a server on loopback that answers each request with what answer returns for its
// head, and returns its address. closed gets a value for each connection that the other
// side closes.
func Serve(t testing.TB, answer func(head string) string) (address string, closed <-chan struct{}) {
	t.Helper()
	return ServeAnswers(t, func(_ net.Conn, head string) Answer { return Answer{Text: answer(head)} })
}

// ServeAnswers is like Serve for answers that are sent in other ways. answer also gets the
// connection of the request.
func ServeAnswers(t testing.TB, answer func(conn net.Conn, head string) Answer) (address string, closed <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	ended := make(chan struct{}, 10_000)
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

// serve answers requests until one of the sides closes the connection.
func serve(conn net.Conn, answer func(conn net.Conn, head string) Answer) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		head, length, err := readHead(reader)
		if err != nil {
			return
		}
		next := answer(conn, head)
		if !next.Early {
			if _, err := reader.Discard(length); err != nil {
				return
			}
		}
		if err := next.send(conn); err != nil {
			return
		}
		if next.Early {
			if _, err := reader.Discard(length); err != nil {
				return
			}
		}
		if next.Close {
			return
		}
	}
}

// readHead reads the head of a request and returns the length of its body.
func readHead(reader *bufio.Reader) (head string, length int, err error) {
	var lines strings.Builder
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "", 0, err
		}
		if line == "\r\n" {
			return lines.String(), length, nil
		}
		lines.WriteString(line)
		if name, value, _ := strings.Cut(line, ":"); strings.EqualFold(name, "Content-Length") {
			if length, err = strconv.Atoi(strings.TrimSpace(value)); err != nil {
				return "", 0, err
			}
		}
	}
}

// send sends an answer.
func (a *Answer) send(conn net.Conn) error {
	time.Sleep(a.Wait)
	if err := a.write(conn, a.Text); err != nil || a.Late == "" {
		return err
	}
	time.Sleep(lateDelay)
	return a.write(conn, a.Late)
}

// write writes a text in pieces.
func (a *Answer) write(conn net.Conn, text string) error {
	for len(text) > 0 {
		size := len(text)
		if a.PieceSize > 0 {
			size = min(a.PieceSize, size)
		}
		if _, err := conn.Write([]byte(text[:size])); err != nil {
			return err
		}
		text = text[size:]
	}
	return nil
}
