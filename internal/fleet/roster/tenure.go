package roster

import "time"

// joinTime is the time from a registration until all VMs that hear the store count it. It is the
// pause between two of their watches, and a slow answer to the second.
const joinTime = defaultBatchDelay + 500*time.Millisecond

// tenure tells whether this VM is one of the serving ones among which limits on the whole fleet
// are divided. Other VMs divide them anew once its registration is missing, which it can't see
// while the store turns it away; they tell it how old the view is in which they miss it. It is
// not safe for concurrent use.
type tenure struct {
	// registeredAt is when the store last confirmed that this VM is registered as serving, or
	// zero if it is not.
	registeredAt time.Time
	// missedAt is the time of the latest view of another VM that lacks the registration.
	missedAt time.Time
}

// register records that the store has written the registration.
func (t *tenure) register(now time.Time, serving bool) {
	t.registeredAt = time.Time{}
	if serving {
		t.registeredAt = now
	}
}

// recordMissed records that another VM's view, which had all changes up to at, lacks the
// registration. It reports whether that ends the tenure.
func (t *tenure) recordMissed(at time.Time) (ended bool) {
	before := t.isMissed()
	if at.After(t.missedAt) {
		t.missedAt = at
	}
	return !t.registeredAt.IsZero() && !before && t.isMissed()
}

// isMissed reports whether another VM's view lacks the registration.
func (t *tenure) isMissed() bool {
	return t.missedAt.After(t.registeredAt)
}

// ownsShare reports whether this VM may use its part of what is divided. Where more VMs serve than
// are selected to, as when some come back after they were replaced, a new one waits until the
// others leave a part to it.
func (t *tenure) ownsShare(now time.Time, view *View) bool {
	switch {
	case t.registeredAt.IsZero(), t.isMissed():
		return false
	case now.Sub(t.registeredAt) < joinTime:
		return view.ServingCount <= TargetServingCount(view.Table)
	default:
		return true
	}
}
