package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// flushInterval is the interval after which the next recorded event flushes the
// buffer.
const flushInterval = 200 * time.Millisecond

// Recorder writes events to one history. It is safe for concurrent use. A nil
// Recorder discards all events.
type Recorder struct {
	process   string
	createdAt time.Time
	mu        sync.Mutex
	buffer    *bufio.Writer
	flushedAt time.Time
	file      io.Closer
	err       error
}

// NewRecorder returns a recorder for the named process that writes to w.
func NewRecorder(w io.Writer, process string) *Recorder {
	now := time.Now()
	return &Recorder{process: process, createdAt: now, flushedAt: now, buffer: bufio.NewWriter(w)}
}

// NewFileRecorder returns a recorder that creates and writes the named file. If
// the name is empty it returns nil, which discards all events.
func NewFileRecorder(name, process string) (*Recorder, error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	r := NewRecorder(file, process)
	r.file = file
	return r, nil
}

// Now returns the current time in nanoseconds since the Unix epoch. The times
// of one non-nil recorder never decrease, even if the system clock is set back.
func (r *Recorder) Now() int64 {
	if r == nil {
		return time.Now().UnixNano()
	}
	return r.createdAt.UnixNano() + int64(time.Since(r.createdAt))
}

// Record writes an event. It sets the process, and the time if that is 0. The
// first error is returned by Close; later events are discarded.
func (r *Recorder) Record(event Event) {
	if r == nil {
		return
	}
	event.Process = r.process
	r.mu.Lock()
	defer r.mu.Unlock()
	if event.At == 0 {
		event.At = r.Now()
	}
	r.writeLocked(event)
}

func (r *Recorder) writeLocked(event Event) {
	if r.err != nil {
		return
	}
	line, err := json.Marshal(event)
	if err != nil {
		r.err = errors.Wrap(err, "trace: encode")
		return
	}
	if _, err := r.buffer.Write(append(line, '\n')); err != nil {
		r.err = errors.Wrap(err, "trace: write")
		return
	}
	if now := time.Now(); now.Sub(r.flushedAt) >= flushInterval {
		r.flushedAt = now
		r.err = errors.Wrap(r.buffer.Flush(), "trace: flush")
	}
}

// Close flushes the buffer, closes the file and returns the errors of recording
// and closing. Record must not be called afterwards.
func (r *Recorder) Close() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	err := errors.CombineErrors(r.err, r.buffer.Flush())
	if r.file != nil {
		err = errors.CombineErrors(err, r.file.Close())
	}
	return err
}
