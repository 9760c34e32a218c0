package sender

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/queue"
)

// queryKey identifies a query among those of all processes.
type queryKey struct {
	from ident.Process
	id   uint64
}

// query is a query that is not fully answered, with the answers that have not
// been sent back yet.
type query struct {
	sender *Sender
	key    queryKey
	msg    msgs.Query
	jobs   []job

	// mu guards the fields below. remaining is the number of jobs without an
	// answer.
	mu             sync.Mutex
	remaining      int
	buffered       []msgs.Answer
	flushScheduled bool
}

// job is one sub-request of a query.
type job struct {
	query      *query
	seq        uint32
	server     ident.ServerID
	shard      ident.Shard
	receivedAt time.Time
	endpoint   atomic.Pointer[endpoint]

	// The fields below are guarded by the endpoint's mutex.
	item queue.Item
	// id is the id of the request to the server.
	id       string
	answered bool
	// workDeadline is the time by which the server must have ended the request.
	workDeadline time.Time
	sentAt       time.Time
	// generation is that of the server process that the job was sent to.
	generation uint64
	// maybeUnread is set if the server gave no response between the sending of
	// the job and its timeout. The server may then be frozen and read the
	// request later.
	maybeUnread bool
}

func newQuery(s *Sender, from ident.Process, m msgs.Query, now time.Time) *query {
	q := &query{
		sender: s, key: queryKey{from: from, id: m.ID}, msg: m,
		jobs: make([]job, len(m.Items)), remaining: len(m.Items),
	}
	deadline := now.Add(min(time.Duration(m.BudgetMicros)*time.Microsecond, maxBudget))
	for i := range q.jobs {
		j := &q.jobs[i]
		j.query, j.seq, j.receivedAt = q, m.Items[i].Seq, now
		j.server, j.shard = ident.ServerID(m.Items[i].Server), ident.Shard(m.Items[i].Shard)
		j.item = queue.Item{Class: ident.Class(m.Class), Deadline: deadline, Payload: j}
	}
	return q
}

// isVersionProbe reports whether the job only asks which index versions the
// server holds.
func (j *job) isVersionProbe() bool {
	return j.query.msg.Kind == msgs.KindSearch && j.query.msg.Version == 0
}

// answer passes on the answer of the job. It must be called once per job.
func (j *job) answer(a msgs.Answer) {
	a.Seq, a.Server, a.Shard = j.seq, string(j.server), uint32(j.shard)
	j.query.add(a)
}

// add buffers an answer. The buffered answers are sent together once the query is
// complete, or Options.FlushDelay after the first of them.
func (q *query) add(a msgs.Answer) {
	q.mu.Lock()
	q.buffered = append(q.buffered, a)
	q.remaining--
	last := q.remaining == 0
	schedule := !last && !q.flushScheduled
	q.flushScheduled = q.flushScheduled || schedule
	q.mu.Unlock()
	if last {
		q.sender.queries.remove(q.key)
		q.flush()
	}
	if schedule {
		time.AfterFunc(q.sender.opts.FlushDelay, q.flush)
	}
}

// flush sends the buffered answers, and only then counts them as answered. They are
// dropped if the process that sent the query is no longer a member.
func (q *query) flush() {
	q.mu.Lock()
	answers := q.buffered
	q.buffered, q.flushScheduled = nil, false
	q.mu.Unlock()
	if len(answers) == 0 {
		return
	}
	s := q.sender
	defer s.unanswered.Add(-int64(len(answers)))
	to, ok := s.deps.Views.Load().Members[q.key.from.VM]
	if !ok || to.Process != q.key.from {
		s.deps.Events.Count("reply_without_receiver")
		msgs.Release(answers)
		return
	}
	s.deps.Mesh.SendReply(to, msgs.Reply{
		ID: q.key.id, Incarnation: uint64(q.key.from.Incarnation), Answers: answers,
	})
}

// queryTable holds the queries that are not fully answered. It is safe for
// concurrent use.
type queryTable struct {
	mu      sync.Mutex
	queries map[queryKey]*query
}

// add adds a query. It returns false if its key is already present.
func (t *queryTable) add(q *query) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, taken := t.queries[q.key]; taken {
		return false
	}
	t.queries[q.key] = q
	return true
}

func (t *queryTable) get(key queryKey) *query {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queries[key]
}

func (t *queryTable) remove(key queryKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.queries, key)
}
