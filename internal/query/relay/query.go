package relay

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

const (
	// resendDelay is the delay before a sub-request is sent again to a server that
	// refused it, if there is no other server.
	resendDelay = 25 * time.Millisecond
	// maxAttempts bounds the attempts of a shard, including refused ones.
	maxAttempts = 6
)

// Query is the state of one request in flight. A request that is not a search is
// treated as one with a single shard. It is not safe for concurrent use.
type Query struct {
	env     *Env
	request RequestInfo
	// zones caches what was decided about the zones of backend servers.
	zones []zoneInfo
	// goal is the time from which a partial answer is accepted, or zero if none is.
	goal   time.Time
	shards []shard
	// answered and failed count the shards in these final states.
	answered, failed int
	start            time.Time
	// hedgesAdvanced is set once a quorum has answered and the hedges of the other
	// shards were brought forward.
	hedgesAdvanced bool
	// required is the number of shards that must answer for a success.
	required int
	outcome  *Outcome
	// backoff is the longest backoff that kept a shard from being sent in time. It
	// is the least RetryAfter of a refusal.
	backoff time.Duration
	// crossZone counts the attempts sent to other zones, by reason.
	crossZone [crossZoneReasonCount]int
	// denied collects what the budget denied since the last call of Denied.
	denied []Denial
	costs  costs
	probation
}

// New starts a query at now. It returns the query and the first attempts to send.
func New(env *Env, request RequestInfo, now time.Time) (*Query, []Send) {
	q := &Query{env: env, request: request, required: 1, start: now, costs: newCosts(env.Choose)}
	q.probationEnd = now.Add(q.usualDelay())
	q.hedgesFrom = now.Add(q.silentAfter())
	if request.Route.IsSearch() {
		q.required = request.Route.MinShards()
		q.shards = make([]shard, len(request.Route.Shards))
		for i, service := range request.Route.Shards {
			q.shards[i].service = service
		}
	} else {
		q.shards = []shard{{service: request.Service}}
	}
	whole := q.costs.request(&q.request)
	for i := range q.shards {
		q.shards[i].cost = whole.WithShard(q.shards[i].service)
	}
	if env.Options.Partial && request.Route.IsSearch() && request.Route.Goal > 0 {
		left := request.Route.Goal - request.Overhead - env.Options.GoalMargin
		q.goal = request.Arrived.Add(max(left, request.Route.Goal/2))
	}
	return q, q.begin(now)
}

// begin returns the first attempts. It takes nothing from the servers' rates if too few
// shards have a server that takes a request in time.
func (q *Query) begin(now time.Time) []Send {
	replicas := make([]*roster.Replica, len(q.shards))
	for i := range q.shards {
		s := &q.shards[i]
		s.serverErrorAttempt = -1
		if !q.request.Counted {
			q.env.Budget.Sent(s.service, 1)
		}
		if replicas[i] = q.preferred(now, s); replicas[i] == nil && q.nextInTime(now, s) == nil {
			q.failShard(s)
		}
	}
	q.decide(now)
	if q.outcome != nil {
		return nil
	}
	if q.postponesTrial(now) {
		q.outcome = q.refusal("a repeat is tried later, when more servers are up")
		return nil
	}
	if request := &q.request; request.Trial && request.Route.IsSearch() {
		return q.beginTrial(now)
	}
	sends := make([]Send, 0, len(q.shards))
	for i, replica := range replicas {
		s := &q.shards[i]
		if s.state != shardPending {
			continue
		}
		if replica != nil && !q.env.Pace.Take(now, replica) {
			replica = q.choose(now, s)
		}
		switch {
		case replica != nil:
			sends = append(sends, q.send(now, i, replica, "first"))
		case !q.postpone(now, s, hedge.NotRun):
			q.failShard(s)
		}
	}
	q.decide(now)
	return sends
}

// Outcome returns the final answer once there is one.
func (q *Query) Outcome() (Outcome, bool) {
	if q.outcome == nil {
		return Outcome{}, false
	}
	return *q.outcome, true
}

