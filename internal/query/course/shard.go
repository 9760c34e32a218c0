package course

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

const (
	// maxFailures is the number of sub-requests of one shard that may fail at
	// backend servers before the shard is given up.
	maxFailures = 8
	// ownerPoll is the time between two looks for the owner of a server.
	ownerPoll = 20 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which a server that refused
	// or failed is not asked again for the same shard. It doubles each time.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 80 * time.Millisecond
	// tokenPoll is the time between two tries to get a token for a retry.
	tokenPoll = 20 * time.Millisecond
	// overdueFactor is the multiple of the hedging delay after which an
	// unanswered sub-request is probably lost.
	overdueFactor = 3
)

// state is the progress of a shard.
type state uint8

const (
	statePending state = iota
	stateAnswered
	stateFailed
)

// shard is one shard of the pinned version.
type shard struct {
	number ident.Shard
	state  state
	// open is the number of attempts without an answer.
	open int
	sent int
	// failures counts the attempts that may have run without an answer.
	failures int
	trials   []trial
	// room holds the first trials.
	room    [2]trial
	retryAt time.Time
	// cause is the reason of the next retry.
	cause   hedge.Reason
	hedgeAt time.Time
	// overdue is set when the next hedge is for a sub-request that is
	// probably lost.
	overdue bool
	// retired is set when no server holds the shard in the pinned version.
	retired bool
}

// trial is what one server has done for a shard.
type trial struct {
	server       ident.ServerID
	blockedUntil time.Time
	backoff      time.Duration
	// gone is set when the server does not hold the pinned version any more.
	gone bool
	// redirected is set once an answer named another owner. During a handover
	// two VMs may name each other.
	redirected bool
}

// block keeps the server from being asked again for a while, which it returns.
func (t *trial) block(now time.Time, atLeast time.Duration) time.Duration {
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	wait := max(t.backoff, atLeast)
	t.blockedUntil = now.Add(wait)
	return wait
}

func (s *shard) trial(server ident.ServerID) *trial {
	for i := range s.trials {
		if s.trials[i].server == server {
			return &s.trials[i]
		}
	}
	if s.trials == nil {
		s.trials = s.room[:0]
	}
	s.trials = append(s.trials, trial{server: server})
	return &s.trials[len(s.trials)-1]
}

func (s *shard) tried(server ident.ServerID) bool {
	for i := range s.trials {
		if s.trials[i].server == server {
			return true
		}
	}
	return false
}

// target is a server that a sub-request can go to now.
type target struct {
	server ident.ServerID
	owner  view.Member
}

// room holds the targets and candidates of one choice at a time.
type room struct {
	fresh, again [4]target
	candidates   [4]choose.Candidate
}

// options lists the servers for a shard. wait is the earliest time at which
// another may become usable, or zero if none will.
type options struct {
	targets []target
	wait    time.Time
}

// optionsFor returns the usable servers of a shard other than those of the VM
// to avoid. Servers that were not tried yet go before all others.
func (q *Query) optionsFor(now time.Time, s *shard, avoid ident.VMID) options {
	fresh, again := options{targets: q.room.fresh[:0]}, options{targets: q.room.again[:0]}
	if int(s.number) >= len(q.plan.Replicas) {
		return fresh
	}
	for _, server := range q.plan.Replicas[s.number] {
		if s.tried(server.ID) {
			q.addOption(now, &again, server, s.trial(server.ID), avoid)
			continue
		}
		q.addOption(now, &fresh, server, &trial{}, avoid)
	}
	if len(fresh.targets) > 0 {
		return fresh
	}
	if !fresh.wait.IsZero() {
		again.noteWait(fresh.wait)
	}
	return again
}

func (q *Query) addOption(now time.Time, o *options, server *svcdoc.Server, t *trial, avoid ident.VMID) {
	if t.gone {
		return
	}
	if now.Before(t.blockedUntil) {
		o.noteWait(t.blockedUntil)
		return
	}
	owner, ok := q.deps.Fleet.Owner(server.ID)
	if !ok {
		o.noteWait(now.Add(ownerPoll))
		return
	}
	if owner.Process.VM != avoid {
		o.targets = append(o.targets, target{server: server.ID, owner: owner})
	}
}

func (o *options) noteWait(until time.Time) {
	if o.wait.IsZero() || until.Before(o.wait) {
		o.wait = until
	}
}

