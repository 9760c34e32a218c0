package engine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/merge"
	"github.com/samphirestair/samphirestair/internal/query/snap"
)

const (
	// learnTimeDivisor limits the wait for index versions to the time left
	// until the deadline divided by it.
	learnTimeDivisor = 4
	// learnPollInterval is the time between two checks of the index versions
	// while waiting: answers to other requests report them too.
	learnPollInterval = 5 * time.Millisecond
	// maxRefreshWait limits the wait for new index versions after the pinned
	// one was retired.
	maxRefreshWait = 100 * time.Millisecond
	// maxRefreshes is the maximum number of refreshes of the index versions per
	// request. After each one the request may restart at another version.
	maxRefreshes = 3
	// shardsPerSpareAttempt is the number of shards for which capacity for one
	// additional attempt (a retry or hedge) is allocated.
	shardsPerSpareAttempt = 10
)

// versionRefresh is a round of probes to all servers, sent after the pinned
// index version was retired. During phaseLearning only until is used, as the
// time of the next poll.
type versionRefresh struct {
	until       time.Time
	outstanding int // probes without an answer
}

// learn sends the probes that are due. If enough index versions are known, it
// pins one and sends the first sub-requests; otherwise it sets the time of the
// next poll.
func (q *Query) learn(now time.Time) {
	// Other requests update the table concurrently. The plan must be read after
	// learnedEnough to include everything that the servers reported by then.
	enough := q.learnedEnough(now)
	plan := q.deps.Catalog.Pin()
	q.plan = plan
	if len(q.deps.Catalog.Servers()) == 0 {
		q.reason = "no backend server may receive work"
		q.finish(now)
		return
	}
	probes := q.sendProbes(now)
	if plan.Complete() || plan.Version != 0 && enough && probes == 0 {
		q.begin(now, plan)
		return
	}
	q.refresh.until = now.Add(learnPollInterval)
}

// sendProbes sends the probes that are due and returns their number.
func (q *Query) sendProbes(now time.Time) int {
	sent := 0
	for _, server := range q.deps.Catalog.DueProbes(now) {
		if q.probe(now, server) {
			sent++
		}
	}
	return sent
}

// learnedEnough reports whether the wait for index versions is over: its time
// limit has passed, or no server is awaited to report for the first time.
func (q *Query) learnedEnough(now time.Time) bool {
	return !now.Before(q.learnUntil) || !q.deps.Catalog.AwaitingFirstReport(now)
}

// probe asks the owner of a server for the index versions that the server
// holds. It returns false if the owner is not known.
func (q *Query) probe(now time.Time, server *svcdoc.Server) bool {
	owner, ok := q.deps.Fleet.Owner(server.ID)
	if ok {
		q.sendProbe(now, owner, attempt{server: server.ID, shardNumber: server.Shard})
	}
	return ok
}

// redirectProbe sends a probe that was answered with StatusWrongOwner to the
// owner named in the answer, at most once. It reports whether it did.
func (q *Query) redirectProbe(now time.Time, a attempt, answer *msgs.Answer) bool {
	if answer.Status != msgs.StatusWrongOwner || a.redirected {
		return false
	}
	owner, known := q.deps.Fleet.Member(ident.VMID(answer.Owner))
	if known {
		a.redirected = true
		q.sendProbe(now, owner, a)
	}
	return known
}

func (q *Query) sendProbe(now time.Time, owner view.Member, a attempt) {
	seq := uint32(len(q.attempts))
	item := msgs.Item{Seq: seq, Server: string(a.server), Shard: uint32(a.shardNumber)}
	a.shardIndex, a.owner, a.sentAt, a.inFlight = probeIndex, owner, now, true
	a.queryID = q.out.addItem(owner, probeTemplate(now, &q.spec), item)
	q.attempts = append(q.attempts, a)
}

// probeTemplate returns a query with version 0: owners answer it with the index
// versions of the servers, without running it.
func probeTemplate(now time.Time, spec *Spec) msgs.Query {
	return msgs.Query{
		Kind:         msgs.KindSearch,
		Class:        uint8(spec.Class),
		Service:      string(spec.Service),
		BudgetMicros: budgetMicros(now, spec.Deadline),
	}
}

// begin pins the plan, discards answers of an earlier plan and sends the first
// sub-requests.
func (q *Query) begin(now time.Time, plan *snap.Plan) {
	q.phase = phaseRunning
	q.plan = plan
	q.refresh = versionRefresh{}
	q.answered, q.body = 0, nil
	if q.spec.Kind == msgs.KindLookup {
		number := xxhash.Sum64String(q.spec.Route) % uint64(max(plan.Shards, 1))
		q.shards = []shard{{number: ident.Shard(number)}}
	} else {
		q.topK = merge.NewTopK(q.spec.Limit, plan.Shards)
		q.shards = make([]shard, plan.Shards)
		for number := range q.shards {
			q.shards[number].number = ident.Shard(number)
		}
	}
	q.attempts = slices.Grow(q.attempts, len(q.shards)+len(q.shards)/shardsPerSpareAttempt)
	q.dispatchAll(now)
}

// startRefresh probes all servers because the pinned version was retired.
func (q *Query) startRefresh(now time.Time) {
	q.deps.Counter.Count("query_version_retired")
	wait := min(q.spec.Deadline.Sub(now)/learnTimeDivisor, maxRefreshWait)
	q.refresh = versionRefresh{until: now.Add(wait)}
	for _, server := range q.deps.Catalog.Servers() {
		if q.probe(now, server) {
			q.refresh.outstanding++
		}
	}
}

// onProbeAnswered is called when a probe was answered or lost.
func (q *Query) onProbeAnswered(now time.Time) {
	if q.phase == phaseLearning {
		q.learn(now)
		return
	}
	if q.refresh.outstanding == 0 {
		return
	}
	q.refresh.outstanding--
	if q.refresh.outstanding == 0 {
		q.endRefresh(now)
	}
}

// onRefreshTimer ends a refresh whose wait is over.
func (q *Query) onRefreshTimer(now time.Time) {
	if !q.refresh.until.IsZero() && !now.Before(q.refresh.until) {
		q.endRefresh(now)
	}
}

// endRefresh restarts the request at another version if that one covers more,
// and otherwise fails the shards that no server holds in the pinned version.
func (q *Query) endRefresh(now time.Time) {
	q.refresh = versionRefresh{}
	q.refreshes++
	plan := q.deps.Catalog.Pin()
	if plan.Version != q.plan.Version && q.wouldCoverMore(plan) {
		q.deps.Counter.Count("query_restarted")
		q.cancelAllAttempts(now)
		q.begin(now, plan)
		return
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == statePending && s.retired {
			s.state = stateFailed
			q.reason = "index version retired"
		}
	}
}

// wouldCoverMore reports whether plan covers a greater fraction of its shards
// than the pinned plan can still reach.
func (q *Query) wouldCoverMore(plan *snap.Plan) bool {
	failed := 0
	for i := range q.shards {
		if s := &q.shards[i]; s.state == stateFailed || s.retired {
			failed++
		}
	}
	reachable := len(q.shards) - failed
	return plan.Covered*len(q.shards) > reachable*plan.Shards
}
