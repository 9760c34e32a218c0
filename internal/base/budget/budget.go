// Package budget bounds the memory that a process holds for messages of callers, backend
// servers and other VMs. What is about to be read is reserved first. When the budget is used
// up, the connection that has held most for longest is closed.
package budget

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// SmallSize is the size in bytes up to which a message needs no reservation. Messages up to it
// are never refused for lack of memory; the number of connections bounds them.
const SmallSize = 8 << 10

const (
	// MaxWait is the time for which a message waits for memory unless it has a deadline. It exceeds
	// the time after which connections that hold memory can be closed to make room.
	MaxWait = 500 * time.Millisecond
	// PromptTime is the time within which memory is reserved unless it is short.
	PromptTime = 5 * time.Millisecond
)

const (
	// minStall is the time without progress after which a connection can be closed to make
	// room. A body makes progress each time that it doubles, and a response with each piece
	// that is read. With 50 ms, what closed connections leave to the garbage collector raised
	// the peak in the test of untrusted callers from 81 to 95 MB.
	minStall = 200 * time.Millisecond
	// retryInterval is the time between two searches for a connection to close while all
	// make progress.
	retryInterval = 25 * time.Millisecond
)

// Kind is what memory is held for.
type Kind uint8

// Kinds of memory.
const (
	// Request is the body of a request that arrives.
	Request Kind = iota
	// Answer is an answer of a backend server or of another VM that was sent a request.
	Answer
	// Response is a response that is being written.
	Response
	kinds
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"request", "answer", "response"}[k]
}

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{Request, Answer, Response}
}

// Budget is an amount of memory that holders share. It is safe for concurrent use. A nil
// budget and one of 0 bytes have no limit.
type Budget struct {
	limit int

	mu    sync.Mutex
	held  [kinds]int
	total int
	// leaving is the part of total that belongs to holders that are being closed.
	leaving int
	// holders are those that hold something and can be closed.
	holders map[*Holder]struct{}
	// released is closed when memory is given back, if anyone waits for that.
	released chan struct{}
}

// New returns a budget of limit bytes.
func New(limit int) *Budget {
	return &Budget{limit: limit, holders: map[*Holder]struct{}{}}
}

// Limit returns the number of bytes that may be held.
func (b *Budget) Limit() int {
	if b == nil {
		return 0
	}
	return b.limit
}

// Held returns the number of bytes that are held for a kind of message.
func (b *Budget) Held(kind Kind) int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[kind]
}

// Holder is what one connection or one answer holds. It is safe for concurrent use. All
// methods accept a nil holder, which holds nothing and may have any amount.
type Holder struct {
	budget *Budget
	// closeConn closes the connection to make room, or is nil if the holder can't be closed.
	closeConn func()

	// sum is the sum of held. It is written with the budget's mutex held, which guards the
	// fields below.
	sum  atomic.Int64
	held [kinds]int
	// since is when the holder began to read or write what it holds, or the zero time while
	// neither side of the connection is the reason that it holds memory.
	since time.Time
	// movedAt is when the last progress was made.
	movedAt time.Time
	closing bool
}

// NewHolder returns a holder of nothing. closeConn closes the connection if the holder has held
// most for longest; it is called without locks, and the owner then has to call Release. It
// is nil for holders that can't be closed.
func (b *Budget) NewHolder(closeConn func()) *Holder {
	if b == nil {
		return nil
	}
	h := &Holder{budget: b, closeConn: closeConn}
	if closeConn == nil {
		// Gives back the memory of an answer that is dropped without Release.
		runtime.SetFinalizer(h, (*Holder).Release)
	}
	return h
}

// Sibling returns a holder of nothing in the same budget.
func (h *Holder) Sibling(closeConn func()) *Holder {
	return h.budget.NewHolder(closeConn)
}

// Reserve makes size the number of bytes that are held for a kind of message that is about to
// be read. If the budget is used up it closes other connections, and waits until a time. It
// returns false if there is no room, or if this holder itself is the one to be closed.
func (h *Holder) Reserve(kind Kind, size int, until time.Time) bool {
	if h == nil || size <= SmallSize {
		return true
	}
	for {
		now := time.Now()
		b := h.budget
		b.mu.Lock()
		need := size - h.held[kind]
		if h.closing {
			b.mu.Unlock()
			return false
		}
		if b.limit == 0 || b.total+need <= b.limit || b.total == int(h.sum.Load()) {
			h.set(kind, size, now)
			b.mu.Unlock()
			return true
		}
		victim := b.startClosing(need, now)
		if b.released == nil {
			b.released = make(chan struct{})
		}
		released := b.released
		b.mu.Unlock()
		if victim != nil {
			victim.closeConn()
		}
		if victim == h || !now.Before(until) {
			return false
		}
		timer := time.NewTimer(min(retryInterval, until.Sub(now)))
		select {
		case <-released:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Set makes size the number of bytes that are held for a kind of message that is in memory
// already, and ends Pin.
func (h *Holder) Set(kind Kind, size int) {
	if size <= SmallSize {
		size = 0
	}
	if h == nil || size == 0 && h.sum.Load() == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.set(kind, size, time.Now())
}

// Pin keeps the holder from being closed until the next Reserve or Set: what it holds is in
// use by a request that runs.
func (h *Holder) Pin() {
	if h == nil || h.sum.Load() == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.since = time.Time{}
}

// Progress records that the other side has read a piece of a response.
func (h *Holder) Progress() {
	if h == nil || h.sum.Load() == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.movedAt = time.Now()
}

// canBeClosed reports whether the other side of the connection is the reason that memory is
// held, and makes no progress. The budget's mutex must be held.
func (h *Holder) canBeClosed(now time.Time) bool {
	return !h.closing && !h.since.IsZero() && now.Sub(h.movedAt) >= minStall
}

// Release gives back all that is held.
func (h *Holder) Release() {
	if h == nil || h.sum.Load() == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.closing {
		h.budget.leaving -= int(h.sum.Load())
	}
	h.closing = false
	for kind := range kinds {
		h.set(kind, 0, time.Time{})
	}
}

// set changes what is held for a kind. The budget's mutex must be held.
func (h *Holder) set(kind Kind, size int, now time.Time) {
	b, change := h.budget, size-h.held[kind]
	h.held[kind] = size
	if change != 0 {
		h.movedAt = now
	}
	sum := h.sum.Add(int64(change))
	b.held[kind] += change
	b.total += change
	if h.closing {
		b.leaving += change
	}
	switch {
	case sum == 0:
		h.since = time.Time{}
		delete(b.holders, h)
	case h.since.IsZero() || kind == Response && change != 0:
		h.since = now
		if h.closeConn != nil {
			b.holders[h] = struct{}{}
		}
	}
	if change < 0 && b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// startClosing returns the holder that has held most for longest and marks it as closing. It
// returns nil if there is none, or if those that are being closed leave enough room. The mutex
// must be held.
func (b *Budget) startClosing(need int, now time.Time) *Holder {
	if b.total-b.leaving+need <= b.limit {
		return nil
	}
	var victim *Holder
	most := 0.0
	for h := range b.holders {
		if !h.canBeClosed(now) {
			continue
		}
		if weight := float64(h.sum.Load()) * now.Sub(h.since).Seconds(); weight > most {
			victim, most = h, weight
		}
	}
	if victim != nil {
		victim.closing = true
		b.leaving += int(victim.sum.Load())
	}
	return victim
}
