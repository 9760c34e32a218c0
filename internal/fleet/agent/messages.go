package agent

import (
	"context"
	"encoding/json"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/ctrl"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
)

// Names of the control methods that the agent calls and serves.
const (
	methodHeartbeat  = "fleet.beat"
	methodMembership = "fleet.view"
	methodChange     = "fleet.change"
	methodHandover   = "fleet.offer"
	methodHolder     = "fleet.holder"
)

// processName is a process that is encoded as the text "vm#incarnation".
type processName ident.Process

// MarshalText implements encoding.TextMarshaler.
func (p processName) MarshalText() ([]byte, error) {
	return []byte(ident.Process(p).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *processName) UnmarshalText(text []byte) error {
	parsed, err := member.ParseProcess(string(text))
	*p = processName(parsed)
	return err
}

// heartbeat is sent to voters and monitors. It holds the sender's membership
// epoch, its configuration revision, recent gossip entries and the lease requests for the
// receiver.
type heartbeat struct {
	From     processName          `json:"from"`
	Epoch    uint64               `json:"epoch"`
	Revision ident.Revision       `json:"rev"`
	Leases   []lease.Request      `json:"leases,omitempty"`
	Gossip   []member.GossipEntry `json:"rumors,omitempty"`
}

// heartbeatReply answers a heartbeat. Renewed replaces Leases if all requests were
// granted and the answers hold no further data, as is usual for renewals.
type heartbeatReply struct {
	From     processName          `json:"from"`
	Epoch    uint64               `json:"epoch"`
	Revision ident.Revision       `json:"rev"`
	Renewed  bool                 `json:"renewed,omitempty"`
	Leases   []lease.Answer       `json:"leases,omitempty"`
	Gossip   []member.GossipEntry `json:"rumors,omitempty"`
}

// compact replaces Leases by Renewed if each answer is a plain grant.
func (r *heartbeatReply) compact(requests []lease.Request) {
	for i, request := range requests {
		if r.Leases[i] != plainGrant(request) {
			return
		}
	}
	r.Renewed, r.Leases = len(requests) > 0, nil
}

// answers returns the answers to the requests, in their order. It reverses
// compact.
func (r *heartbeatReply) answers(requests []lease.Request) []lease.Answer {
	if !r.Renewed {
		return r.Leases
	}
	answers := make([]lease.Answer, len(requests))
	for i, request := range requests {
		answers[i] = plainGrant(request)
	}
	return answers
}

// plainGrant returns the answer that grants r and holds no further data.
func plainGrant(r lease.Request) lease.Answer {
	return lease.Answer{Group: r.Group, Epoch: r.Epoch, Term: r.Term}
}

// membershipReply holds the encoded membership value that a peer knows, and its
// revision in the key-value service.
type membershipReply struct {
	Revision ident.Revision `json:"rev"`
	Value    []byte         `json:"value"`
}

// changeRequest asks the registrar to write changes to the membership value.
type changeRequest struct {
	Changes []member.Change `json:"changes"`
}

// changeReply reports whether the receiver took over writing the changes.
type changeReply struct {
	Accepted bool `json:"accepted"`
}

// handoverRequest is sent twice to the successor in a handover: first to ask
// whether it is ready to own the group, then, with Released set, to report that
// the lease has been released.
type handoverRequest struct {
	Group    ident.GroupID `json:"group"`
	Released bool          `json:"released"`
}

// handoverReply reports whether the successor is ready to own the group.
type handoverReply struct {
	Ready bool `json:"ready"`
}

// holderRequest asks a voter which process it has promised a group's lease to.
type holderRequest struct {
	Group ident.GroupID `json:"group"`
}

// holderReply names the process that has the voter's promise, and the term of
// the promise. Both are zero if no process has it.
type holderReply struct {
	Holder ident.Process `json:"holder"`
	Term   uint64        `json:"term"`
}

// register registers the control handlers, which run on the control goroutine.
func (a *Agent) register() {
	handle(a, methodHeartbeat, a.handleHeartbeat)
	handle(a, methodMembership, a.handleMembership)
	handle(a, methodChange, a.handleChange)
	handle(a, methodHandover, a.handleHandover)
	handle(a, methodHolder, a.handleHolder)
	a.deps.Server.Register("fleet.state", func(context.Context, json.RawMessage) (any, error) {
		return a.State(), nil
	})
}

// handle registers a handler that runs h on the control goroutine.
func handle[P, R any](a *Agent, method string, h func(P) R) {
	ctrl.Handle(a.deps.Server, method, func(ctx context.Context, params P) (R, error) {
		var result R
		err := a.do(ctx, func() { result = h(params) })
		return result, err
	})
}
