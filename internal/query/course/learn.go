package course

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
	// learnShare is the part of the time left that a request waits for the
	// index versions of servers that have not told any.
	learnShare = 4
	// learnPoll is the time between two looks at the index versions, which
	// other requests learn too.
	learnPoll = 5 * time.Millisecond
	// refreshAtMost is the time that a request waits for the index versions
	// after its own was retired.
	refreshAtMost = 100 * time.Millisecond
	// maxRestarts is the number of times that a request starts again at
	// another index version.
	maxRestarts = 3
	// spareAttempts is the number of shards per additional attempt to make
	// room for.
	spareAttempts = 10
)

// refresh is the question to all servers for their index versions after the
// pinned one was retired.
type refresh struct {
	until       time.Time
	outstanding int
}

// learn starts the run if the index versions are known, and otherwise asks for
// them.
func (q *Query) learn(now time.Time) {
	// Other requests learn concurrently: only a plan that is read afterwards
	// holds what all servers told.
	enough := q.knowsEnough(now)
	plan := q.deps.Catalog.Pin()
	q.plan = plan
	if len(q.deps.Catalog.Servers()) == 0 {
		q.reason = "no backend server may receive work"
		q.finish(now)
		return
	}
	asked := q.sendProbes(now)
	if plan.Complete() || plan.Version != 0 && enough && asked == 0 {
		q.begin(now, plan)
		return
	}
	q.refresh.until = now.Add(learnPoll)
}

// sendProbes asks for the index versions that are due and returns the number
// of servers asked.
func (q *Query) sendProbes(now time.Time) int {
	asked := 0
	for _, server := range q.deps.Catalog.DueProbes(now) {
		if q.probe(now, server) {
			asked++
		}
	}
	return asked
}

func (q *Query) knowsEnough(now time.Time) bool {
	return !now.Before(q.learnUntil) || !q.deps.Catalog.AwaitingFirstReport(now)
}

// probe asks the owner of a server for the index versions that it holds.
func (q *Query) probe(now time.Time, server *svcdoc.Server) bool {
	owner, ok := q.deps.Fleet.Owner(server.ID)
	if ok {
		q.sendProbe(now, owner, attempt{server: server.ID, number: server.Shard})
	}
	return ok
}

// redirectProbe asks the owner that an answer names, once, and reports whether
// it did.
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
	item := msgs.Item{Seq: seq, Server: string(a.server), Shard: uint32(a.number)}
	a.shard, a.owner, a.sentAt, a.open = probeShard, owner, now, true
	a.message = q.out.query(owner, probeMessage(now, &q.spec), item)
	q.attempts = append(q.attempts, a)
}

// probeMessage returns a query that owners answer with the index versions of
// the servers, without running it.
func probeMessage(now time.Time, spec *Spec) msgs.Query {
	return msgs.Query{
		Kind:         msgs.KindSearch,
		Class:        uint8(spec.Class),
		Service:      string(spec.Service),
		BudgetMicros: budgetMicros(now, spec.Deadline),
	}
}

// begin pins the plan and sends the first sub-requests.
func (q *Query) begin(now time.Time, plan *snap.Plan) {
	q.phase = phaseRunning
	q.plan = plan
	q.refresh = refresh{}
	q.answered, q.body = 0, nil
	if q.spec.Kind == msgs.KindLookup {
		number := xxhash.Sum64String(q.spec.Route) % uint64(max(plan.Shards, 1))
		q.shards = []shard{{number: ident.Shard(number)}}
	} else {
		q.top = merge.New(q.spec.Limit, plan.Shards)
		q.shards = make([]shard, plan.Shards)
		for number := range q.shards {
			q.shards[number].number = ident.Shard(number)
		}
	}
	q.attempts = slices.Grow(q.attempts, len(q.shards)+len(q.shards)/spareAttempts)
	q.dispatchAll(now)
}

// startRefresh asks all servers for their index versions.
func (q *Query) startRefresh(now time.Time) {
	q.deps.Counter.Count("query_version_retired")
	wait := min(q.spec.Deadline.Sub(now)/learnShare, refreshAtMost)
	q.refresh = refresh{until: now.Add(wait)}
	for _, server := range q.deps.Catalog.Servers() {
		if q.probe(now, server) {
			q.refresh.outstanding++
		}
	}
}

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

func (q *Query) onRefreshTimer(now time.Time) {
	if !q.refresh.until.IsZero() && !now.Before(q.refresh.until) {
		q.endRefresh(now)
	}
}

// endRefresh starts again at another version if that promises more coverage,
// and otherwise gives up the shards that the pinned version has lost.
func (q *Query) endRefresh(now time.Time) {
	q.refresh = refresh{}
	q.restarts++
	plan := q.deps.Catalog.Pin()
	if plan.Version != q.plan.Version && q.promisesMore(plan) {
		q.deps.Counter.Count("query_restarted")
		q.closeAll(now)
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

// promisesMore reports whether a plan can serve a greater share of its shards
// than the pinned one still can.
func (q *Query) promisesMore(plan *snap.Plan) bool {
	lost := 0
	for i := range q.shards {
		if s := &q.shards[i]; s.state == stateFailed || s.retired {
			lost++
		}
	}
	possible := len(q.shards) - lost
	return plan.Covered*len(q.shards) > possible*plan.Shards
}
