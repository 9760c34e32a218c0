package quota

import (
	"math"
	"time"
)

// account is the state of one tenant in use.
type account struct {
	limit Limit
	slot  int
	// tokens holds the end of validity of each token held in advance, in ascending order, and late
	// that of the tokens whose requests had stopped waiting when they arrived.
	tokens   []time.Duration
	late     []time.Duration
	waiters  []*Waiter
	returned uint32
	// demand is the number of requests in the last demandTime, decayed exponentially.
	demand   float64
	demandAt time.Duration
	usedAt   time.Duration
	// refusedUntil is the time until which the owner has no token.
	refusedUntil time.Duration
	// retryAt is the time for which the last refused request was told to retry.
	retryAt time.Duration
	counts  [verdictCount]uint64
}

// setLimit replaces the limit unless it is from an older version.
func (a *account) setLimit(limit Limit) {
	if limit.Version > a.limit.Version && (limit.Rate < a.limit.Rate || limit.Burst < a.limit.Burst) {
		// A lower limit applies to the tokens held, too.
		a.returned += uint32(len(a.tokens) + len(a.late))
		a.tokens, a.late = nil, nil
	}
	if limit.Version >= a.limit.Version {
		a.limit = limit
	}
}

// isIdle reports whether the account holds nothing and no request waits.
func (a *account) isIdle() bool {
	return len(a.waiters) == 0 && len(a.tokens) == 0 && len(a.late) == 0 && a.returned == 0
}

// use records a request of the tenant.
func (a *account) use(now time.Duration) {
	a.demand = a.demandNow(now) + 1
	a.demandAt, a.usedAt = now, now
}

func (a *account) demandNow(now time.Duration) float64 {
	return a.demand * math.Exp(-(now-a.demandAt).Seconds()/demandTime.Seconds())
}

// wanted returns the number of tokens that this process should hold.
func (a *account) wanted(now time.Duration) uint32 {
	if a.usedAt == 0 || now-a.usedAt > activeTime {
		return 0
	}
	return 1 + uint32(min(a.demandNow(now)*aheadTime.Seconds()/demandTime.Seconds(), maxAhead))
}

// takeHeld takes a token that is held.
func (a *account) takeHeld(now time.Duration) bool {
	a.expire(now)
	switch {
	case len(a.late) > 0:
		a.late = a.late[1:]
	case len(a.tokens) > 0:
		a.tokens = a.tokens[1:]
	default:
		return false
	}
	return true
}

// expire returns the tokens whose validity has ended to the owner.
func (a *account) expire(now time.Duration) {
	for len(a.tokens) > 0 && a.tokens[0] <= now {
		a.tokens = a.tokens[1:]
		a.returned++
	}
	for len(a.late) > 0 && a.late[0] <= now {
		a.late = a.late[1:]
		a.returned++
	}
}

// extend extends the validity of the tokens held: the owner has been told of them.
func (a *account) extend(until time.Duration) {
	for i := range a.tokens {
		a.tokens[i] = max(a.tokens[i], until)
	}
}

func (w *Waiter) end(d Decision) {
	w.ended = true
	w.Done <- d
}

// refuse returns a refusal. Each caller is told another time, so that those that retry find the
// tokens of that time.
func (a *account) refuse(now time.Duration, verdict Verdict, wait time.Duration) Decision {
	spacing := time.Duration(float64(time.Second) / max(a.limit.Rate, 0.01))
	a.retryAt = max(a.retryAt+spacing, now+wait)
	a.retryAt = min(a.retryAt, now+max(maxWait, wait))
	return a.count(Decision{Verdict: verdict, RetryAfter: max(a.retryAt-now, time.Millisecond)})
}

func (a *account) count(d Decision) Decision {
	a.counts[d.Verdict]++
	return d
}
