package queue

import (
	"slices"
	"time"
)

// Expire frees the slots whose work is past its deadline, and removes and
// returns the waiting items that cannot meet their deadline any more.
func (q *Queue) Expire(now time.Time) []*Item {
	q.ExpireSlots(now)
	if len(q.waiting) == 0 || now.Before(q.nextExpiry) {
		return nil
	}
	return q.expireWaiting(now)
}

// ExpireSlots frees the slots whose work is past its deadline.
func (q *Queue) ExpireSlots(now time.Time) {
	q.carried = slices.DeleteFunc(q.carried, func(until time.Time) bool { return !now.Before(until) })
	q.givenUp = slices.DeleteFunc(q.givenUp, func(item *Item) bool { return endGivenUp(item, now) })
}

// NextEvent returns the time at which Expire has something to do, and whether
// there is one.
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
	for _, until := range q.carried {
		consider(until)
	}
	for _, item := range q.givenUp {
		if !item.until.IsZero() {
			consider(item.until)
		}
	}
	return next, found
}

// LatestSlotEnd returns the time until which slots of given up items and of a
// previous owner may stay in use, and not less than now.
func (q *Queue) LatestSlotEnd(now time.Time) time.Time {
	latest := now
	for _, until := range q.carried {
		latest = later(latest, until)
	}
	for _, item := range q.givenUp {
		latest = later(latest, item.until)
		if item.until.IsZero() {
			latest = later(latest, now.Add(item.budget))
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

func (q *Queue) dropGivenUp(item *Item) {
	if i := slices.Index(q.givenUp, item); i >= 0 {
		q.givenUp = slices.Delete(q.givenUp, i, i+1)
	}
}

func endGivenUp(item *Item, now time.Time) bool {
	if item.until.IsZero() || now.Before(item.until) {
		return false
	}
	item.state = stateGone
	return true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
