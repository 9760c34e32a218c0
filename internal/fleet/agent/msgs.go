package agent

import (
	"context"
	"encoding/json"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/ctrl"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
)

// Control methods of the agent.
const (
	methodBeat   = "fleet.beat"
	methodView   = "fleet.view"
	methodChange = "fleet.change"
	methodOffer  = "fleet.offer"
	methodHolder = "fleet.holder"
)

// processName is a process that is written as "vm#incarnation".
type processName ident.Process

// MarshalText returns the name.
func (p processName) MarshalText() ([]byte, error) {
	return []byte(ident.Process(p).String()), nil
}

// UnmarshalText parses the name.
func (p *processName) UnmarshalText(text []byte) error {
	parsed, err := member.ParseProcess(string(text))
	*p = processName(parsed)
	return err
}

// beat is a heartbeat. It carries the lease requests for the receiver.
type beat struct {
	From     processName          `json:"from"`
	Epoch    uint64               `json:"epoch"`
	Revision ident.Revision       `json:"rev"`
	Leases   []lease.Request      `json:"leases,omitempty"`
	Rumors   []member.GossipEntry `json:"rumors,omitempty"`
}

// beatReply answers a heartbeat. Renewed is set in place of the answers if all
// requests were renewals that were granted.
type beatReply struct {
	From     processName          `json:"from"`
	Epoch    uint64               `json:"epoch"`
	Revision ident.Revision       `json:"rev"`
	Renewed  bool                 `json:"renewed,omitempty"`
	Leases   []lease.Answer       `json:"leases,omitempty"`
	Rumors   []member.GossipEntry `json:"rumors,omitempty"`
}

// shorten replaces the answers by Renewed if they say nothing else.
func (r *beatReply) shorten(requests []lease.Request) {
	for i, request := range requests {
		if r.Leases[i] != plainGrant(request) {
			return
		}
	}
	r.Renewed, r.Leases = len(requests) > 0, nil
}

// answers returns the answers to the requests.
func (r *beatReply) answers(requests []lease.Request) []lease.Answer {
	if !r.Renewed {
		return r.Leases
	}
	answers := make([]lease.Answer, len(requests))
	for i, request := range requests {
		answers[i] = plainGrant(request)
	}
	return answers
}

// plainGrant is the usual answer to a renewal.
func plainGrant(r lease.Request) lease.Answer {
	return lease.Answer{Group: r.Group, Epoch: r.Epoch, Term: r.Term}
}

// viewReply is the membership value as a peer knows it.
type viewReply struct {
	Revision ident.Revision `json:"rev"`
	Value    []byte         `json:"value"`
}

// changeRequest asks the registrar to write changes.
type changeRequest struct {
	Changes []member.Change `json:"changes"`
}

// changeReply says whether the changes will be written.
type changeReply struct {
	Accepted bool `json:"accepted"`
}

// offer tells a successor of a handover: first to ask whether it is ready, then
// that the lease has been released.
type offer struct {
	Group    ident.GroupID `json:"group"`
	Released bool          `json:"released"`
}

// offerReply says whether the successor takes the group.
type offerReply struct {
	Ready bool `json:"ready"`
}

// holderRequest asks a voter who has its promise.
type holderRequest struct {
	Group ident.GroupID `json:"group"`
}

// holderReply names the process with the promise, if any.
type holderReply struct {
	Holder ident.Process `json:"holder"`
	Term   uint64        `json:"term"`
}

// register adds the control handlers. Each runs on the control goroutine.
func (a *Agent) register() {
	handle(a, methodBeat, a.handleBeat)
	handle(a, methodView, a.handleView)
	handle(a, methodChange, a.handleChange)
	handle(a, methodOffer, a.handleOffer)
	handle(a, methodHolder, a.handleHolder)
	a.deps.Server.Register("fleet.state", func(context.Context, json.RawMessage) (any, error) {
		return a.State(), nil
	})
}

func handle[P, R any](a *Agent, method string, h func(P) R) {
	ctrl.Handle(a.deps.Server, method, func(ctx context.Context, params P) (R, error) {
		var result R
		err := a.do(ctx, func() { result = h(params) })
		return result, err
	})
}
