package relay

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roll"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
)

const (
	// maxExposureBalance is the largest balance: a new version that was cold or down gets no burst
	// of requests afterwards.
	maxExposureBalance = 3
	// slackDeviations is the number of standard deviations of the requests of all VMs together
	// that the slack has to cover, if VMs start with a random balance.
	slackDeviations = 4
	// coldMargin is the time after its cold start for which a server may still be slow.
	coldMargin = time.Second
)

// Exposures enforces the share of the requests that backend servers of a new version get, and
// counts what they answer. The share is a bound per VM that needs no messages: requests to the
// service fill up a balance, from which those to the new version are paid. It is safe for
// concurrent use.
type Exposures struct {
	clock func() time.Duration
	// slack returns the exposure slack and the number of VMs that it is for.
	slack func() (slack float64, vms int)
	// random returns a random number from 0 to 1.
	random func() float64
	// mu is held while accounts is replaced, which is nil while there is no roll-out.
	mu       sync.Mutex
	accounts atomic.Pointer[map[ident.ServiceID]*exposure]
}

// NewExposures returns an Exposures without roll-outs. clock includes the time in suspension, and
// slack returns the exposure slack and the number of VMs that it is for. random returns a random
// number from 0 to 1.
func NewExposures(clock func() time.Duration, slack func() (slack float64, vms int), random func() float64) *Exposures {
	return &Exposures{clock: clock, slack: slack, random: random}
}

// exposure is the state of one roll-out.
type exposure struct {
	clock func() time.Duration
	// since is when the roll-out became known.
	since time.Duration

	mu      sync.Mutex
	permit  roll.Permit
	balance float64
	// running counts the requests in flight at the new version and at the others.
	targetRunning, othersRunning int
	counts                       map[roll.Bucket]*roll.Counts
}

// exposedAttempt is what is known of an attempt during a roll-out.
type exposedAttempt struct {
	exposure *exposure
	target   bool
	bucket   roll.Bucket
	// coldUntil is when the server is warm.
	coldUntil time.Time
}

// Announce replaces the roll-outs that are ordered. A new one permits only what the store says.
// Services without one are served alike by all versions.
func (e *Exposures) Announce(rollouts map[ident.ServiceID]roll.Rollout) {
	if len(rollouts) == 0 && e.accounts.Load() == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(rollouts) == 0 {
		e.accounts.Store(nil)
		return
	}
	next := make(map[ident.ServiceID]*exposure, len(rollouts))
	for service, rollout := range rollouts {
		x, permit := e.account(service), roll.InitialPermit(&rollout)
		if x == nil || !x.isOf(permit) {
			x = &exposure{clock: e.clock, since: e.clock(), permit: permit, balance: e.startBalance(), counts: map[roll.Bucket]*roll.Counts{}}
		}
		next[service] = x
	}
	e.accounts.Store(&next)
}

// startBalance returns a random balance. With it the VMs together send as many requests to the
// new version as their share, also if each has fewer requests than make up one; without, such VMs
// send none. The number of these requests then has a standard deviation of less than half the
// root of the number of VMs, which the slack has to cover.
func (e *Exposures) startBalance() float64 {
	if slack, vms := e.slack(); slack < slackDeviations/2*math.Sqrt(float64(vms)) {
		return 0
	}
	return e.random()
}

// SetPermits replaces the permits of roll-outs that were announced.
func (e *Exposures) SetPermits(permits map[ident.ServiceID]roll.Permit) {
	for service, permit := range permits {
		if x := e.account(service); x != nil && x.isOf(permit) {
			x.setPermit(permit)
		}
	}
}

// account returns the state of a roll-out, or nil if there is none.
func (e *Exposures) account(service ident.ServiceID) *exposure {
	if e == nil {
		return nil
	}
	accounts := e.accounts.Load()
	if accounts == nil {
		return nil
	}
	return (*accounts)[service]
}

// Count fills in what this VM has counted. An attempt from before the roll-out became known may
// be in flight for as long as longest.
func (e *Exposures) Count(report *roll.Report, longest time.Duration) {
	x := e.account(report.Service)
	if x == nil {
		report.Seq = 0
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.permit.Position != report.Position {
		report.Seq = 0
		return
	}
	// The record may be newer than the permit that requests see.
	report.Seq = min(report.Seq, x.permit.Seq)
	report.TargetRunning, report.OthersRunning = uint32(x.targetRunning), uint32(x.othersRunning)
	if e.clock()-x.since < longest {
		report.TargetRunning++
		report.OthersRunning++
	}
	report.Counts = make(map[roll.Bucket]roll.Counts, len(x.counts))
	for bucket, counts := range x.counts {
		report.Counts[bucket] = *counts
	}
}

// IsTarget reports whether a server is of the new version of a roll-out.
func (e *Exposures) IsTarget(r *roster.Replica) bool {
	x := e.account(r.Service)
	return x != nil && x.isTarget(r)
}

// isOf reports whether a permit is one of this roll-out.
func (x *exposure) isOf(p roll.Permit) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.permit.Version == p.Version && x.permit.Position == p.Position
}

