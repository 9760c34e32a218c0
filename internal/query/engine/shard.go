package engine

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
	// maxFailures is the number of failed attempts after which a shard gets no
	// further ones.
	maxFailures = 8
	// ownerPollInterval is the time between two checks for the owner of a
	// server.
	ownerPollInterval = 20 * time.Millisecond
	// minBackoff and maxBackoff limit the backoff after a server refused or
	// failed a sub-request of a shard. It doubles each time.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 80 * time.Millisecond
	// retryTokenPollInterval is the time after which a retry that the budget
	// denied is tried again.
	retryTokenPollInterval = 20 * time.Millisecond
	// overdueHedgeFactor is the multiple of the hedging delay after which an
	// unanswered sub-request is probably lost.
	overdueHedgeFactor = 3
)

// shardState is the progress of a shard.
type shardState uint8

const (
	statePending shardState = iota
	stateAnswered
	stateFailed
)

// shard is the progress of the request in one shard of the pinned version.
type shard struct {
	number ident.Shard
	state  shardState
	// inFlight is the number of attempts without an answer.
	inFlight int
	// attempts is the number of attempts sent, including hedges.
	attempts int
	// failures counts the attempts that failed and may have run.
	failures int
	servers  []serverState
	// serverBuffer is the initial storage of servers, to save an allocation.
	serverBuffer [2]serverState
	retryAt      time.Time
	// retryReason is why the next retry is needed.
	retryReason hedge.Reason
	hedgeAt     time.Time
	// overdue is set when the first hedge was denied. The next one is sent as
	// hedge.Overdue, because the sub-request is probably lost by then.
	overdue bool
	// retired is set when no server is left for the shard and at least one of
	// them dropped the pinned version.
	retired bool
}

// serverState is what is known of a server that was tried for a shard.
type serverState struct {
	server       ident.ServerID
	blockedUntil time.Time
	backoff      time.Duration
	// versionDropped is set when the server no longer holds the pinned
	// version.
	versionDropped bool
	// redirected is set once a sub-request was redirected to the owner named
	// in an answer. It is done once only, because two VMs may name each other
	// during a handover.
	redirected bool
}

// backOff doubles the backoff, blocks the server for at least atLeast and returns
// the time for which it is blocked.
func (t *serverState) backOff(now time.Time, atLeast time.Duration) time.Duration {
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	wait := max(t.backoff, atLeast)
	t.blockedUntil = now.Add(wait)
	return wait
}

// stateOf returns the state of a server, which it adds if the server was not
// tried yet.
func (s *shard) stateOf(server ident.ServerID) *serverState {
	for i := range s.servers {
		if s.servers[i].server == server {
			return &s.servers[i]
		}
	}
	if s.servers == nil {
		s.servers = s.serverBuffer[:0]
	}
	s.servers = append(s.servers, serverState{server: server})
	return &s.servers[len(s.servers)-1]
}

func (s *shard) tried(server ident.ServerID) bool {
	for i := range s.servers {
		if s.servers[i].server == server {
			return true
		}
	}
	return false
}

// target is a server that may receive a sub-request now, and its owner.
type target struct {
	server ident.ServerID
	owner  view.Member
}

// choiceBuffers is reused storage for the targets and candidates of one choice,
// to save allocations.
type choiceBuffers struct {
	untried, tried [4]target
	candidates     [4]choose.Candidate
}

// serverOptions lists the servers that are usable for a shard now. nextUsableAt
// is the earliest time at which another may become usable, or zero if none will.
type serverOptions struct {
	targets      []target
	nextUsableAt time.Time
}

// usableServers returns the usable servers of a shard, without those owned by the
// VM avoid. Servers that were already tried are returned only if no untried one
// is usable.
func (q *Query) usableServers(now time.Time, s *shard, avoid ident.VMID) serverOptions {
	untried, tried := serverOptions{targets: q.buffers.untried[:0]}, serverOptions{targets: q.buffers.tried[:0]}
	if int(s.number) >= len(q.plan.Replicas) {
		return untried
	}
	for _, server := range q.plan.Replicas[s.number] {
		if s.tried(server.ID) {
			q.addUsable(now, &tried, server, s.stateOf(server.ID), avoid)
			continue
		}
		q.addUsable(now, &untried, server, &serverState{}, avoid)
	}
	if len(untried.targets) > 0 {
		return untried
	}
	if !untried.nextUsableAt.IsZero() {
		tried.noteUsableAt(untried.nextUsableAt)
	}
	return tried
}

// addUsable adds the server to o if it is usable now, and otherwise notes when it
// may become usable.
func (q *Query) addUsable(now time.Time, o *serverOptions, server *svcdoc.Server, t *serverState, avoid ident.VMID) {
	if t.versionDropped {
		return
	}
	if now.Before(t.blockedUntil) {
		o.noteUsableAt(t.blockedUntil)
		return
	}
	owner, ok := q.deps.Fleet.Owner(server.ID)
	if !ok {
		o.noteUsableAt(now.Add(ownerPollInterval))
		return
	}
	if owner.Process.VM != avoid {
		o.targets = append(o.targets, target{server: server.ID, owner: owner})
	}
}

