// Package crowd provides clients outside the limits, for tests of listeners, and reads what a
// process uses meanwhile.
package crowd

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// readBuffer is the receive buffer of clients that read slowly or not at all.
const readBuffer = 4 << 10

// Action is what a client does on one connection.
type Action func(ctx context.Context, conn net.Conn)

// Run lets clients do something at an address, on one connection each at a time, until ctx ends.
func Run(ctx context.Context, address string, clients int, do Action) {
	var running conc.WaitGroup
	for range clients {
		running.Go(func() {
			for ctx.Err() == nil {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				do(ctx, conn)
				stop()
				_ = conn.Close()
			}
		})
	}
	running.Wait()
}

// SendAgain sends first once, and then again for as long as the connection takes it.
func SendAgain(first, again string) Action {
	return func(_ context.Context, conn net.Conn) {
		_, err := conn.Write([]byte(first))
		for err == nil {
			_, err = conn.Write([]byte(again))
		}
	}
}

// AwaitEnd sends text and reads nothing until the time is over. It doesn't notice that the
// other side closes the connection, so that it opens one connection only.
func AwaitEnd(text string) Action {
	return func(ctx context.Context, conn net.Conn) {
		_, _ = conn.Write([]byte(text))
		<-ctx.Done()
	}
}

// SendSlowly sends a text a byte at a time.
func SendSlowly(text string) Action {
	return func(ctx context.Context, conn net.Conn) {
		for i := range len(text) {
			if _, err := conn.Write([]byte{text[i]}); err != nil {
				return
			}
			select {
			case <-time.After(10 * time.Millisecond):
			case <-ctx.Done():
				return
			}
		}
	}
}

// ReadSlowly sends a request and reads the answer a byte at a time.
func ReadSlowly(request string) Action {
	return func(ctx context.Context, conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(readBuffer)
		_, err := conn.Write([]byte(request))
		for err == nil && ctx.Err() == nil {
			_, err = conn.Read(make([]byte, 1))
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Pipeline sends a request again and again and reads nothing.
func Pipeline(request string) Action {
	return func(ctx context.Context, conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(readBuffer)
		SendAgain(request, request)(ctx, conn)
	}
}

// PeakMemory returns the peak of the resident memory of a process in bytes.
func PeakMemory(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "crowd: peak memory")
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	peak, err := strconv.Atoi(number)
	return peak << 10, errors.Wrap(err, "crowd: peak memory")
}

// Descriptors returns the number of open descriptors of a process.
func Descriptors(pid int) (int, error) {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(files), errors.Wrap(err, "crowd: descriptors")
}
