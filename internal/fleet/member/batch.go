package member

import (
	"cmp"
	"slices"
	"time"
)

const (
	defaultBatchDelay = 200 * time.Millisecond
	defaultRetryDelay = 500 * time.Millisecond
)

// BatchOptions sets the timing of writes.
type BatchOptions struct {
	// Delay is the time for which changes are collected before a write. 0 means
	// 200 ms.
	Delay time.Duration
	// Retry is the time between a failed write and the next. 0 means 500 ms.
	Retry time.Duration
}

// Batch collects changes of the membership value, so that one write covers many.
type Batch struct {
	options BatchOptions
	pending []Change
	writeAt time.Time
	// inFlight is the number of pending changes that are being written, the first
	// ones.
	inFlight int
}

// NewBatch returns an empty batch.
func NewBatch(options BatchOptions) *Batch {
	options.Delay = cmp.Or(options.Delay, defaultBatchDelay)
	options.Retry = cmp.Or(options.Retry, defaultRetryDelay)
	return &Batch{options: options}
}

// Add adds a change unless it is already pending.
func (b *Batch) Add(c Change, now time.Time) {
	if slices.Contains(b.pending, c) {
		return
	}
	if len(b.pending) == 0 && b.writeAt.Before(now) {
		b.writeAt = now.Add(b.options.Delay)
	}
	b.pending = append(b.pending, c)
}

// Take returns the changes to write once the delay is over and no write is in
// flight. Done has to be called when the write ends.
func (b *Batch) Take(now time.Time) ([]Change, bool) {
	if len(b.pending) == 0 || b.inFlight > 0 || now.Before(b.writeAt) {
		return nil, false
	}
	b.inFlight = len(b.pending)
	return slices.Clone(b.pending), true
}

// Done records the end of a write. After a failed write the changes stay pending.
func (b *Batch) Done(written bool, now time.Time) {
	if written {
		b.pending = slices.Clone(b.pending[b.inFlight:])
		b.writeAt = now.Add(b.options.Delay)
	} else {
		b.writeAt = now.Add(b.options.Retry)
	}
	b.inFlight = 0
}

// Drop removes changes that another process has accepted for writing. It does
// nothing while a write is in flight.
func (b *Batch) Drop(changes []Change) {
	if b.inFlight > 0 {
		return
	}
	b.pending = slices.DeleteFunc(b.pending, func(c Change) bool { return slices.Contains(changes, c) })
}

// Pending returns the pending changes.
func (b *Batch) Pending() []Change {
	return slices.Clone(b.pending)
}
