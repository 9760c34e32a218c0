package agent

import (
	"context"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// stateTimeout bounds the wait for the control goroutine.
const stateTimeout = 2 * time.Second

// State is a dump of an agent for operators.
type State struct {
	Self       view.Member                         `json:"self"`
	Epoch      uint64                              `json:"epoch"`
	Revision   ident.Revision                      `json:"config_revision"`
	Joined     bool                                `json:"joined"`
	Leaving    bool                                `json:"leaving"`
	Isolated   bool                                `json:"isolated"`
	StoreHeard time.Time                           `json:"store_heard"`
	Registrar  ident.VMID                          `json:"registrar"`
	Pending    int                                 `json:"pending_changes"`
	Members    []view.Member                       `json:"members"`
	Monitors   []ident.VMID                        `json:"monitors"`
	Rumors     []member.GossipEntry                `json:"rumors"`
	Gone       map[string]time.Time                `json:"gone"`
	Leases     map[ident.GroupID]LeaseState        `json:"leases"`
	Promises   map[ident.GroupID]lease.Promise     `json:"promises"`
	Owners     map[ident.GroupID]ident.VMID        `json:"owners"`
	Preferred  map[ident.GroupID]ident.VMID        `json:"preferred"`
	Voters     map[ident.GroupID]lease.VoterConfig `json:"voters"`
}

// LeaseState is one group that the process holds or asks for.
type LeaseState struct {
	Held      bool          `json:"held"`
	Term      uint64        `json:"term"`
	Remaining time.Duration `json:"remaining"`
	Since     time.Time     `json:"since"`
	Why       string        `json:"why"`
	Rival     ident.VMID    `json:"rival,omitempty"`
	// Carried is the number of voters that keep the latest carry.
	Carried     int       `json:"carried"`
	Claims      int       `json:"claims"`
	ClaimsSince time.Time `json:"claims_since,omitzero"`
}

// State returns a dump of the agent's state.
func (a *Agent) State() any {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	var s State
	if err := a.do(ctx, func() { s = a.state(time.Now()) }); err != nil {
		return map[string]string{"error": err.Error()}
	}
	return s
}

func (a *Agent) state(now time.Time) State {
	registrar, _ := a.registrar()
	s := State{
		Self:       a.self,
		Epoch:      a.value.Epoch,
		Revision:   a.config.Revision,
		Joined:     a.joined,
		Leaving:    a.leaving,
		Isolated:   a.isolated,
		StoreHeard: a.storeHeard,
		Registrar:  registrar.Process.VM,
		Pending:    len(a.batch.Pending()),
		Members:    a.roster.members,
		Rumors:     a.rumors.All(),
		Gone:       map[string]time.Time{},
		Leases:     map[ident.GroupID]LeaseState{},
		Promises:   a.voter.Promises(now),
		Owners:     a.owners(),
		Preferred:  a.roster.plan,
		Voters:     a.value.Groups,
	}
	for _, m := range a.roster.monitors {
		s.Monitors = append(s.Monitors, m.Process.VM)
	}
	for p, at := range a.gone {
		s.Gone[p.String()] = at
	}
	for group, t := range a.tenures {
		s.Leases[group] = t.state(now)
	}
	return s
}

func (t *tenure) state(now time.Time) LeaseState {
	return LeaseState{
		Held:        t.holding != nil,
		Term:        t.holder.Term(),
		Remaining:   max(0, t.holder.Until(now).Sub(now)),
		Since:       t.since,
		Why:         t.why,
		Rival:       t.holder.OtherHolder().Process.VM,
		Carried:     t.holder.HandoverCopies(),
		Claims:      len(t.holder.Claims()),
		ClaimsSince: t.holder.ClaimsCompleteSince(),
	}
}
