// Package coord runs non-idempotent actions at most once. The coordinator of an action is
// the VM that holds the lease of the group to which the action's shard is assigned. It
// carries out the decisions of package claim: it replicates claims, dispatches actions to
// the owners of replicas, and returns their outcomes.
package coord

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/mesh"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/claim"
)

const (
	// coordinatorQueryBit is set in the ids of all queries that a coordinator sends, and
	// in no id of a query that a VM sends for its own callers.
	coordinatorQueryBit = 1 << 63
	// tickInterval is the interval of checks for overdue actions and new leases.
	tickInterval = 20 * time.Millisecond
	// expireInterval is the interval of checks for expired keys.
	expireInterval = 10 * time.Second
	// overdueGrace is how long after its deadline the outcome of an unanswered action
	// becomes unknown.
	overdueGrace = 50 * time.Millisecond
	// ownerPollInterval is the delay before an action without an owned replica is retried.
	ownerPollInterval = 20 * time.Millisecond
	// maxAttempts is the maximum number of replicas tried for one action.
	maxAttempts = 4
	// maxTimeLeft bounds the time until the deadline that a query may state.
	maxTimeLeft = time.Minute
	// outcomeTimeout bounds the replication of an outcome.
	outcomeTimeout = 5 * time.Second
	// drainPollInterval is the interval at which Drain checks for pending actions.
	drainPollInterval = 5 * time.Millisecond
)

// Replicator replicates records of claims to the voters of a group.
type Replicator interface {
	// Replicate returns nil once a majority of the group's voters have stored the record.
	// Voters that have seen a later term refuse it.
	Replicate(ctx context.Context, group ident.GroupID, term uint64, key string, record []byte) error
	// Claims returns the records by action key that the voters sent when they granted the
	// current lease.
	Claims(group ident.GroupID) map[string][]byte
	// ClaimsCompleteSince returns the time since which no record has been lost, or zero if none
	// was ever lost.
	ClaimsCompleteSince(group ident.GroupID) time.Time
}

// Deps holds the dependencies of a Coordinator.
type Deps struct {
	Self   ident.Process
	Views  *view.Publisher
	Mesh   mesh.Sender
	Claims Replicator
	// Next handles the queries that are not addressed to a coordinator.
	Next   mesh.QueryHandler
	Events *events.Recorder
}

// Options holds the settings of a Coordinator. The zero value selects the defaults.
type Options struct {
	Claims claim.Options
}

// Coordinator coordinates the actions of all groups whose lease this process holds. It is
// safe for concurrent use. Run must be active while it is used.
type Coordinator struct {
	deps    Deps
	skew    time.Duration
	workers conc.WaitGroup

	mu    sync.Mutex
	table *claim.Table
	// actions holds the actions without an outcome, and attempts the actions by the id of
	// their last query.
	actions     map[claim.Key]*action
	attempts    map[uint64]*action
	lastAttempt uint64
	changes     groupChanges
	outbox      []outgoing
}

// outgoing is a message that is sent once the mutex is released: an answer to waiter, or
// a query.
type outgoing struct {
	waiter claim.Waiter
	answer msgs.Answer
	// to and query are set instead when an action is dispatched.
	to    view.Member
	query msgs.Query
}

// New returns a coordinator without actions.
func New(deps Deps, opts Options) *Coordinator {
	skew := opts.Claims.MaxClockSkew
	if skew <= 0 {
		skew = claim.DefaultMaxClockSkew
	}
	return &Coordinator{
		deps: deps, skew: skew, table: claim.New(opts.Claims),
		actions: map[claim.Key]*action{}, attempts: map[uint64]*action{},
	}
}

// OwnsQuery reports whether the query with the given id was sent by a Coordinator, which
// has to receive the reply.
func OwnsQuery(id uint64) bool {
	return id&coordinatorQueryBit != 0
}

// Run loads the claims of new leases, retries actions and ends overdue ones until ctx is
// done. It then waits for running replications.
func (c *Coordinator) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	expired := time.Now()
	for {
		select {
		case <-ctx.Done():
			c.workers.Wait()
			return
		case now := <-ticker.C:
			c.tick(now)
			if now.Sub(expired) >= expireInterval {
				expired = now
				c.expire(now)
			}
		}
	}
}

// Drain waits until no action is pending. It fails if ctx is done first.
func (c *Coordinator) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for c.State().Pending > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "coord: %d actions are pending", c.State().Pending)
		case <-ticker.C:
		}
	}
	return nil
}

// State is the state of a Coordinator as shown to operators.
type State struct {
	// Known counts all actions, and Pending those without an outcome.
	Known   int `json:"known"`
	Pending int `json:"pending"`
}

// State returns the current state.
func (c *Coordinator) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, pending := c.table.Counts()
	return State{Known: known, Pending: pending}
}

// unlockAndSend releases the mutex and then sends the messages in the outbox.
func (c *Coordinator) unlockAndSend() {
	outbox := c.outbox
	c.outbox = nil
	c.mu.Unlock()
	for i := range outbox {
		c.send(&outbox[i])
	}
}

// send sends a message. An answer is dropped if the requesting process is no longer a
// member.
func (c *Coordinator) send(out *outgoing) {
	if len(out.query.Items) > 0 {
		c.deps.Mesh.SendQuery(out.to, out.query)
		return
	}
	to, ok := c.deps.Views.Load().Members[out.waiter.From.VM]
	if !ok || to.Process != out.waiter.From {
		c.deps.Events.Count("reply_without_receiver")
		return
	}
	out.answer.Seq = out.waiter.Seq
	c.deps.Mesh.SendReply(to, msgs.Reply{
		ID: out.waiter.Query, Incarnation: uint64(out.waiter.From.Incarnation),
		Answers: []msgs.Answer{out.answer},
	})
}

// answer queues an answer to each of the waiters. The mutex must be held.
func (c *Coordinator) answer(a msgs.Answer, waiters ...claim.Waiter) {
	for _, w := range waiters {
		c.outbox = append(c.outbox, outgoing{waiter: w, answer: a})
	}
}

func (c *Coordinator) expire(now time.Time) {
	c.mu.Lock()
	defer c.unlockAndSend()
	c.table.Expire(now)
}
