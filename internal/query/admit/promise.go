package admit

import (
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// leastPromised and mostPromised are the parts of the capacity that are promised to callers
	// who come back: the least if up to fewAdmitted of the requests are admitted, the most if
	// nearly all are. Under a lasting overload second attempts, which are worth half, take the
	// place of first ones; in a short one there will be room for them.
	leastPromised = 0.1
	mostPromised  = 0.25
	fewAdmitted   = 0.55
	// classPromisesAhead and tenantPromisesAhead are the numbers of promises that may be given ahead
	// of their intervals, by class and by tenant, since refusals come together while the queues of
	// servers are full. Without them, 44 in 100 refused callers beside a tenant over its rate got no
	// promise at 9 VMs, and most of those came back too late.
	classPromisesAhead  = 4
	tenantPromisesAhead = 1
	// wellServed is the share of the requests of all tenants but the heaviest from which on
	// promises may be given ahead. Under a lasting overload of all tenants, more of them cost
	// value, as does a burst of one kind.
	wellServed = 0.85
	// returnGrace is how long room is kept after the time that a caller was told. It covers a
	// round trip to the caller and a late timer.
	returnGrace = 60 * time.Millisecond
	// maxToldShare is the part of the time to the goal that has passed at most when a caller
	// comes back as it was told: the longest wait, the longest time of a promise, and a margin.
	maxToldShare = 0.6
	// foreignBurst is the number of promises of other VMs that may come due together.
	foreignBurst = 6
	// maxPromises bounds the promises of a class that are kept at a time.
	maxPromises = 256
)

// nextPromise returns the earliest time of the promise after one for a time. Promises are an interval
// apart, but some may be given ahead of that. next is the earliest time as it was before.
func nextPromise(next, at time.Time, interval time.Duration, ahead int) time.Time {
	return latest(next, at.Add(-time.Duration(ahead)*interval)).Add(interval)
}

// promise is room that is kept for one refused caller.
type promise struct {
	at     time.Time
	tenant ident.TenantID
}

// promises holds the room that is kept for the refused callers of one class, the earliest
// first. Callers can't be recognised: a promise is used by the next request that may be from
// the caller it was given to.
type promises struct {
	kept []promise
	// next is the earliest time for which another promise may be given.
	next time.Time
	// nextForeign is the earliest time at which a promise of another VM is honoured.
	nextForeign time.Time
}

// add keeps room from the given time on.
func (p *promises) add(given promise) {
	at, _ := slices.BinarySearchFunc(p.kept, given, func(a, b promise) int { return a.at.Compare(b.at) })
	p.kept = slices.Insert(p.kept, at, given)
}

// expire drops the promises whose callers didn't come.
func (p *promises) expire(now time.Time) {
	expired := 0
	for expired < len(p.kept) && now.Sub(p.kept[expired].at) > returnGrace {
		expired++
	}
	p.kept = slices.Delete(p.kept, 0, expired)
}

// take uses the earliest promise that is due and was given to the tenant, or to another one
// for which mayUse is true: refused callers may come back to another VM, so that this VM gets
// those of others. It reports whether there is one.
func (p *promises) take(now time.Time, tenant ident.TenantID, mayUse func(ident.TenantID) bool) bool {
	p.expire(now)
	due := p.due(now)
	at := slices.IndexFunc(p.kept[:due], func(kept promise) bool { return kept.tenant == tenant })
	if at < 0 {
		at = slices.IndexFunc(p.kept[:due], func(kept promise) bool { return mayUse(kept.tenant) })
	}
	if at < 0 {
		return false
	}
	p.kept = slices.Delete(p.kept, at, at+1)
	return true
}

// takeForeign reports whether a promise that another VM may have given is honoured: at most one
// per interval in the long run.
func (p *promises) takeForeign(now time.Time, interval time.Duration) bool {
	if now.Before(p.nextForeign) {
		return false
	}
	p.nextForeign = latest(p.nextForeign, now.Add(-foreignBurst*interval)).Add(interval)
	return true
}

// due returns the number of promises for a time up to the given one.
func (p *promises) due(by time.Time) int {
	due := 0
	for due < len(p.kept) && !p.kept[due].at.After(by) {
		due++
	}
	return due
}
