// Package queue decides which sub-requests are sent to one backend server, and
// when. It takes events and the time as arguments and reads no clock.
//
// An item waits, is started (it has a slot but has not been written), is sent,
// and ends. A sent item that was abandoned, because its answer is no longer
// awaited, keeps its slot until the server is known to have ended the work.
package queue

import (
	"container/heap"
	"slices"
	"time"
)

// DefaultMaxWaiting is the default of Options.MaxWaiting.
const DefaultMaxWaiting = 256

// Options holds the settings of a queue. The zero value selects the defaults.
type Options struct {
	// MaxWaiting is the number of items that may wait.
	MaxWaiting int
}

// Queue holds the sub-requests of one backend server. Use New to make one. It
// is not safe for concurrent use.
type Queue struct {
	maxWaiting  int
	limit       int
	serviceTime time.Duration
	waiting     itemHeap
	started     int
	sent        int
	abandoned   []*Item
	// inherited holds the end times of the slots that a previous owner's requests
	// use.
	inherited []time.Time
	// nextExpiry is a lower bound of the time from which on some waiting item
	// cannot meet its deadline.
	nextExpiry time.Time
}

// New returns an empty queue. It starts nothing until SetConcurrencyLimit is
// called.
func New(opts Options) *Queue {
	if opts.MaxWaiting <= 0 {
		opts.MaxWaiting = DefaultMaxWaiting
	}
	return &Queue{maxWaiting: opts.MaxWaiting}
}

// SetConcurrencyLimit sets the number of items that may run at the server at once,
// and the server's mean service time, 0 if unknown.
func (q *Queue) SetConcurrencyLimit(limit int, serviceTime time.Duration) {
	q.limit = limit
	if serviceTime > q.serviceTime {
		q.nextExpiry = time.Time{}
	}
	q.serviceTime = serviceTime
}

// ConcurrencyLimit returns the number of items that may run at the server at once.
func (q *Queue) ConcurrencyLimit() int {
	return q.limit
}

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int {
	return len(q.waiting)
}

// InUse returns the number of slots in use, those of a previous owner included.
func (q *Queue) InUse() int {
	return q.started + q.sent + len(q.abandoned) + len(q.inherited)
}

// AtServer returns the number of slots in use by requests that may have reached
// the server, those of a previous owner included.
func (q *Queue) AtServer() int {
	return q.sent + len(q.abandoned) + len(q.inherited)
}

// RetryAfter returns the expected time until a slot is free for an item behind all
// that wait now.
func (q *Queue) RetryAfter() time.Duration {
	return q.expectedWait(len(q.waiting))
}

