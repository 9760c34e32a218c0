// Package queue decides which sub-requests one backend server receives, and
// when. It takes events and the time as arguments and holds no clock.
//
// An item waits, is started (it has a slot but has not been written), is sent,
// and ends. A sent item that the caller has given up keeps its slot until the
// server is known to be done with it.
package queue

import (
	"container/heap"
	"slices"
	"time"
)

// DefaultMaxWaiting is the number of waiting items when Options states none.
const DefaultMaxWaiting = 256

// Options holds the settings of a queue. The zero value is useful.
type Options struct {
	// MaxWaiting is the number of items that may wait.
	MaxWaiting int
}

// Queue holds the sub-requests of one backend server. Use New to make one. It
// is not safe for concurrent use.
type Queue struct {
	maxWaiting int
	bound      int
	estimate   time.Duration
	waiting    waitHeap
	started    int
	sent       int
	givenUp    []*Item
	carried    []time.Time
	// nextExpiry is not later than the first time at which a waiting item can
	// not meet its deadline any more.
	nextExpiry time.Time
}

// New returns an empty queue that starts nothing until it has a bound.
func New(opts Options) *Queue {
	if opts.MaxWaiting <= 0 {
		opts.MaxWaiting = DefaultMaxWaiting
	}
	return &Queue{maxWaiting: opts.MaxWaiting}
}

// SetConcurrencyLimit sets the number of items that the server bears and the estimate of
// its service time, 0 if unknown.
func (q *Queue) SetConcurrencyLimit(bound int, estimate time.Duration) {
	q.bound = bound
	if estimate > q.estimate {
		q.nextExpiry = time.Time{}
	}
	q.estimate = estimate
}

// ConcurrencyLimit returns the number of items that the server bears.
func (q *Queue) ConcurrencyLimit() int {
	return q.bound
}

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int {
	return len(q.waiting)
}

// InUse returns the number of slots in use, those of a previous owner included.
func (q *Queue) InUse() int {
	return q.started + q.sent + len(q.givenUp) + len(q.carried)
}

// AtServer returns the number of slots that the server itself may see in use.
func (q *Queue) AtServer() int {
	return q.sent + len(q.givenUp) + len(q.carried)
}

// RetryAfter returns the time after which the present queue has been worked
// off.
func (q *Queue) RetryAfter() time.Duration {
	return q.waitFor(len(q.waiting))
}

// Add adds an item and returns the item that must be refused for it, or nil.
// That is the item itself if it cannot meet its deadline, or if the queue is
// full and it comes last.
func (q *Queue) Add(item *Item, now time.Time) *Item {
	item.probe = len(q.waiting) == 0 && q.InUse() == 0
	if !q.feasible(item, now) {
		item.state = stateGone
		return item
	}
	q.push(item)
	if len(q.waiting) <= q.maxWaiting {
		return nil
	}
	last := q.last()
	q.remove(last)
	return last
}

// Ready reports whether an item waits and there is a slot for it.
func (q *Queue) Ready() bool {
	return len(q.waiting) > 0 && q.InUse() < q.bound
}

// Start gives the next item a slot and returns it, or nil if there is no free
// slot or nothing waits. Call Expire first.
func (q *Queue) Start() *Item {
	if !q.Ready() {
		return nil
	}
	item := heap.Pop(&q.waiting).(*Item)
	item.state = stateStarted
	q.started++
	return item
}

// Send is called right before a started item is written. If the server bears
// less by now, it returns false and the item waits again.
func (q *Queue) Send(item *Item) bool {
	if item.state != stateStarted {
		return false
	}
	q.started--
	if q.AtServer() >= q.bound {
		q.push(item)
		return false
	}
	item.state = stateSent
	q.sent++
	return true
}

// Finish frees the slot of an item that ended. Items without a slot are left
// alone.
func (q *Queue) Finish(item *Item) {
	switch item.state {
	case stateStarted:
		q.started--
	case stateSent:
		q.sent--
	case stateGivenUp:
		q.dropGivenUp(item)
	default:
		return
	}
	item.state = stateGone
}

