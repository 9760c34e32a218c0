package events

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// writerRoom bounds the bytes that wait for a slow reader of the log.
	maxBufferedBytes = 256 << 10
	// writerChunk is the size that a pipe takes as a whole.
	pipeChunk = 4096
	// writerPause is the time in which lines gather before they are written.
	flushInterval = 50 * time.Millisecond
)

// Writer passes lines on to another writer without ever blocking the caller:
// lines for which there is no room are dropped and counted. It is safe for
// concurrent use.
type Writer struct {
	out      io.Writer
	mu       sync.Mutex
	buffered []byte
	wake     chan struct{}
	dropped  atomic.Uint64
	closed   chan struct{}
	done     chan struct{}
}

// NewWriter returns a writer that passes lines on to out until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffered)+len(line) > maxBufferedBytes {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffered = append(w.buffered, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// Close writes what waits, but does not wait longer than limit for a slow
// reader.
func (w *Writer) Close(limit time.Duration) {
	close(w.closed)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var unwritten []byte
	for {
		if len(unwritten) == 0 {
			select {
			case <-w.wake:
			case <-w.closed:
				w.flush(nil)
				return
			}
		}
		unwritten = w.flush(unwritten)
		select {
		case <-time.After(flushInterval):
		case <-w.closed:
			w.flush(unwritten)
			return
		}
	}
}

// flush writes rest, which an earlier call could not write, and what waits. It
// returns what the other writer does not take now.
func (w *Writer) flush(rest []byte) []byte {
	w.mu.Lock()
	rest = append(rest, w.buffered...)
	w.buffered = w.buffered[:0]
	w.mu.Unlock()
	lines := rest
	for len(lines) > 0 {
		n, err := w.out.Write(lines[:min(len(lines), pipeChunk)])
		lines = lines[n:]
		if err != nil && !errors.Is(err, syscall.EAGAIN) {
			w.dropped.Add(uint64(bytes.Count(lines, []byte("\n"))))
			return nil
		}
		if err != nil || n == 0 {
			break
		}
	}
	return w.truncate(lines)
}

// bound drops the newest lines of what could not be written if there are too
// many.
func (w *Writer) truncate(lines []byte) []byte {
	if len(lines) <= maxBufferedBytes {
		return lines
	}
	kept := bytes.LastIndexByte(lines[:maxBufferedBytes], '\n') + 1
	w.dropped.Add(uint64(bytes.Count(lines[kept:], []byte("\n"))))
	return lines[:kept]
}