func (o *serverOptions) noteUsableAt(t time.Time) {
	if o.nextUsableAt.IsZero() || t.Before(o.nextUsableAt) {
		o.nextUsableAt = t
	}
}

// dispatchAll sends the first sub-request of each shard and sets the hedging
// timer of shards with more than one replica.
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

// dispatch sends a sub-request for the shard to a server that the policy chooses.
// If no server or retry token is available now, it sets the time of the next
// try. It abandons the shard if no server will become usable or too many attempts
// failed.
func (q *Query) dispatch(now time.Time, index int) {
	s := &q.shards[index]
	s.retryAt = time.Time{}
	available := q.usableServers(now, s, "")
	switch {
	case s.failures >= maxFailures:
		q.abandonShard(now, s)
	case len(available.targets) > 0 && s.attempts > 0 && !q.deps.Hedge.Allow(q.spec.Service, s.retryReason):
		s.retryAt = now.Add(retryTokenPollInterval)
	case len(available.targets) > 0:
		q.send(now, index, q.chooseTarget(now, available.targets))
	case !available.nextUsableAt.IsZero():
		s.retryAt = available.nextUsableAt
	default:
		q.abandonShard(now, s)
	}
}

// abandonShard fails a shard that has no attempt in flight and no server left. If
// a server dropped the pinned version, it first starts a refresh of the index
// versions, after which the request may restart.
func (q *Query) abandonShard(now time.Time, s *shard) {
	if s.inFlight > 0 {
		return
	}
	if s.droppedByServer() && q.refreshes < maxRefreshes {
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

// droppedByServer reports whether a server no longer holds the shard in the
// pinned version.
func (s *shard) droppedByServer() bool {
	for i := range s.servers {
		if s.servers[i].versionDropped {
			return true
		}
	}
	return false
}

func (q *Query) chooseTarget(now time.Time, targets []target) target {
	if len(targets) == 1 {
		return targets[0]
	}
	candidates := q.buffers.candidates[:0]
	for i := range targets {
		candidates = append(candidates, choose.Candidate{Server: targets[i].server})
	}
	return targets[q.deps.Choose.Choose(now, candidates)]
}

func (q *Query) send(now time.Time, index int, to target) {
	s := &q.shards[index]
	s.stateOf(to.server)
	s.inFlight++
	s.attempts++
	seq := uint32(len(q.attempts))
	item := msgs.Item{Seq: seq, Server: string(to.server), Shard: uint32(s.number)}
	q.attempts = append(q.attempts, attempt{
		shardIndex: index, server: to.server, shardNumber: s.number, owner: to.owner,
		queryID: q.out.addItem(to.owner, q.queryTemplate(now), item), sentAt: now, inFlight: true,
	})
	q.deps.Choose.Sent(now, to.server)
}

// retryDueShards dispatches the shards whose retry time has come.
func (q *Query) retryDueShards(now time.Time) {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == statePending && !s.retryAt.IsZero() && !now.Before(s.retryAt) {
			q.dispatch(now, i)
		}
	}
}

// hedgeDueShards hedges the shards whose hedging delay has passed and that have
// one attempt in flight.
func (q *Query) hedgeDueShards(now time.Time) {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != statePending || s.hedgeAt.IsZero() || now.Before(s.hedgeAt) {
			continue
		}
		s.hedgeAt = time.Time{}
		if s.inFlight == 1 {
			q.hedge(now, i)
		}
	}
}

// hedge sends a second sub-request to a server of another VM if the budget allows
// it. If the first hedge of a shard is denied, one more is tried later.
func (q *Query) hedge(now time.Time, index int) {
	s := &q.shards[index]
	available := q.usableServers(now, s, q.attemptOwner(index))
	if len(available.targets) == 0 || s.failures >= maxFailures {
		return
	}
	reason := hedge.Hedge
	if s.overdue {
		reason = hedge.Overdue
	}
	if q.deps.Hedge.Allow(q.spec.Service, reason) {
		q.deps.Counter.Count("query_hedged")
		q.send(now, index, q.chooseTarget(now, available.targets))
		return
	}
	q.deps.Counter.Sample("query_hedge_denied", string(q.spec.Service), "the hedge budget is exhausted or queues are long")
	if !s.overdue {
		s.overdue = true
		s.hedgeAt = now.Add((overdueHedgeFactor - 1) * q.hedgeDelay)
	}
}

// attemptOwner returns the VM of the first attempt in flight for a shard, or an
// empty ID.
func (q *Query) attemptOwner(index int) ident.VMID {
	for i := range q.attempts {
		if q.attempts[i].inFlight && q.attempts[i].shardIndex == index {
			return q.attempts[i].owner.Process.VM
		}
	}
	return ""
}
