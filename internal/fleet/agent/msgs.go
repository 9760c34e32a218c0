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

// beat is a heartbeat. It carries the lease requests for the receiver.
type beat struct {
	From     ident.Process   `json:"from"`
	Life     uint64          `json:"life,omitempty"`
	Epoch    uint64          `json:"epoch"`
	Revision ident.Revision  `json:"rev"`
	Leases   []lease.Request `json:"leases,omitempty"`
	Rumors   []member.Rumor  `json:"rumors,omitempty"`
}

// beatReply answers a heartbeat.
type beatReply struct {
	From     ident.Process  `json:"from"`
	Epoch    uint64         `json:"epoch"`
	Revision ident.Revision `json:"rev"`
	Leases   []lease.Answer `json:"leases,omitempty"`
	Rumors   []member.Rumor `json:"rumors,omitempty"`
}

// viewReply is the membership value as a peer knows it.
type viewReply struct {
	Revision ident.Revision  `json:"rev"`
	Value    json.RawMessage `json:"value"`
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
