// Package view defines what the control thread of a VM publishes to traffic:
// one immutable picture of the configuration, the fleet and the owners.
package view

import (
	"sync/atomic"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
)

// Config is the configuration in force on this VM, parsed and joined.
type Config struct {
	Revision   ident.Revision
	Serial     uint64
	Services   map[ident.ServiceID]*svcdoc.Document
	ZonesOut   map[ident.Zone]ident.ChangeID
	VMsOut     map[ident.VMID]ident.ChangeID
	ServersOut map[ident.ServerID]ident.ChangeID
}

// ServerOut reports whether a backend server may not receive new work, because
// it or its zone has been taken out.
func (c *Config) ServerOut(s *svcdoc.Server) bool {
	if _, out := c.ZonesOut[s.Zone]; out {
		return true
	}
	_, out := c.ServersOut[s.ID]
	return out
}

// Member is one process of an entry VM as the fleet knows it.
type Member struct {
	Process ident.Process `json:"process"`
	Zone    ident.Zone    `json:"zone"`
	// Caller, Peer and Control are the "ip:port" addresses of the process.
	Caller  string `json:"caller"`
	Peer    string `json:"peer"`
	Control string `json:"control"`
	// Leaving is set while the process performs a planned stop.
	Leaving bool `json:"leaving"`
}

// Group is a set of backend servers of one service that have one owner. It
// never holds two replicas of a shard.
type Group struct {
	ID      ident.GroupID
	Service ident.ServiceID
	Zone    ident.Zone
	Servers []svcdoc.Server
}

// Holding is a group that this VM owns. The lease ends at Until on this
// process's monotonic clock unless it is renewed; a renewal publishes a later
// time in the same Holding.
type Holding struct {
	Group Group
	Term  uint64
	until atomic.Pointer[time.Time]
}

// Renew moves the end of the lease.
func (h *Holding) Renew(until time.Time) {
	h.until.Store(&until)
}

// Until returns the end of the lease.
func (h *Holding) Until() time.Time {
	if t := h.until.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Valid reports whether the lease still holds at now.
func (h *Holding) Valid(now time.Time) bool {
	return now.Before(h.Until())
}

// View is one immutable picture. Only Holding.Until changes after publication.
type View struct {
	Self   Member
	Config *Config
	Epoch  uint64
	// Members holds the processes believed alive, this one included.
	Members map[ident.VMID]Member
	// Groups holds all groups of the configuration.
	Groups map[ident.GroupID]Group
	// GroupOf maps each backend server to its group.
	GroupOf map[ident.ServerID]ident.GroupID
	// Owners maps a group to the VM believed to own it. A group without an
	// owner is absent.
	Owners map[ident.GroupID]ident.VMID
	// Holdings holds the groups that this VM owns.
	Holdings map[ident.GroupID]*Holding
	// Admitting is false while this VM takes no new work, because it is
	// isolated, leaving for good or not yet a member.
	Admitting bool
	// Refusal says why Admitting is false.
	Refusal string
}

// Owner returns the member that owns the given backend server.
func (v *View) Owner(server ident.ServerID) (Member, bool) {
	vm, ok := v.Owners[v.GroupOf[server]]
	if !ok {
		return Member{}, false
	}
	member, ok := v.Members[vm]
	return member, ok
}

// Publisher publishes views from the control thread to traffic. The zero value
// holds an empty view.
type Publisher struct {
	current atomic.Pointer[View]
}

// Publish replaces the view. Only the control thread calls it.
func (h *Publisher) Publish(v *View) {
	h.current.Store(v)
}

// Load returns the latest view, never nil.
func (h *Publisher) Load() *View {
	if v := h.current.Load(); v != nil {
		return v
	}
	return &View{Config: &Config{}, Refusal: "starting"}
}
