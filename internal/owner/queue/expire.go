package queue

import (
	"slices"
	"time"
)

// Expire calls ExpireSlots, and removes and returns the waiting items that cannot
// meet their deadline any more.
func (q *Queue) Expire(now time.Time) []*Item {
	q.ExpireSlots(now)
	if len(q.waiting) == 0 || now.Before(q.nextExpiry) {
		return nil
	}
	return q.expireWaiting(now)
}

// ExpireSlots frees the slots of a previous owner's requests that must have ended
// by now. Those of abandoned items are freed by ServerResponded.
func (q *Queue) ExpireSlots(now time.Time) {
	q.inherited = slices.DeleteFunc(q.inherited, func(until time.Time) bool { return !now.Before(until) })
}

// NextEvent returns the next time at which Expire may free a slot or return an
// item, and false if there is none.
func (q *Queue) NextEvent() (time.Time, bool) {
	var next time.Time
	found := false
	consider := func(t time.Time) {
		if !found || t.Before(next) {
			next, found = t, true
		}
	}
	if len(q.waiting) > 0 {
		consider(q.nextExpiry)
	}
	for _, until := range q.inherited {
		consider(until)
	}
	return next, found
}

// LatestSlotEnd returns the time until which slots of abandoned items and of a
// previous owner's requests may stay in use, and now if there are none.
func (q *Queue) LatestSlotEnd(now time.Time) time.Time {
	latest := now
	for _, until := range q.inherited {
		latest = later(latest, until)
	}
	for _, item := range q.abandoned {
		latest = later(latest, item.until)
		if item.until.IsZero() {
			latest = later(latest, now.Add(item.keepFor))
		}
	}
	return latest
}

func (q *Queue) expireWaiting(now time.Time) []*Item {
	var expired []*Item
	var next time.Time
	for _, item := range q.waiting {
		expiry := q.expiry(item)
		switch {
		case !now.Before(expiry):
			expired = append(expired, item)
		case next.IsZero() || expiry.Before(next):
			next = expiry
		}
	}
	for _, item := range expired {
		q.remove(item)
	}
	q.nextExpiry = next
	return expired
}

func (q *Queue) removeAbandoned(item *Item) {
	if i := slices.Index(q.abandoned, item); i >= 0 {
		q.abandoned = slices.Delete(q.abandoned, i, i+1)
	}
}

// endIfExpired ends an abandoned item whose time was over when the server was
// asked for a response, and reports whether it did.
func endIfExpired(item *Item, askedAt time.Time) bool {
	if item.until.IsZero() || askedAt.Before(item.until) {
		return false
	}
	item.state = stateEnded
	return true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
