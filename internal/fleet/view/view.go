// Package view defines the immutable view of the configuration, the members and
// the owners of groups that the control goroutine of a VM publishes to the
// goroutines that handle requests.
package view

import (
	"sync/atomic"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
)

// Config is the parsed configuration in force on this VM. Serial is the number of
// its latest change. ZonesOut, VMsOut and ServersOut map what is out of service to
// the change that took it out.
type Config struct {
	Revision   ident.Revision
	Serial     uint64
	Services   map[ident.ServiceID]*svcdoc.Document
	ZonesOut   map[ident.Zone]ident.ChangeID
	VMsOut     map[ident.VMID]ident.ChangeID
	ServersOut map[ident.ServerID]ident.ChangeID
}

// ServerOut reports whether a backend server may not receive new work because it
// or its zone is out of service.
func (c *Config) ServerOut(s *svcdoc.Server) bool {
	if _, out := c.ZonesOut[s.Zone]; out {
		return true
	}
	_, out := c.ServersOut[s.ID]
	return out
}

// Member describes the process of one VM in the fleet.
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

// Group is a set of backend servers of one service and zone that have one owner. It
// never contains two replicas of a shard.
type Group struct {
	ID      ident.GroupID
	Service ident.ServiceID
	Zone    ident.Zone
	Servers []svcdoc.Server
}

// Holding is a group that this VM owns, with its lease. Term is the fencing token
// of the lease. The lease expires at Until on this process's monotonic clock; Renew
// changes that time in the same Holding. All methods are safe for concurrent use.
type Holding struct {
	Group Group
	Term  uint64
	until atomic.Pointer[time.Time]
}

// Renew sets the time at which the lease expires. The zero time ends it at once.
func (h *Holding) Renew(until time.Time) {
	h.until.Store(&until)
}

// Until returns the time at which the lease expires.
func (h *Holding) Until() time.Time {
	if t := h.until.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Valid reports whether the lease has not expired at now.
func (h *Holding) Valid(now time.Time) bool {
	return now.Before(h.Until())
}

// View is an immutable view of the fleet. Only Holding.Until changes after it has
// been published.
type View struct {
	Self   Member
	Config *Config
	Epoch  uint64
	// Members holds the members considered alive, this process included.
	Members map[ident.VMID]Member
	// Groups holds all groups of the configuration.
	Groups map[ident.GroupID]Group
	// GroupOf maps each backend server to its group.
	GroupOf map[ident.ServerID]ident.GroupID
	// Owners maps a group to the VM that owns it as far as this VM knows. Groups
	// without a known owner are absent.
	Owners map[ident.GroupID]ident.VMID
	// Holdings holds the groups that this VM owns.
	Holdings map[ident.GroupID]*Holding
	// Admitting is false while this VM accepts no new requests because it is
	// isolated, is leaving the fleet or is not a member yet.
	Admitting bool
	// Refusal is the reason why Admitting is false.
	Refusal string
}

// Owner returns the member that owns the given backend server, if it is known and
// alive.
func (v *View) Owner(server ident.ServerID) (Member, bool) {
	vm, ok := v.Owners[v.GroupOf[server]]
	if !ok {
		return Member{}, false
	}
	member, ok := v.Members[vm]
	return member, ok
}

// Publisher passes views from the control goroutine to the goroutines that handle
// requests. The zero value has an empty view.
type Publisher struct {
	current atomic.Pointer[View]
}

// Publish replaces the view. Only the control goroutine may call it.
func (p *Publisher) Publish(v *View) {
	p.current.Store(v)
}

// Load returns the latest view, never nil. It is safe for concurrent use.
func (p *Publisher) Load() *View {
	if v := p.current.Load(); v != nil {
		return v
	}
	return &View{Config: &Config{}, Refusal: "starting"}
}
