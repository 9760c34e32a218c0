package queue

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// state is where an item is.
type state uint8

const (
	stateNew state = iota
	stateWaiting
	stateStarted
	stateSent
	stateGivenUp
	stateGone
)

// Item is one sub-request. An item may be added to one queue once.
type Item struct {
	Class    ident.Class
	Deadline time.Time
	// Payload belongs to the caller.
	Payload any

	state state
	index int
	// budget and until say how long a given up item keeps its slot. until is
	// zero while the server has not been heard since.
	budget time.Duration
	until  time.Time
	// probe is set if the item was added while the server was idle. It is sent
	// however slow the server seemed, so that a recovery is noticed.
	probe bool
}

// waitHeap orders items by class, then by deadline.
type waitHeap []*Item

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool { return before(h[i], h[j]) }

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *waitHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// before reports whether a runs before b.
func before(a, b *Item) bool {
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	return a.Deadline.Before(b.Deadline)
}
