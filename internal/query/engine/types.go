// Package engine implements requests as state machines. A Machine receives
// events and the current time, and returns the messages to send and finally one
// result. It has no sockets, goroutines or timers of its own and is not safe for
// concurrent use.
package engine

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

// Machine is the state machine of one request. Package entry carries out
// the Step that each method returns. After the step that holds the result, all
// further events are ignored.
type Machine interface {
	// Start is called once, before any other method.
	Start(now time.Time) Step
	// OnReply handles a reply of the VM from. The index versions that the reply
	// reports must be in the Catalog by then.
	OnReply(now time.Time, from ident.VMID, reply msgs.Reply) Step
	// OnLost handles a query that may not have reached the VM to. sent is
	// false if it certainly did not.
	OnLost(now time.Time, to ident.VMID, query msgs.Query, sent bool) Step
	// OnTimer is called at the time that NextTimer returned, or later.
	OnTimer(now time.Time) Step
	// Abort ends the request at once with the answers received so far. reason
	// becomes Result.Reason.
	Abort(now time.Time, reason string) Step
	// Size returns the size in bytes of the hits or the body that the request has so far. It
	// keeps nothing else of the answers that hold memory.
	Size() int
	// NextTimer returns when to call OnTimer next. It may change at each step
	// and is never after the deadline.
	NextTimer() time.Time
}

// Spec describes the request of a caller.
type Spec struct {
	// ID is unique within the incarnation of the process and less than 1<<43.
	// RequestID returns it for the ID of a query.
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
	// Limit is the maximum number of hits to return.
	Limit int
	// Deadline is the time by which the request ends, with or without answers.
	Deadline time.Time
}

// Catalog provides what is currently known of the service's servers.
type Catalog interface {
	// Pin returns the plan for the index version that a request should use.
	Pin() *snap.Plan
	// DueProbes returns the servers to probe for their index versions now.
	// Each is returned once per probe interval.
	DueProbes(now time.Time) []*svcdoc.Server
	// AwaitingFirstReport reports whether a server, not yet probed or probed
	// for the first time recently, has not reported its index versions.
	AwaitingFirstReport(now time.Time) bool
	// Servers returns all servers that have not been taken out.
	Servers() []*svcdoc.Server
	// Home returns the home of the actions of a route. ok is false if the
	// service has no server for it.
	Home(route string) (home Home, ok bool)
}

// Home says where the actions of a route are recorded and run. All VMs agree on
// Server, so that its owner can run each action at most once.
type Home struct {
	// Server is the server whose owner records the actions. It may have been
	// taken out, because the actions run at any of Replicas.
	Server ident.ServerID
	// DocumentShard is the shard of the route by the shard numbers of the
	// service document.
	DocumentShard ident.Shard
	// Version is the pinned index version, or 0 if none is known.
	Version ident.Version
	// VersionShard is the shard of the route in Version, and Replicas are the
	// servers that hold it in that version and have not been taken out.
	VersionShard ident.Shard
	Replicas     []*svcdoc.Server
}

// Fleet provides the current owners of servers and the current members.
type Fleet interface {
	// Owner returns false if the server has no owner.
	Owner(server ident.ServerID) (view.Member, bool)
	// Member returns false if the VM is not a member.
	Member(vm ident.VMID) (view.Member, bool)
}

// LatencyObserver receives the queue wait and the run time of each completed
// sub-request.
type LatencyObserver interface {
	Observe(now time.Time, service ident.ServiceID, class ident.Class, wait, run time.Duration)
}

// Counter counts events that are too frequent to be logged one by one.
type Counter interface {
	Count(kind string)
	// Sample counts an event and logs a sample of the events of its kind.
	Sample(kind, subject, reason string, attrs ...slog.Attr)
}

// Deps holds the dependencies of machines. All fields are required.
type Deps struct {
	Catalog Catalog
	Fleet   Fleet
	Choose  choose.Policy
	Hedge   hedge.Policy
	Latency LatencyObserver
	Counter Counter
}

// Outcome says what is known about the execution of a request.
type Outcome uint8

const (
	// OutcomeFull means that all shards answered.
	OutcomeFull Outcome = iota
	// OutcomePartial means that some shards did not answer.
	OutcomePartial
	// OutcomeDone means that the action ran.
	OutcomeDone
	// OutcomeNotRun means that no backend server ran any part of the request.
	OutcomeNotRun
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
)

// String returns the outcome as it appears in answers to callers.
func (o Outcome) String() string {
	return [...]string{"full", "partial", "done", "not run", "unknown"}[o]
}

// ReasonDeadline is the Result.Reason of requests that ended at the deadline.
const ReasonDeadline = "deadline"

// Result is the result of a request.
type Result struct {
	Outcome Outcome
	// Version is the index version that all of the answer comes from.
	Version ident.Version
	// AnsweredShards of TotalShards is the coverage. Both are 1 for a lookup or
	// action that was answered.
	AnsweredShards int
	TotalShards    int
	Hits           []msgs.Hit
	Body           []byte
	Reason         string
	// Overloaded is set if the request is incomplete and an owner refused part
	// of it because of a long queue.
	Overloaded bool
	// RetryAfter is set if the request did not run: the caller may repeat it
	// after this time.
	RetryAfter time.Duration
}

// Step holds the messages to send after an event, and the result when the
// request is over.
type Step struct {
	Sends   []Send
	Cancels []Cancel
	// Result is set once, when the request is over.
	Result *Result
}

// Send is a query to the owner of servers.
type Send struct {
	To    view.Member
	Query msgs.Query
}

// Cancel cancels sub-requests at an owner.
type Cancel struct {
	To     view.Member
	Cancel msgs.Cancel
}