// AnsweredShards returns the number of shards that have answered.
func (q *Query) AnsweredShards() int {
	return q.answered
}

// Next returns the time at which Tick is to be called, unless HandleReply is called
// before and changes it.
func (q *Query) Next() time.Time {
	next := q.request.Deadline
	if !q.goal.IsZero() && q.answered >= q.required && q.goal.Before(next) {
		next = q.goal
	}
	if check := q.nextCheck(); !check.IsZero() && check.Before(next) {
		next = check
	}
	hedgesFrom, mayHedge := q.hedgesAllowedFrom()
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != shardPending {
			continue
		}
		if !s.retryAt.IsZero() && s.retryAt.Before(next) {
			next = s.retryAt
		}
		for j := range s.attempts {
			a := &s.attempts[j]
			if !mayHedge || !a.pending || a.hedgeAt.IsZero() {
				continue
			}
			if at := latest(a.hedgeAt, hedgesFrom); at.Before(next) {
				next = at
			}
		}
	}
	return next
}

// Tick decides the outcome if the goal or the deadline has passed, and returns the
// hedges and retries to send at now.
func (q *Query) Tick(now time.Time) []Send {
	var sends []Send
	if q.outcome != nil {
		return nil
	}
	q.decide(now)
	q.checkHarm(now)
	if q.outcome != nil {
		return nil
	}
	for i := range q.shards {
		sends = q.runTimers(now, i, sends)
	}
	sends = q.releaseHeld(now, sends)
	q.decide(now)
	return sends
}

// HandleReply processes the reply to an attempt. It returns the attempts to send, and
// whether the reply is the one used for its shard. A reply that arrives after the outcome
// is only recorded.
func (q *Query) HandleReply(now time.Time, shardIndex, attemptIndex int, reply Reply) (sends []Send, counts bool) {
	s := &q.shards[shardIndex]
	a := &s.attempts[attemptIndex]
	if !a.pending {
		return nil, false
	}
	a.pending = false
	a.exposed.answered(now, now.Sub(a.sentAt), &reply)
	if a.exposed.isOfTarget() {
		// The end of a server of an unproven version is not put down to the request.
		reply.Ended = false
	}
	q.updatePolicies(now, s, a, reply)
	switch reply.Kind {
	case NotRun:
		a.mayHaveRun = false
	case Unsent, Unreachable:
		a.mayHaveRun, a.maybeReceived = false, false
	default:
	}
	q.observe(reply)
	if q.outcome != nil || s.state != shardPending {
		return nil, false
	}
	if reply.Kind == Served {
		s.state = shardAnswered
		q.answered++
		counts = true
		q.finishUnlessSearch(attemptIndex)
		q.advanceHedges(now)
	} else {
		if reply.Kind == ServerError {
			s.serverErrorAttempt = attemptIndex
		}
		sends = q.handleFailure(now, shardIndex, reply, nil)
	}
	q.decide(now)
	q.checkHarm(now)
	sends = q.releaseHeld(now, sends)
	q.decide(now)
	return sends, counts
}

// Denied returns the hedges and retries that the budget denied since the last call.
func (q *Query) Denied() []Denial {
	denied := q.denied
	q.denied = nil
	return denied
}

// spend charges one more attempt of a shard, at a server that choose returned, to the
// budget. If the budget is exhausted, it records the denial, returns the request to the
// pacer and returns false.
func (q *Query) spend(now time.Time, index int, replica *roster.Replica, reason hedge.Reason) bool {
	service := q.shards[index].service
	if q.env.Budget.Allow(service, reason) {
		return true
	}
	q.env.Pace.Return(now, replica)
	q.denied = append(q.denied, Denial{Shard: index, Service: service, Reason: reason, BudgetState: q.env.Budget.BudgetState(service)})
	return false
}

