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

// BatchOptions sets how long changes are collected.
type BatchOptions struct {
	// Delay is the time from the first change to the write. 0 means 200 ms.
	Delay time.Duration
	// Retry is the time from a failed write to the next. 0 means 500 ms.
	Retry time.Duration
}

// Batch collects changes so that many of them take one write.
type Batch struct {
	options BatchOptions
	pending []Change
	due     time.Time
	writing int
}

// NewBatch returns an empty batch.
func NewBatch(options BatchOptions) *Batch {
	options.Delay = cmp.Or(options.Delay, defaultBatchDelay)
	options.Retry = cmp.Or(options.Retry, defaultRetryDelay)
	return &Batch{options: options}
}

// Add adds a change unless it is pending already.
func (b *Batch) Add(c Change, now time.Time) {
	if slices.Contains(b.pending, c) {
		return
	}
	if len(b.pending) == 0 && b.due.Before(now) {
		b.due = now.Add(b.options.Delay)
	}
	b.pending = append(b.pending, c)
}

// Take returns the changes to write if they are due and no write is under way.
// Done has to follow.
func (b *Batch) Take(now time.Time) ([]Change, bool) {
	if len(b.pending) == 0 || b.writing > 0 || now.Before(b.due) {
		return nil, false
	}
	b.writing = len(b.pending)
	return slices.Clone(b.pending), true
}

// Done ends a write. The changes stay pending if it failed.
func (b *Batch) Done(written bool, now time.Time) {
	if written {
		b.pending = slices.Clone(b.pending[b.writing:])
		b.due = now.Add(b.options.Delay)
	} else {
		b.due = now.Add(b.options.Retry)
	}
	b.writing = 0
}

// Drop discards changes that another process has taken over, unless a write is
// under way.
func (b *Batch) Drop(changes []Change) {
	if b.writing > 0 {
		return
	}
	b.pending = slices.DeleteFunc(b.pending, func(c Change) bool { return slices.Contains(changes, c) })
}

// Pending returns the pending changes.
func (b *Batch) Pending() []Change {
	return slices.Clone(b.pending)
}
