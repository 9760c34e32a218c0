package sender

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/queue"
)

// callKey identifies a query among those of all processes.
type callKey struct {
	from ident.Process
	id   uint64
}

// call is one query and the answers that have not been sent back yet.
type call struct {
	sender *Sender
	key    callKey
	query  msgs.Query
	jobs   []job

	mu    sync.Mutex
	left  int
	ready []msgs.Answer
	armed bool
}

// job is one sub-request of a call.
type job struct {
	call   *call
	seq    uint32
	server ident.ServerID
	shard  ident.Shard
	added  time.Time
	host   atomic.Pointer[host]

	// The fields below are guarded by the host's mutex.
	item     queue.Item
	id       string
	answered bool
	// workUntil is the time at which the server must have ended the work.
	workUntil time.Time
	sentAt    time.Time
	// run is the server's run that the job was sent to.
	run uint64
	// frozen is set if the server was not heard between sending the job and
	// giving it up.
	frozen bool
}

func newCall(s *Sender, from ident.Process, q msgs.Query, now time.Time) *call {
	c := &call{
		sender: s, key: callKey{from: from, id: q.ID}, query: q,
		jobs: make([]job, len(q.Items)), left: len(q.Items),
	}
	deadline := now.Add(min(time.Duration(q.BudgetMicros)*time.Microsecond, maxBudget))
	for i := range c.jobs {
		j := &c.jobs[i]
		j.call, j.seq, j.added = c, q.Items[i].Seq, now
		j.server, j.shard = ident.ServerID(q.Items[i].Server), ident.Shard(q.Items[i].Shard)
		j.item = queue.Item{Class: ident.Class(q.Class), Deadline: deadline, Payload: j}
	}
	return c
}

// isProbe reports whether the job only asks which index versions the server
// holds.
func (j *job) isProbe() bool {
	return j.call.query.Kind == msgs.KindSearch && j.call.query.Version == 0
}

// answer sends the answer of the job back. It must be called once per job.
func (j *job) answer(a msgs.Answer) {
	a.Seq, a.Server, a.Shard = j.seq, string(j.server), uint32(j.shard)
	j.call.add(a)
}

// add collects an answer. The answers are sent once the query is complete, or
// shortly after the first of them.
func (c *call) add(a msgs.Answer) {
	c.sender.pending.Add(-1)
	c.mu.Lock()
	c.ready = append(c.ready, a)
	c.left--
	last := c.left == 0
	arm := !last && !c.armed
	c.armed = c.armed || arm
	c.mu.Unlock()
	if last {
		c.sender.calls.remove(c.key)
		c.flush()
	}
	if arm {
		time.AfterFunc(c.sender.opts.FlushDelay, c.flush)
	}
}

// flush sends the collected answers.
func (c *call) flush() {
	c.mu.Lock()
	answers := c.ready
	c.ready, c.armed = nil, false
	c.mu.Unlock()
	if len(answers) == 0 {
		return
	}
	s := c.sender
	to, ok := s.deps.Views.Load().Members[c.key.from.VM]
	if !ok || to.Process != c.key.from {
		s.deps.Events.Count("reply_without_receiver")
		return
	}
	s.deps.Mesh.SendReply(to, msgs.Reply{
		ID: c.key.id, Incarnation: uint64(c.key.from.Incarnation), Answers: answers,
	})
}

// callTable holds the calls that are not complete. It is safe for concurrent
// use.
type callTable struct {
	mu    sync.Mutex
	calls map[callKey]*call
}

// add adds a call and reports whether its key was free.
func (t *callTable) add(c *call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, taken := t.calls[c.key]; taken {
		return false
	}
	t.calls[c.key] = c
	return true
}

func (t *callTable) get(key callKey) *call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[key]
}

func (t *callTable) remove(key callKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, key)
}
