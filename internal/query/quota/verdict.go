package quota

import (
	"time"
)

// Verdict is the result of Take.
type Verdict uint8

// Verdicts.
const (
	// Waiting: the quota owner is asked, and the result arrives through the Waiter.
	Waiting Verdict = iota
	// Granted: a token that this process held was taken, or this process is the quota owner.
	Granted
	// GrantedOwn: a token of the share of this process was taken, since the owner is out of reach.
	GrantedOwn
	// GrantedAsked: the owner has granted a token.
	GrantedAsked
	// Refused: the request is over the quota.
	Refused
	// RefusedUnreachable: the owner is out of reach, and the share of this process is used up.
	RefusedUnreachable
	verdictCount
)

// IsGranted reports whether the request may run.
func (v Verdict) IsGranted() bool {
	return v == Granted || v == GrantedOwn || v == GrantedAsked
}

// String returns the name of the verdict in metrics.
func (v Verdict) String() string {
	return [...]string{"waiting", "granted", "own_share", "asked", "refused", "unreachable"}[v]
}

// Decision is the decision on one request.
type Decision struct {
	Verdict Verdict
	// Waiter is set if Verdict is Waiting.
	Waiter *Waiter
	// RetryAfter is the time until the tenant may have a token, if the request is refused.
	RetryAfter time.Duration
}

// Waiter is a request that waits for the answer of the quota owner.
type Waiter struct {
	// Done receives the decision. It has room for it.
	Done    chan Decision
	account *account
	// order is the number of the order that asks the owner for the token, and spare that of the
	// one that asks its deputy, or 0.
	order, spare uint64
	ended        bool
}
