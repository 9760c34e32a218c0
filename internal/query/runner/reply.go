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
	// connectionPart is the part of a backend server's connections that the VMs
	// that serve use. The rest is left to others and to connections that are
	// being replaced; a server with a long queue accepts fewer than it tells.
	connectionPart = 0.8
	// mostConnections bounds the connections of one VM to one backend server, whose
	// own bound may be far above what its slots need.
	mostConnections = 12
)

// interpret turns the result of an attempt into what it means for the query.
func (f *flight) interpret(now time.Time, r reply) relay.Reply {
	result := &r.result
	if r.block != nil && r.block.isSpoiled(f.parts) {
		meaning := relay.Reply{Kind: relay.Broken, Reason: "merged with the part of another shard"}
		meaning.Sample.Refused = true
		return meaning
	}
	sample := choose.Sample{Queued: result.Running + result.Waiting, Slots: result.Slots, RetryAfter: result.RetryAfter}
	meaning := relay.Reply{Reason: result.Reason, Misdirected: result.Misdirected}
	switch result.Fate {
	case pool.Answered:
		meaning.Kind, meaning.Reason = f.judge(r)
		sample.Completed = meaning.Kind == relay.Served
		sample.Service = r.elapsed(now)
		sample.Refused = !sample.Completed
	case pool.NotRun:
		meaning.Kind = relay.NotRun
		sample.Refused = true
	case pool.Unsent:
		meaning.Kind = relay.Unsent
		sample.Refused = true
	case pool.Unreachable:
		meaning.Kind = relay.Unreachable
		sample.Refused = true
	default:
		meaning.Kind = relay.Broken
		sample.Refused = true
	}
	meaning.Sample = sample
	return meaning
}

// judge says whether a whole answer is of use. Without a signature it is not
// the backend server's own, and for a search only a success is a part.
func (f *flight) judge(r reply) (relay.ReplyKind, string) {
	status := r.result.Status
	success := r.result.IsSuccess()
	switch {
	case success && r.result.Signature == "":
		return relay.Broken, "answer without signature"
	case success && f.request.Route.IsSearch() && f.parts.isForeign(r.shard, r.result.Signature):
		return relay.Broken, "signature of another part"
	case success:
		return relay.Served, ""
	case f.request.Route.IsSearch() || status >= 500:
		return relay.Faulty, "server answered with status " + strconv.Itoa(status)
	default:
		return relay.Served, ""
	}
}

// target says how a backend server is reached, and how many connections this
// VM may use.
func (r *Runner) target(replica *roster.Replica) pool.Target {
	return Target(r.deps.Beliefs.View(), replica)
}

// Target says how a backend server is reached by a VM that holds view.
func Target(view *roster.View, replica *roster.Replica) pool.Target {
	connections := 1
	if view.Table != nil {
		service := view.Table.Config().Services[replica.Service]
		connections = int(connectionPart * float64(service.Connections) / float64(view.ShareCount))
	}
	return pool.Target{
		ID: replica.ID, Address: replica.Address, Born: replica.Born,
		Connections: min(max(connections, 1), mostConnections),
	}
}