// dispatchAll sends the first sub-request of each shard.
func (q *Query) dispatchAll(now time.Time) {
	delay, hedged := q.deps.Hedge.Delay(q.spec.Service, 0)
	q.hedgeDelay = delay
	for i := range q.shards {
		s := &q.shards[i]
		if hedged && int(s.number) < len(q.plan.Replicas) && len(q.plan.Replicas[s.number]) > 1 {
			s.hedgeAt = now.Add(delay)
		}
		q.dispatch(now, i)
	}
	q.deps.Hedge.Sent(q.spec.Service, len(q.shards))
}

// dispatch sends a shard's sub-request to the best server, or notes when to
// try again, or gives the shard up.
func (q *Query) dispatch(now time.Time, index int) {
	s := &q.shards[index]
	s.retryAt = time.Time{}
	available := q.optionsFor(now, s, "")
	switch {
	case s.failures >= maxFailures:
		q.abandonShard(now, s)
	case len(available.targets) > 0 && s.sent > 0 && !q.deps.Hedge.Allow(q.spec.Service, s.cause):
		s.retryAt = now.Add(tokenPoll)
	case len(available.targets) > 0:
		q.send(now, index, q.pick(now, available.targets))
	case !available.wait.IsZero():
		s.retryAt = available.wait
	default:
		q.abandonShard(now, s)
	}
}

// abandonShard gives up a shard that has no attempt open and no server left.
func (q *Query) abandonShard(now time.Time, s *shard) {
	if s.open > 0 {
		return
	}
	if s.lostVersion() && q.restarts < maxRestarts {
		s.retired = true
		if q.refresh.until.IsZero() {
			q.startRefresh(now)
		}
		return
	}
	s.state = stateFailed
	if q.reason == "" {
		q.reason = "no server could answer for some shards"
	}
}

// lostVersion reports whether a server of the shard dropped the version.
func (s *shard) lostVersion() bool {
	for i := range s.trials {
		if s.trials[i].gone {
			return true
		}
	}
	return false
}

func (q *Query) pick(now time.Time, targets []target) target {
	if len(targets) == 1 {
		return targets[0]
	}
	candidates := q.room.candidates[:0]
	for i := range targets {
		candidates = append(candidates, choose.Candidate{Server: targets[i].server})
	}
	return targets[q.deps.Choose.Choose(now, candidates)]
}

func (q *Query) send(now time.Time, index int, to target) {
	s := &q.shards[index]
	s.trial(to.server)
	s.open++
	s.sent++
	seq := uint32(len(q.attempts))
	item := msgs.Item{Seq: seq, Server: string(to.server), Shard: uint32(s.number)}
	q.attempts = append(q.attempts, attempt{
		shard: index, server: to.server, number: s.number, owner: to.owner,
		message: q.out.query(to.owner, q.message(now), item), sentAt: now, open: true,
	})
	q.deps.Choose.Sent(now, to.server)
}

// retryDue dispatches the shards whose time to try again has come.
func (q *Query) retryDue(now time.Time) {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == statePending && !s.retryAt.IsZero() && !now.Before(s.retryAt) {
			q.dispatch(now, i)
		}
	}
}

// hedgeDue sends a second sub-request for shards that are overdue.
func (q *Query) hedgeDue(now time.Time) {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != statePending || s.hedgeAt.IsZero() || now.Before(s.hedgeAt) {
			continue
		}
		s.hedgeAt = time.Time{}
		if s.open == 1 {
			q.hedge(now, i)
		}
	}
}

func (q *Query) hedge(now time.Time, index int) {
	s := &q.shards[index]
	available := q.optionsFor(now, s, q.ownerOf(index))
	if len(available.targets) == 0 || s.failures >= maxFailures {
		return
	}
	reason := hedge.Hedge
	if s.overdue {
		reason = hedge.Overdue
	}
	if q.deps.Hedge.Allow(q.spec.Service, reason) {
		q.deps.Counter.Count("query_hedged")
		q.send(now, index, q.pick(now, available.targets))
		return
	}
	q.deps.Counter.Sample("query_hedge_denied", string(q.spec.Service), "the hedge budget is spent or queues are long")
	if !s.overdue {
		s.overdue = true
		s.hedgeAt = now.Add((overdueFactor - 1) * q.hedgeDelay)
	}
}

// ownerOf returns the VM that holds the open attempt of a shard.
func (q *Query) ownerOf(index int) ident.VMID {
	for i := range q.attempts {
		if q.attempts[i].open && q.attempts[i].shard == index {
			return q.attempts[i].owner.Process.VM
		}
	}
	return ""
}