// Stop ends the query without an answer, because the caller is gone.
func (q *Query) Stop() {
	if q.outcome == nil {
		q.outcome = &Outcome{Verdict: Failed, Reason: "stopped"}
	}
}

// Abandon records that an attempt ended without an answer after the query was
// answered. cancelled is set if this VM cancelled it because the server was silent.
func (q *Query) Abandon(now time.Time, shardIndex, attemptIndex int, cancelled bool) {
	s := &q.shards[shardIndex]
	a := &s.attempts[attemptIndex]
	if !a.pending {
		return
	}
	a.pending = false
	elapsed := now.Sub(a.sentAt)
	a.exposed.abandoned(now, elapsed)
	q.costs.abandoned(now, s, a)
	if cancelled && elapsed >= time.Duration(max(a.costFactor, 1)*float64(q.silentAfter())) {
		q.env.Health.Failed(a.server)
	}
}

// IsExposed reports whether an attempt went to a server of a version that is being rolled out.
func (q *Query) IsExposed(shardIndex, attemptIndex int) bool {
	return q.shards[shardIndex].attempts[attemptIndex].exposed.isOfTarget()
}

// updatePolicies passes a reply on to the choice of servers, the latency estimate
// and the health state.
func (q *Query) updatePolicies(now time.Time, s *shard, a *attempt, reply Reply) {
	q.costs.answered(now, s, a, reply.Sample)
	switch reply.Kind {
	case Served:
		q.env.Latency.Observe(ident.ServiceID(q.request.Route.Name), now.Sub(a.sentAt), reply.Sample.Queued, reply.Sample.Slots)
		q.env.Health.Responded(a.server)
	case ServerError, NotRun:
		q.env.Health.Responded(a.server)
		if reply.Misdirected {
			q.env.Health.Gone(a.server)
		}
	case Unreachable:
		q.env.Health.Failed(a.server)
	default:
		if reply.Gone {
			q.env.Health.Gone(a.server)
		}
	}
}

// finishUnlessSearch sets the outcome of a request that is not a search to the answer
// of an attempt.
func (q *Query) finishUnlessSearch(attemptIndex int) {
	if !q.request.Route.IsSearch() {
		q.outcome = &Outcome{Verdict: Success, Attempt: attemptIndex, Reason: "answered"}
	}
}

// runTimers appends to sends the retries and hedges of one shard whose time has come.
func (q *Query) runTimers(now time.Time, index int, sends []Send) []Send {
	s := &q.shards[index]
	if s.state != shardPending {
		return sends
	}
	if !s.retryAt.IsZero() && !now.Before(s.retryAt) {
		s.retryAt = time.Time{}
		return q.retry(now, index, s.retryReason, sends)
	}
	hedgesFrom, mayHedge := q.hedgesAllowedFrom()
	for j := range s.attempts {
		a := &s.attempts[j]
		if !mayHedge || !a.pending || a.hedgeAt.IsZero() || now.Before(latest(a.hedgeAt, hedgesFrom)) {
			continue
		}
		a.hedgeAt = time.Time{}
		if q.mayAddAttempt(s) {
			if replica := q.choose(now, s); replica != nil && q.spend(now, index, replica, hedge.Hedge) {
				sends = append(sends, q.send(now, index, replica, "hedge"))
			}
		}
	}
	return sends
}

// handleFailure retries a shard after an attempt without a usable answer. A request
// that is not idempotent is retried only if the attempt certainly did not run.
func (q *Query) handleFailure(now time.Time, index int, reply Reply, sends []Send) []Send {
	s := &q.shards[index]
	switch reply.Kind {
	case Unsent, Unreachable, NotRun:
		return q.retry(now, index, hedge.NotRun, sends)
	default:
		if !q.request.Route.Idempotent {
			q.failShard(s)
			return sends
		}
		return q.retry(now, index, hedge.Failed, sends)
	}
}

