package agent

import (
	"context"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// stateTimeout bounds the time for which State waits for the control goroutine.
const stateTimeout = 2 * time.Second

// State describes an agent for operators.
type State struct {
	Self             view.Member                         `json:"self"`
	Epoch            uint64                              `json:"epoch"`
	ConfigRevision   ident.Revision                      `json:"config_revision"`
	Joined           bool                                `json:"joined"`
	Leaving          bool                                `json:"leaving"`
	Isolated         bool                                `json:"isolated"`
	LastStoreContact time.Time                           `json:"store_heard"`
	Registrar        ident.VMID                          `json:"registrar"`
	PendingChanges   int                                 `json:"pending_changes"`
	Members          []view.Member                       `json:"members"`
	Monitors         []ident.VMID                        `json:"monitors"`
	Gossip           []member.GossipEntry                `json:"rumors"`
	Ended            map[string]time.Time                `json:"gone"`
	Leases           map[ident.GroupID]LeaseState        `json:"leases"`
	Promises         map[ident.GroupID]lease.Promise     `json:"promises"`
	Owners           map[ident.GroupID]ident.VMID        `json:"owners"`
	PreferredOwners  map[ident.GroupID]ident.VMID        `json:"preferred"`
	Voters           map[ident.GroupID]lease.VoterConfig `json:"voters"`
}

// LeaseState describes a group whose lease the process holds or requests.
type LeaseState struct {
	Held        bool          `json:"held"`
	Term        uint64        `json:"term"`
	Remaining   time.Duration `json:"remaining"`
	HeldSince   time.Time     `json:"since"`
	Reason      string        `json:"why"`
	OtherHolder ident.VMID    `json:"rival,omitempty"`
	// StateCopies is the number of voters that store the latest exported
	// handover state.
	StateCopies         int       `json:"carried"`
	Claims              int       `json:"claims"`
	ClaimsCompleteSince time.Time `json:"claims_since,omitzero"`
}

// State returns the agent's State, or a map with the key "error" if the control
// goroutine doesn't answer within stateTimeout.
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
		Self:             a.self,
		Epoch:            a.membership.Epoch,
		ConfigRevision:   a.config.Revision,
		Joined:           a.joined,
		Leaving:          a.leaving,
		Isolated:         a.isolated,
		LastStoreContact: a.lastStoreContact,
		Registrar:        registrar.Process.VM,
		PendingChanges:   len(a.batch.Pending()),
		Members:          a.roster.members,
		Gossip:           a.gossip.All(),
		Ended:            map[string]time.Time{},
		Leases:           map[ident.GroupID]LeaseState{},
		Promises:         a.voter.Promises(now),
		Owners:           a.owners(),
		PreferredOwners:  a.roster.plan,
		Voters:           a.membership.Groups,
	}
	for _, m := range a.roster.monitors {
		s.Monitors = append(s.Monitors, m.Process.VM)
	}
	for p, at := range a.endedSince {
		s.Ended[p.String()] = at
	}
	for group, l := range a.leases {
		s.Leases[group] = l.state(now)
	}
	return s
}

func (l *groupLease) state(now time.Time) LeaseState {
	return LeaseState{
		Held:                l.holding != nil,
		Term:                l.holder.Term(),
		Remaining:           max(0, l.holder.Until(now).Sub(now)),
		HeldSince:           l.heldSince,
		Reason:              l.reason,
		OtherHolder:         l.holder.OtherHolder().Process.VM,
		StateCopies:         l.holder.HandoverCopies(),
		Claims:              len(l.holder.Claims()),
		ClaimsCompleteSince: l.holder.ClaimsCompleteSince(),
	}
}