// Add adds an item and returns the item that must be refused instead, or nil. That
// is the added item if it cannot meet its deadline, or the last item in the order
// if the queue is full.
func (q *Queue) Add(item *Item, now time.Time) *Item {
	item.ignoreEstimate = len(q.waiting) == 0 && q.InUse() == 0
	if !q.canMeetDeadline(item, now) {
		item.state = stateEnded
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

// Ready reports whether an item waits and a slot is free.
func (q *Queue) Ready() bool {
	return len(q.waiting) > 0 && q.InUse() < q.limit
}

// Start assigns a slot to the next item and returns it, or nil if no slot is free
// or no item waits. Call Expire first, so that expired items get no slot.
func (q *Queue) Start() *Item {
	if !q.Ready() {
		return nil
	}
	item := heap.Pop(&q.waiting).(*Item)
	item.state = stateStarted
	q.started++
	return item
}

// Send must be called right before a started item is written. If the concurrency
// limit was lowered so that the item has no slot any more, it returns false and
// the item waits again.
func (q *Queue) Send(item *Item) bool {
	if item.state != stateStarted {
		return false
	}
	q.started--
	if q.AtServer() >= q.limit {
		q.push(item)
		return false
	}
	item.state = stateSent
	q.sent++
	return true
}

// Finish ends an item and frees its slot. It does nothing if the item has none.
func (q *Queue) Finish(item *Item) {
	switch item.state {
	case stateStarted:
		q.started--
	case stateSent:
		q.sent--
	case stateAbandoned:
		q.removeAbandoned(item)
	default:
		return
	}
	item.state = stateEnded
}

// FinishAbandoned ends an abandoned item and frees its slot. It does nothing for
// other items.
func (q *Queue) FinishAbandoned(item *Item) {
	if item.state == stateAbandoned {
		q.Finish(item)
	}
}

// Abandon marks a sent item whose answer is no longer awaited. Its slot stays in
// use until Finish, or until the server responds to something that it was asked
// keepFor after its next response: a server that was frozen may start the work
// only at that response, and may be frozen again before the work ends.
func (q *Queue) Abandon(item *Item, keepFor time.Duration) {
	if item.state != stateSent {
		q.Finish(item)
		return
	}
	q.sent--
	item.state = stateAbandoned
	item.keepFor, item.until = keepFor, time.Time{}
	q.abandoned = append(q.abandoned, item)
}

// ServerResponded records a response of the server to something that it was asked
// at askedAt. It frees the slots of abandoned items whose time had ended by then,
// and starts the time of the others if no earlier response has.
func (q *Queue) ServerResponded(askedAt, now time.Time) {
	q.abandoned = slices.DeleteFunc(q.abandoned, func(item *Item) bool { return endIfExpired(item, askedAt) })
	for _, item := range q.abandoned {
		if item.until.IsZero() {
			item.until = now.Add(item.keepFor)
		}
	}
}

// AwaitsResponse reports whether a response to something that the server is asked
// now would start or end the time of an abandoned item.
func (q *Queue) AwaitsResponse(now time.Time) bool {
	return slices.ContainsFunc(q.abandoned, func(item *Item) bool { return !now.Before(item.until) })
}

// Ended reports whether an added item has no slot and does not wait for one.
func (q *Queue) Ended(item *Item) bool {
	return item.state == stateEnded
}

// Cancel removes a waiting item. It returns false if the item is not waiting.
func (q *Queue) Cancel(item *Item) bool {
	if item.state != stateWaiting {
		return false
	}
	q.remove(item)
	return true
}

// Inherit adds slots that requests of a previous owner may use until the given
// time.
func (q *Queue) Inherit(slots int, until time.Time) {
	for range slots {
		q.inherited = append(q.inherited, until)
	}
}

// ServerRestarted frees the slots of abandoned items and of a previous owner's
// requests. It must be called only when the server's process has been replaced,
// which ended them.
func (q *Queue) ServerRestarted() {
	for _, item := range q.abandoned {
		item.state = stateEnded
	}
	q.abandoned, q.inherited = nil, nil
}

// Clear removes and returns all waiting items.
func (q *Queue) Clear() []*Item {
	items := []*Item(q.waiting)
	for _, item := range items {
		item.state = stateEnded
	}
	q.waiting = nil
	return items
}

// expectedWait returns the expected time until an item starts that has the given
// number of waiting items ahead of it.
func (q *Queue) expectedWait(ahead int) time.Duration {
	if q.limit <= 0 {
		return 0
	}
	busy := ahead + q.InUse()
	if busy < q.limit {
		return 0
	}
	return time.Duration(busy-q.limit+1) * q.serviceTime / time.Duration(q.limit)
}

// canMeetDeadline reports whether an item that is added now is expected to end
// before its deadline.
func (q *Queue) canMeetDeadline(item *Item, now time.Time) bool {
	if item.ignoreEstimate {
		return now.Before(item.Deadline)
	}
	ahead := 0
	for _, other := range q.waiting {
		if runsBefore(other, item) {
			ahead++
		}
	}
	return now.Add(q.expectedWait(ahead) + q.serviceTime).Before(item.Deadline)
}

// expiry returns the time from which on a waiting item cannot meet its deadline.
func (q *Queue) expiry(item *Item) time.Time {
	if item.ignoreEstimate {
		return item.Deadline
	}
	return item.Deadline.Add(-q.serviceTime)
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
	item.state = stateEnded
}

// last returns the waiting item that would run last.
func (q *Queue) last() *Item {
	last := q.waiting[0]
	for _, item := range q.waiting[1:] {
		if runsBefore(last, item) {
			last = item
		}
	}
	return last
}
