package runner

import (
	"strconv"
	"time"

	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

const (
	// connectionShare is the part of a backend server's connections that the serving
	// VMs share. The rest is left to other clients and to connections that are being
	// replaced; a server with a long queue also accepts fewer than it announces.
	connectionShare = 0.8
	// maxConnections limits the connections of one VM to one backend server, whose own
	// limit may be far above what its slots need.
	maxConnections = 12
)

// interpret converts the result of an attempt to a reply for the query.
func (e *execution) interpret(now time.Time, r reply) relay.Reply {
	result := &r.result
	if r.mergedBlock != nil && r.mergedBlock.isInvalid(e.parts) {
		interpreted := relay.Reply{Kind: relay.Ambiguous, Reason: "merged block contains the part of another shard"}
		interpreted.Sample.Refused = true
		return interpreted
	}
	sample := choose.Sample{
		Queued: result.Running + result.Waiting, Slots: result.Slots, RetryAfter: result.RetryAfter, Slowdown: result.Slowdown,
		Age: max(now.Sub(r.sentAt)-r.elapsed(now), 0),
	}
	interpreted := relay.Reply{Reason: result.Reason, Misdirected: result.Misdirected, Gone: result.Gone, Ended: result.Ended}
	switch result.Outcome {
	case pool.Answered:
		interpreted.Kind, interpreted.Reason = e.classifyAnswer(r)
		sample.Completed = interpreted.Kind == relay.Served
		sample.ServiceTime = r.elapsed(now)
		sample.Refused = !sample.Completed
	case pool.NotRun:
		interpreted.Kind = relay.NotRun
		sample.Refused = true
	case pool.Unsent:
		interpreted.Kind = relay.Unsent
		sample.Refused = true
	case pool.Unreachable:
		interpreted.Kind = relay.Unreachable
		sample.Refused = true
	default:
		interpreted.Kind = relay.Ambiguous
		sample.Refused = true
	}
	interpreted.Sample = sample
	return interpreted
}

// classifyAnswer returns the kind of a complete answer, and the reason if it can't be
// used. A success without a signature doesn't come from the backend server itself, and
// for a search only a success is a part.
func (e *execution) classifyAnswer(r reply) (relay.ReplyKind, string) {
	status := r.result.Status
	success := r.result.IsSuccess()
	switch {
	case success && r.result.Signature == "":
		return relay.Ambiguous, "answer without signature"
	case success && e.request.Route.IsSearch() && e.parts.isOfOtherShard(r.shard, r.result.Signature):
		return relay.Ambiguous, "signature belongs to the part of another shard"
	case success:
		return relay.Served, ""
	case e.request.Route.IsSearch() || status >= 500:
		return relay.ServerError, "server answered with status " + strconv.Itoa(status)
	default:
		return relay.Served, ""
	}
}

// target returns how to reach a backend server with the current view.
func (r *Runner) target(replica *roster.Replica) pool.Target {
	return Target(r.deps.Views.View(), replica)
}

// Target returns how a VM that holds view reaches a backend server, and how many
// connections to it the VM may use.
func Target(view *roster.View, replica *roster.Replica) pool.Target {
	connections := 1
	if view.Table != nil {
		service := view.Table.Config().Services[replica.Service]
		connections = int(connectionShare * float64(service.Connections) / float64(view.ShareCount))
	}
	return pool.Target{
		ID: replica.ID, Address: replica.Address, Born: replica.Born,
		Connections: min(max(connections, 1), maxConnections),
	}
}