func (x *exposure) setPermit(p roll.Permit) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.permit = p
}

func (x *exposure) isTarget(r *roster.Replica) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return r.Version == x.permit.Version
}

// sides says which versions may get an attempt, and which is preferred.
type sides struct {
	target, others bool
	preferTarget   bool
	version        string
}

// isTarget reports whether a server is of the new version.
func (s *sides) isTarget(r *roster.Replica) bool {
	return r.Version == s.version
}

// allows reports whether a server may get the attempt.
func (s *sides) allows(r *roster.Replica) bool {
	if s.isTarget(r) {
		return s.target
	}
	return s.others
}

// sides returns which versions may get an attempt. first is set for the first one of a request.
func (x *exposure) sides(first bool) sides {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := sides{version: x.permit.Version}
	switch {
	case x.permit.Mode == roll.TargetOnly:
		s.target = true
	case x.permit.Mode == roll.OthersOnly || x.clock() >= x.permit.Until:
		s.others = true
	case x.permit.Share >= 1:
		s.target, s.others, s.preferTarget = true, true, first
	default:
		s.others = true
		balance := x.balance
		if first {
			// The request pays with its own share, too: otherwise a larger share takes effect only with
			// the next one, which takes seconds if there are many VMs.
			balance += x.permit.Share
		}
		s.target = (first || x.permit.Proven) && balance >= 1
		s.preferTarget = s.target && first
	}
	return s
}

// sent records that an attempt is sent.
func (x *exposure) sent(r *roster.Replica, route string, first bool) *exposedAttempt {
	x.mu.Lock()
	defer x.mu.Unlock()
	a := &exposedAttempt{exposure: x, target: r.Version == x.permit.Version, bucket: roll.Bucket{Route: route, Zone: r.Zone}, coldUntil: r.ColdUntil}
	if first && x.permit.Mode == roll.Shared {
		x.balance = min(x.balance+x.permit.Share, maxExposureBalance)
	}
	if !a.target {
		x.othersRunning++
		return a
	}
	x.targetRunning++
	if x.permit.Mode == roll.Shared {
		x.balance--
	}
	return a
}

// answered records the reply to an attempt.
func (a *exposedAttempt) answered(now time.Time, elapsed time.Duration, reply *Reply) {
	if a == nil {
		return
	}
	x := a.exposure
	x.mu.Lock()
	defer x.mu.Unlock()
	a.end()
	switch {
	case reply.Misdirected:
	case reply.Kind == Served:
		a.addTime(now, elapsed)
	case reply.Kind == ServerError || reply.Kind == Ambiguous:
		a.tally().AddFailure()
	default:
	}
}

// abandoned records that nobody waits for an attempt any more. It would have taken longer.
func (a *exposedAttempt) abandoned(now time.Time, elapsed time.Duration) {
	if a == nil {
		return
	}
	x := a.exposure
	x.mu.Lock()
	defer x.mu.Unlock()
	a.end()
	a.addTime(now, elapsed)
}

// isOfTarget reports whether the attempt went to a new version.
func (a *exposedAttempt) isOfTarget() bool {
	return a != nil && a.target
}

func (a *exposedAttempt) end() {
	if a.target {
		a.exposure.targetRunning--
	} else {
		a.exposure.othersRunning--
	}
}

// tally returns what the attempt is counted in.
func (a *exposedAttempt) tally() *roll.Tally {
	counts := a.exposure.counts[a.bucket]
	if counts == nil {
		counts = &roll.Counts{}
		a.exposure.counts[a.bucket] = counts
	}
	if a.target {
		return &counts.Target
	}
	return &counts.Others
}

// addTime counts the time that the attempt took. Servers in cold start may be slow.
func (a *exposedAttempt) addTime(now time.Time, elapsed time.Duration) {
	if a.coldUntil.IsZero() || !now.Add(-elapsed).Before(a.coldUntil.Add(coldMargin)) {
		a.tally().AddTime(elapsed)
	}
}
