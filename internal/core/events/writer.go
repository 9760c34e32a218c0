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
	// maxBufferedBytes bounds the bytes that are buffered while the reader of the
	// log is slow.
	maxBufferedBytes = 256 << 10
	// pipeChunk is the largest write to a pipe that is atomic, in bytes.
	pipeChunk = 4096
	// flushInterval is the time between two flushes, in which lines are batched.
	flushInterval = 50 * time.Millisecond
)

// Writer writes lines to another writer in the background, so that Write never
// blocks: lines that exceed the buffer are dropped and counted. It is safe for
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

// NewWriter returns a Writer that writes to out until Close. If out returns EAGAIN,
// the rest is written later.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops it if the buffer is full. It never fails.
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

// Close flushes the buffer and stops the Writer. It waits at most for limit. It must
// be called once.
func (w *Writer) Close(limit time.Duration) {
	close(w.closed)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

// run flushes the buffer at most once every flushInterval until Close.
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

// flush writes unwritten, which is what an earlier call returned, and then the
// buffer. It returns what out does not accept now. If out fails other than by EAGAIN,
// the lines are dropped.
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

// truncate drops the newest of the unwritten lines beyond maxBufferedBytes and counts
// them.
func (w *Writer) truncate(lines []byte) []byte {
	if len(lines) <= maxBufferedBytes {
		return lines
	}
	kept := bytes.LastIndexByte(lines[:maxBufferedBytes], '\n') + 1
	w.dropped.Add(uint64(bytes.Count(lines[kept:], []byte("\n"))))
	return lines[:kept]
}
