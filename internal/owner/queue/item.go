package queue

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// state is the state of an item; see the package comment.
type state uint8

const (
	stateNew state = iota
	stateWaiting
	stateStarted
	stateSent
	stateAbandoned
	stateEnded
)

// Item is one sub-request. An item may be added to one queue once.
type Item struct {
	Class    ident.Class
	Deadline time.Time
	// Payload is for the caller's use.
	Payload any

	state state
	index int
	// keepFor is the time after the server's next response for which an abandoned
	// item keeps its slot at least, and until is the end of that time. until is zero
	// while the server has not responded.
	keepFor time.Duration
	until   time.Time
	// ignoreEstimate is set if the item was added while the server was idle. It is
	// sent even if the mean service time exceeds its deadline, so that the
	// recovery of a slow server is noticed.
	ignoreEstimate bool
}

// itemHeap is a heap of items, ordered by class, then by deadline.
type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool { return runsBefore(h[i], h[j]) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// runsBefore reports whether a starts before b.
func runsBefore(a, b *Item) bool {
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	return a.Deadline.Before(b.Deadline)
}
