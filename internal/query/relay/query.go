package relay

import (
	"strconv"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

const (
	// resendPause is the time before a request goes once more to a server that
	// refused it, if there is no other.
	resendPause = 25 * time.Millisecond
	// maxSends bounds the attempts of a shard, refused ones included.
	maxSends = 6
)

// Query is one request under way. It is not safe for concurrent use.
type Query struct {
	env  *Env
	plan Plan
	// places holds the zones of backend servers that were looked at.
	places []place
	// goal is the time from which a partial answer is good enough.
	goal   time.Time
	shards []shard
	// parts counts the shards that have answered, lost those that can't.
	parts, lost int
	start       time.Time
	// hurried is set once the quorum has answered and the rest is overdue
	// sooner.
	hurried bool
	// least is the number of shards that a success needs.
	least   int
	outcome *Outcome
	// quiet is the longest time for which the servers of a shard want no requests.
	quiet time.Duration
	// crossed counts the attempts that left the zone of the VM, by reason.
	crossed [crossings]int
	// denied collects the attempts that the budget did not bear.
	denied []Denial
}

// New returns a query that arrived at now, and its first attempts.
func New(env *Env, plan Plan, now time.Time) (*Query, []Send) {
	q := &Query{env: env, plan: plan, least: 1, start: now}
	if plan.Route.IsSearch() {
		q.least = plan.Route.LeastShards()
		q.shards = make([]shard, len(plan.Route.Shards))
		for i, service := range plan.Route.Shards {
			q.shards[i].service = service
		}
	} else {
		q.shards = []shard{{service: plan.Service}}
	}
	if env.Options.Partial && plan.Route.IsSearch() && plan.Route.Goal > 0 {
		left := plan.Route.Goal - plan.Overhead - env.Options.GoalMargin
		q.goal = plan.Arrived.Add(max(left, plan.Route.Goal/2))
	}
	replicas := make([]*roster.Replica, len(q.shards))
	for i := range q.shards {
		s := &q.shards[i]
		s.faulty = -1
		env.Budget.Sent(s.service, 1)
		if replicas[i] = q.choose(now, s); replicas[i] == nil && !q.postpone(now, s, hedge.NotRun) {
			q.lose(s)
		}
	}
	q.decide(now)
	if q.outcome != nil {
		return q, nil
	}
	sends := make([]Send, 0, len(q.shards))
	for i, replica := range replicas {
		if replica != nil {
			sends = append(sends, q.send(now, i, replica, "first"))
		}
	}
	return q, sends
}

// Outcome returns the final answer once there is one.
func (q *Query) Outcome() (Outcome, bool) {
	if q.outcome == nil {
		return Outcome{}, false
	}
	return *q.outcome, true
}

// Parts returns the number of shards that have answered.
func (q *Query) Parts() int {
	return q.parts
}

// Next returns the time of the next Tick.
func (q *Query) Next() time.Time {
	next := q.plan.Deadline
	if !q.goal.IsZero() && q.parts >= q.least && q.goal.Before(next) {
		next = q.goal
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != shardOpen {
			continue
		}
		if !s.retryAt.IsZero() && s.retryAt.Before(next) {
			next = s.retryAt
		}
		for j := range s.attempts {
			a := &s.attempts[j]
			if a.open && !a.hedgeAt.IsZero() && a.hedgeAt.Before(next) {
				next = a.hedgeAt
			}
		}
	}
	return next
}

// Tick does what is due at now.
func (q *Query) Tick(now time.Time) []Send {
	var sends []Send
	if q.outcome != nil {
		return nil
	}
	q.decide(now)
	if q.outcome != nil {
		return nil
	}
	for i := range q.shards {
		sends = q.due(now, i, sends)
	}
	q.decide(now)
	return sends
}

// Answer takes the reply to an attempt. It returns further attempts, and
// whether the reply is the one that counts for its shard.
func (q *Query) Answer(now time.Time, shardIndex, attemptIndex int, reply Reply) (sends []Send, counts bool) {
	s := &q.shards[shardIndex]
	a := &s.attempts[attemptIndex]
	if !a.open {
		return nil, false
	}
	a.open = false
	q.learn(now, a, reply)
	switch reply.Kind {
	case NotRun:
		a.mayRun = false
	case Unsent, Unreachable:
		a.mayRun, a.reached = false, false
	default:
	}
	if q.outcome != nil || s.state != shardOpen {
		return nil, false
	}
	if reply.Kind == Served {
		s.state = shardServed
		q.parts++
		counts = true
		q.finishSingle(attemptIndex)
		q.hurry(now)
	} else {
		if reply.Kind == Faulty {
			s.faulty = attemptIndex
		}
		sends = q.retry(now, shardIndex, reply, nil)
	}
	q.decide(now)
	return sends, counts
}

// Waiting lists the attempts that had no reply yet, as "shard:server".
func (q *Query) Waiting() []string {
	var waiting []string
	for i := range q.shards {
		if q.shards[i].state == shardServed {
			continue
		}
		for j := range q.shards[i].attempts {
			if a := &q.shards[i].attempts[j]; a.open {
				waiting = append(waiting, strconv.Itoa(i)+":"+string(a.server))
			}
		}
	}
	return waiting
}

// Denied returns the attempts that the budget did not bear since the last call.
func (q *Query) Denied() []Denial {
	denied := q.denied
	q.denied = nil
	return denied
}

// spend asks the budget for one more attempt of a shard.
func (q *Query) spend(index int, reason hedge.Reason) bool {
	service := q.shards[index].service
	if q.env.Budget.Take(service, reason) {
		return true
	}
	q.denied = append(q.denied, Denial{Shard: index, Service: service, Reason: reason, Spending: q.env.Budget.Spending(service)})
	return false
}

// Stop ends the query without an answer.
func (q *Query) Stop() {
	if q.outcome == nil {
		q.outcome = &Outcome{Verdict: Failed, Reason: "stopped"}
	}
}

// Abandon notes that an attempt ended without an answer after the query was
// answered. cancelled is set if it was given up for being silent.
func (q *Query) Abandon(now time.Time, shardIndex, attemptIndex int, cancelled bool) {
	a := &q.shards[shardIndex].attempts[attemptIndex]
	if !a.open {
		return
	}
	a.open = false
	elapsed := now.Sub(a.sentAt)
	q.env.Choose.Abandoned(now, a.server, elapsed)
	if cancelled && elapsed >= q.silentAfter() {
		q.env.Health.Failed(a.server)
	}
}

// learn tells the policies about a reply.
func (q *Query) learn(now time.Time, a *attempt, reply Reply) {
	q.env.Choose.Answered(now, a.server, reply.Sample)
	switch reply.Kind {
	case Served:
		q.env.Latency.Observe(ident.ServiceID(q.plan.Route.Name), now.Sub(a.sentAt), reply.Sample.Queued, reply.Sample.Slots)
		q.env.Health.Heard(a.server)
	case Faulty, NotRun:
		q.env.Health.Heard(a.server)
		if reply.Misdirected {
			q.env.Health.Replaced(a.server)
		}
	case Unreachable:
		q.env.Health.Failed(a.server)
	default:
	}
}

// finishSingle answers a request that is no search with an attempt's answer.
func (q *Query) finishSingle(attemptIndex int) {
	if !q.plan.Route.IsSearch() {
		q.outcome = &Outcome{Verdict: Success, Attempt: attemptIndex, Reason: "answered"}
	}
}

// due sends what is due at now for one shard.
func (q *Query) due(now time.Time, index int, sends []Send) []Send {
	s := &q.shards[index]
	if s.state != shardOpen {
		return sends
	}
	if !s.retryAt.IsZero() && !now.Before(s.retryAt) {
		s.retryAt = time.Time{}
		return q.again(now, index, s.retryReason, sends)
	}
	for j := range s.attempts {
		a := &s.attempts[j]
		if !a.open || a.hedgeAt.IsZero() || now.Before(a.hedgeAt) {
			continue
		}
		a.hedgeAt = time.Time{}
		if q.mayRunMore(s) {
			if replica := q.choose(now, s); replica != nil && q.spend(index, hedge.Hedge) {
				sends = append(sends, q.send(now, index, replica, "hedge"))
			}
		}
	}
	return sends
}

// retry reacts to an attempt that brought no usable answer.
func (q *Query) retry(now time.Time, index int, reply Reply, sends []Send) []Send {
	s := &q.shards[index]
	switch reply.Kind {
	case Unsent, Unreachable, NotRun:
		return q.again(now, index, hedge.NotRun, sends)
	default:
		if !q.plan.Route.Idempotent {
			q.lose(s)
			return sends
		}
		return q.again(now, index, hedge.Failed, sends)
	}
}

// again sends one more attempt of a shard, plans one, or gives the shard up.
func (q *Query) again(now time.Time, index int, reason hedge.Reason, sends []Send) []Send {
	s := &q.shards[index]
	if !q.mayRunMore(s) || len(s.attempts) >= maxSends {
		return q.giveUp(s, sends)
	}
	replica := q.choose(now, s)
	if replica == nil {
		if q.postpone(now, s, reason) {
			return sends
		}
		if reason == hedge.NotRun && s.canResend() && q.quietFor(now, s) == 0 {
			s.retryAt, s.retryReason = now.Add(resendPause), reason
			s.forgetRefusals()
			return sends
		}
		return q.giveUp(s, sends)
	}
	if s.reached() && !q.spend(index, reason) {
		return q.giveUp(s, sends)
	}
	return append(sends, q.send(now, index, replica, "retry"))
}

// giveUp loses a shard unless one of its attempts may still be answered.
func (q *Query) giveUp(s *shard, sends []Send) []Send {
	for i := range s.attempts {
		if s.attempts[i].open {
			return sends
		}
	}
	if s.faulty >= 0 && !q.plan.Route.IsSearch() {
		q.outcome = &Outcome{Verdict: Success, Attempt: s.faulty, Reason: "backend server reports a failure"}
		return sends
	}
	q.lose(s)
	return sends
}

func (q *Query) lose(s *shard) {
	s.state = shardLost
	q.lost++
}

func (q *Query) send(now time.Time, index int, replica *roster.Replica, reason string) Send {
	s := &q.shards[index]
	a := attempt{server: replica.ID, sentAt: now, open: true, mayRun: true, reached: true}
	crosses := q.env.crosses(replica.Zone)
	a.carried = reason == "first" && q.place(replica.Zone).carries
	if q.plan.Route.Idempotent {
		a.hedgeAt = q.hedgeAt(now)
	}
	if a.carried && !a.hedgeAt.IsZero() {
		a.hedgeAt = a.hedgeAt.Add(carriedSlack)
	}
	s.attempts = append(s.attempts, a)
	if crosses {
		q.crossed[s.crossing]++
	}
	q.env.Choose.Sent(now, replica.ID)
	if now.Before(replica.ColdUntil) {
		q.env.Cold.Sent(now, replica.ID)
	}
	return Send{
		Shard: index, Attempt: len(s.attempts) - 1, Replica: replica, Crosses: crosses, Carried: a.carried, Overdue: a.hedgeAt.Sub(now),
		Left: q.plan.Deadline.Sub(now), Wait: len(s.attempts) > 1, Reason: reason,
	}
}

// mayRunMore reports whether one more backend server may run the shard.
func (q *Query) mayRunMore(s *shard) bool {
	running := 0
	for i := range s.attempts {
		if s.attempts[i].mayRun {
			running++
		}
	}
	return running < q.plan.Route.Attempts
}

// takes reports whether a server takes requests of this VM, as far as it is known.
func (q *Query) takes(now time.Time, r *roster.Replica) bool {
	switch {
	case q.env.Health.IsDown(r.ID), q.env.Notices.Get(now, r.Process()).BlocksRequests():
		return false
	default:
		return !now.Before(r.ColdUntil) || q.env.Cold.May(now, r)
	}
}

// choose returns the server for the next attempt of a shard: one that it has
// not tried, that is not down and, if possible, not cold. It returns nil if
// there is none.
func (q *Query) choose(now time.Time, s *shard) *roster.Replica {
	var room [4]choose.Candidate
	candidates := room[:0]
	var replicas [4]*roster.Replica
	list := replicas[:0]
	warm := 0
	for _, r := range q.env.Replicas().Replicas(s.service) {
		if !q.takes(now, r) || s.tried(now, r.ID) {
			continue
		}
		if !now.Before(r.ColdUntil) {
			list = append(list, r)
			list[warm], list[len(list)-1] = list[len(list)-1], list[warm]
			warm++
			continue
		}
		list = append(list, r)
	}
	if warm > 0 {
		list = list[:warm]
	}
	if len(list) == 0 {
		return nil
	}
	for _, r := range list {
		candidates = append(candidates, choose.Candidate{Server: r.ID})
	}
	q.prefer(s, list, candidates)
	return list[q.env.Choose.Choose(now, candidates)]
}
