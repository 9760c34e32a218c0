// Package course executes one request as a state machine. A machine takes events
// and the time and returns messages and at most one result; it holds no
// socket, goroutine or timer and is not safe for concurrent use.
package course

import (
	"log/slog"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/snap"
)

// Machine is one request in execution. After a step that holds a result, all
// further events are ignored.
type Machine interface {
	Start(now time.Time) Step
	OnReply(now time.Time, from ident.VMID, reply msgs.Reply) Step
	// OnLost notes that a query may not have reached its receiver. sent is
	// false if it certainly did not.
	OnLost(now time.Time, to ident.VMID, query msgs.Query, sent bool) Step
	OnTimer(now time.Time) Step
	// Abort ends the request at once with what is known.
	Abort(now time.Time, reason string) Step
	// NextTimer returns when OnTimer has to be called next.
	NextTimer() time.Time
}

// Spec is what a caller asked for.
type Spec struct {
	// ID is unique within the incarnation of the entry and less than 1<<43.
	// RequestID finds it in the IDs of messages.
	ID      uint64
	Service ident.ServiceID
	Kind    msgs.Kind
	Class   ident.Class
	// Key is the key of a lookup or the idempotency key of an action.
	Key string
	// Route selects the shard of a lookup or action.
	Route  string
	Action string
	Body   []byte
	// Limit is the number of hits to return.
	Limit int
	// Deadline is the latest time of the result.
	Deadline time.Time
}

// Catalog tells what is known of the service's servers at present.
type Catalog interface {
	Pin() *snap.Plan
	// DueProbes returns the servers whose index versions have to be asked for.
	DueProbes(now time.Time) []*svcdoc.Server
	// AwaitingFirstReport reports whether a probed server has yet to answer for the first
	// time.
	AwaitingFirstReport(now time.Time) bool
	// Servers returns all servers that may receive work.
	Servers() []*svcdoc.Server
	// Home returns where actions of a route are recorded. ok is false if the
	// service has no servers.
	Home(route string) (home Home, ok bool)
}

// Home is the place of a route's actions.
type Home struct {
	// Server is the server whose owner records the actions. It may have been
	// taken out; the actions run at any of Replicas.
	Server ident.ServerID
	// DocumentShard is the shard of the route by the document's numbers.
	DocumentShard ident.Shard
	// Version is the pinned index version, or 0 if none is known.
	Version ident.Version
	// VersionShard is the shard of the route in Version, and Replicas are the
	// servers that hold it there and may receive work.
	VersionShard ident.Shard
	Replicas     []*svcdoc.Server
}

// Fleet tells who owns servers at present.
type Fleet interface {
	Owner(server ident.ServerID) (view.Member, bool)
	Member(vm ident.VMID) (view.Member, bool)
}

// LatencyObserver receives the queue wait and the run time of sub-requests.
type LatencyObserver interface {
	Observe(now time.Time, service ident.ServiceID, class ident.Class, wait, run time.Duration)
}

// Counter counts events that are too frequent to log each.
type Counter interface {
	Count(kind string)
	// Sample counts an event, and logs some of those that are alike.
	Sample(kind, subject, reason string, attrs ...slog.Attr)
}

// Deps is what machines depend on. All fields are required.
type Deps struct {
	Catalog Catalog
	Fleet   Fleet
	Choose  choose.Policy
	Hedge   hedge.Policy
	Latency LatencyObserver
	Counter Counter
}

// Outcome is the truth about a request.
type Outcome uint8

const (
	// OutcomeFull means that all shards answered.
	OutcomeFull Outcome = iota
	// OutcomePartial means that some shards are missing.
	OutcomePartial
	// OutcomeDone means that the action ran.
	OutcomeDone
	// OutcomeNotRun means that no backend server ran any part of the request.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// String returns the outcome as callers see it.
func (o Outcome) String() string {
	return [...]string{"full", "partial", "done", "not run", "unknown"}[o]
}

// ReasonDeadline is the reason of results that the deadline cut short.
const ReasonDeadline = "deadline"

// Result is the final answer to a request.
type Result struct {
	Outcome Outcome
	// Version is the index version that all of the answer comes from.
	Version ident.Version
	// AnsweredShards and TotalShards are the coverage in shards.
	AnsweredShards int
	TotalShards    int
	Hits           []msgs.Hit
	Body           []byte
	Reason         string
	// Overloaded is set if the request is not whole and owners with long
	// queues refused parts of it.
	Overloaded bool
	// RetryAfter is set if the request may be repeated after that time.
	RetryAfter time.Duration
}

// Step is what a machine wants done after an event.
type Step struct {
	Sends   []Send
	Cancels []Cancel
	// Result is set once, when the request is over.
	Result *Result
}

// Send is a query for the owner of servers.
type Send struct {
	To    view.Member
	Query msgs.Query
}

// Cancel withdraws sub-requests from an owner.
type Cancel struct {
	To     view.Member
	Cancel msgs.Cancel
}