// FinishAbandoned frees the slot of an item that was given up. Other items are
// left alone.
func (q *Queue) FinishAbandoned(item *Item) {
	if item.state == stateGivenUp {
		q.Finish(item)
	}
}

// Abandon keeps the slot of a sent item in use until Finish, or until the budget
// has passed since the server was heard again. A server that was frozen may
// begin the work only then.
func (q *Queue) Abandon(item *Item, budget time.Duration) {
	if item.state != stateSent {
		q.Finish(item)
		return
	}
	q.sent--
	item.state = stateGivenUp
	item.budget, item.until = budget, time.Time{}
	q.givenUp = append(q.givenUp, item)
}

// ServerResponded notes a sign of life of the server.
func (q *Queue) ServerResponded(now time.Time) {
	for _, item := range q.givenUp {
		if item.until.IsZero() {
			item.until = now.Add(item.budget)
		}
	}
}

// AwaitsResponse reports whether slots are kept until the server is heard again.
func (q *Queue) AwaitsResponse() bool {
	return slices.ContainsFunc(q.givenUp, func(item *Item) bool { return item.until.IsZero() })
}

// Ended reports whether an item has no slot and does not wait for one.
func (q *Queue) Ended(item *Item) bool {
	return item.state == stateGone
}

// Cancel removes a waiting item. It returns false if the item does not wait.
func (q *Queue) Cancel(item *Item) bool {
	if item.state != stateWaiting {
		return false
	}
	q.remove(item)
	return true
}

// Inherit counts slots that a previous owner's work may use until the given time.
func (q *Queue) Inherit(slots int, until time.Time) {
	for range slots {
		q.carried = append(q.carried, until)
	}
}

// ServerRestarted frees the slots of given up items and of a previous owner's work. It is
// called when the server's process is known to have been replaced.
func (q *Queue) ServerRestarted() {
	for _, item := range q.givenUp {
		item.state = stateGone
	}
	q.givenUp, q.carried = nil, nil
}

// Clear removes and returns all waiting items.
func (q *Queue) Clear() []*Item {
	items := []*Item(q.waiting)
	for _, item := range items {
		item.state = stateGone
	}
	q.waiting = nil
	return items
}

// waitFor returns the expected time until a new item with the given number of
// items before it starts.
func (q *Queue) waitFor(ahead int) time.Duration {
	if q.bound <= 0 {
		return 0
	}
	busy := ahead + q.InUse()
	if busy < q.bound {
		return 0
	}
	return time.Duration(busy-q.bound+1) * q.estimate / time.Duration(q.bound)
}

func (q *Queue) feasible(item *Item, now time.Time) bool {
	if item.probe {
		return now.Before(item.Deadline)
	}
	ahead := 0
	for _, other := range q.waiting {
		if before(other, item) {
			ahead++
		}
	}
	return now.Add(q.waitFor(ahead) + q.estimate).Before(item.Deadline)
}

// expiry returns the time from which on a waiting item cannot meet its deadline.
func (q *Queue) expiry(item *Item) time.Time {
	if item.probe {
		return item.Deadline
	}
	return item.Deadline.Add(-q.estimate)
}

func (q *Queue) push(item *Item) {
	item.state = stateWaiting
	heap.Push(&q.waiting, item)
	expiry := q.expiry(item)
	if len(q.waiting) == 1 || expiry.Before(q.nextExpiry) {
		q.nextExpiry = expiry
	}
}

func (q *Queue) remove(item *Item) {
	heap.Remove(&q.waiting, item.index)
	item.state = stateGone
}

// last returns the waiting item that would run last.
func (q *Queue) last() *Item {
	last := q.waiting[0]
	for _, item := range q.waiting[1:] {
		if before(last, item) {
			last = item
		}
	}
	return last
}