// retry sends one more attempt of a shard, schedules one, or holds it back. If it can do
// neither, the shard fails unless another attempt is pending.
func (q *Query) retry(now time.Time, index int, reason hedge.Reason, sends []Send) []Send {
	s := &q.shards[index]
	if q.holdsBack() {
		s.held, s.retryReason = true, reason
		return sends
	}
	return q.addAttempt(now, index, reason, sends)
}

// addAttempt is retry for a request that may go to more servers.
func (q *Query) addAttempt(now time.Time, index int, reason hedge.Reason, sends []Send) []Send {
	s := &q.shards[index]
	if !q.mayAddAttempt(s) || len(s.attempts) >= maxAttempts {
		return q.failIfNonePending(s, sends)
	}
	replica := q.takeReserved(now, s)
	if replica == nil {
		replica = q.choose(now, s)
	}
	if replica == nil {
		if q.postpone(now, s, reason) {
			return sends
		}
		if reason == hedge.NotRun && s.allRefused() && q.mayResend(now, s) {
			s.retryAt, s.retryReason = now.Add(resendDelay), reason
			s.forgetRefusals()
			return sends
		}
		return q.failIfNonePending(s, sends)
	}
	if s.maybeReceived() && !q.spend(now, index, replica, reason) {
		return q.failIfNonePending(s, sends)
	}
	return append(sends, q.send(now, index, replica, "retry"))
}

// failIfNonePending fails a shard unless one of its attempts may still be answered.
// For a request that is not a search, an error that a server answered is passed on
// instead.
func (q *Query) failIfNonePending(s *shard, sends []Send) []Send {
	for i := range s.attempts {
		if s.attempts[i].pending {
			return sends
		}
	}
	if s.serverErrorAttempt >= 0 && !q.request.Route.IsSearch() {
		q.outcome = &Outcome{Verdict: Success, Attempt: s.serverErrorAttempt, Reason: "backend server reports a failure"}
		return sends
	}
	q.failShard(s)
	return sends
}

func (q *Query) failShard(s *shard) {
	s.state = shardFailed
	q.failed++
}

// send records a new attempt of a shard and returns the instruction to send it.
func (q *Query) send(now time.Time, index int, replica *roster.Replica, reason string) Send {
	s := &q.shards[index]
	a := attempt{server: replica.ID, sentAt: now, pending: true, mayHaveRun: true, maybeReceived: true}
	isOtherZone := q.env.isOtherZone(replica.Zone)
	a.delegated = reason == "first" && (!q.request.Trial || q.answeredOnce) && q.zoneInfo(replica.Zone).canDelegate
	a.costFactor, a.shardFactor = q.costs.factors(now, s, replica)
	if q.request.Route.Idempotent {
		a.hedgeAt = q.hedgeAt(now, a.costFactor)
	}
	if a.delegated && !a.hedgeAt.IsZero() {
		a.hedgeAt = a.hedgeAt.Add(delegationSlack)
	}
	if x := q.env.Exposures.account(s.service); x != nil {
		a.exposed = x.sent(replica, q.request.Route.Name, reason == "first")
	}
	s.attempts = append(s.attempts, a)
	if isOtherZone {
		q.crossZone[s.crossZoneReason]++
	}
	q.costs.sent(now, s, replica)
	timeout := q.request.Deadline.Sub(now)
	hedgeAfter := timeout
	if !a.hedgeAt.IsZero() {
		hedgeAfter = a.hedgeAt.Sub(now)
	}
	return Send{
		Shard: index, Attempt: len(s.attempts) - 1, Replica: replica, CrossZone: isOtherZone, Delegated: a.delegated, HedgeAfter: hedgeAfter,
		Timeout: timeout, AwaitConnection: len(s.attempts) > 1, Reason: reason,
	}
}

// mayAddAttempt reports whether the route allows one more attempt of the shard besides
// those that may have run.
func (q *Query) mayAddAttempt(s *shard) bool {
	running := 0
	for i := range s.attempts {
		if s.attempts[i].mayHaveRun {
			running++
		}
	}
	return running < q.request.Route.Attempts
}
