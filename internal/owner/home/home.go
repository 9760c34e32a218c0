// Package home runs non-idempotent actions at most once. It drives the
// decisions of package claim: it replicates claims, dispatches actions to the
// owners of replicas, and returns their outcomes.
package home

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
	// queryBit is set in the ids of all queries that a home sends, and in none
	// that an entry sends.
	queryBit = 1 << 63
	// tickEvery is the time between looks at overdue actions.
	tickEvery = 20 * time.Millisecond
	// expireEvery is the time between looks for old keys.
	expireEvery = 10 * time.Second
	// overdueGrace is the time after the deadline after which an action
	// without an answer is unknown.
	overdueGrace = 50 * time.Millisecond
	// ownerPoll is the time between looks for the owner of a replica.
	ownerPoll = 20 * time.Millisecond
	// maxAttempts is the number of replicas tried for one action.
	maxAttempts = 4
	// maxBudget bounds the time left that a query may state.
	maxBudget = time.Minute
	// recordTimeout bounds the replication of an outcome.
	recordTimeout = 5 * time.Second
	// drainPoll is the time between looks at what is left to finish.
	drainPoll = 5 * time.Millisecond
)

// Replicator keeps claims at the voters of a group.
type Replicator interface {
	// Replicate returns nil once a majority of the group's voters keep the
	// record. Voters that know a later term refuse it.
	Replicate(ctx context.Context, group ident.GroupID, term uint64, key string, record []byte) error
	// Claims returns the records that came with the grants of the present
	// lease.
	Claims(group ident.GroupID) map[string][]byte
	// ClaimsSince returns the time from which on no record was lost, or zero
	// if none ever was.
	ClaimsSince(group ident.GroupID) time.Time
}

// Deps holds what a Home needs.
type Deps struct {
	Self   ident.Process
	Views  *view.Publisher
	Mesh   mesh.Sender
	Claims Replicator
	// Next handles the queries that are not for a home.
	Next   mesh.QueryHandler
	Events *events.Recorder
}

// Options holds the settings of a Home. The zero value is useful.
type Options struct {
	Claims claim.Options
}

// Home is the home of action keys. It is safe for concurrent use. Run must be
// running.
type Home struct {
	deps    Deps
	skew    time.Duration
	workers conc.WaitGroup

	mu       sync.Mutex
	table    *claim.Table
	actions  map[claim.Key]*action
	attempts map[uint64]*action
	lastID   uint64
	moves    homeMoves
	outbox   []outgoing
}

// outgoing is a message that is sent once the mutex is free.
type outgoing struct {
	waiter claim.Waiter
	answer msgs.Answer
	// to and query are set instead for a dispatch.
	to    view.Member
	query msgs.Query
}

// New returns a home that knows no keys yet.
func New(deps Deps, opts Options) *Home {
	skew := opts.Claims.Skew
	if skew <= 0 {
		skew = claim.DefaultSkew
	}
	return &Home{
		deps: deps, skew: skew, table: claim.New(opts.Claims),
		actions: map[claim.Key]*action{}, attempts: map[uint64]*action{},
	}
}

// Mine reports whether a reply to the query id is for a Home.
func Mine(id uint64) bool {
	return id&queryBit != 0
}

// Run follows the view and gives up overdue actions until ctx ends, then waits
// for replication to end.
func (h *Home) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	expired := time.Now()
	for {
		select {
		case <-ctx.Done():
			h.workers.Wait()
			return
		case now := <-ticker.C:
			h.tick(now)
			if now.Sub(expired) >= expireEvery {
				expired = now
				h.expire(now)
			}
		}
	}
}

// Drain waits until all actions have an outcome, or until ctx ends.
func (h *Home) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for h.State().Pending > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "home: %d actions left", h.State().Pending)
		case <-ticker.C:
		}
	}
	return nil
}

// State is the state of a home for operators.
type State struct {
	Known   int `json:"known"`
	Pending int `json:"pending"`
}

// State returns the number of known actions and of those without an outcome.
func (h *Home) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, pending := h.table.Len()
	return State{Known: known, Pending: pending}
}

// unlock frees the mutex and sends what was decided under it.
func (h *Home) unlock() {
	outbox := h.outbox
	h.outbox = nil
	h.mu.Unlock()
	for i := range outbox {
		h.send(&outbox[i])
	}
}

func (h *Home) send(out *outgoing) {
	if len(out.query.Items) > 0 {
		h.deps.Mesh.SendQuery(out.to, out.query)
		return
	}
	to, ok := h.deps.Views.Load().Members[out.waiter.From.VM]
	if !ok || to.Process != out.waiter.From {
		h.deps.Events.Count("reply_without_receiver")
		return
	}
	out.answer.Seq = out.waiter.Seq
	h.deps.Mesh.SendReply(to, msgs.Reply{
		ID: out.waiter.Query, Incarnation: uint64(out.waiter.From.Incarnation),
		Answers: []msgs.Answer{out.answer},
	})
}

// answer answers waiters.
func (h *Home) answer(a msgs.Answer, waiters ...claim.Waiter) {
	for _, w := range waiters {
		h.outbox = append(h.outbox, outgoing{waiter: w, answer: a})
	}
}

func (h *Home) expire(now time.Time) {
	h.mu.Lock()
	defer h.unlock()
	h.table.Expire(now)
}
