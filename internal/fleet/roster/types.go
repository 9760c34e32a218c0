// Package roster keeps a VM's view of the backend servers, zones, other VMs and the
// configuration, which it reads from the platform's store. State holds the data, Follower
// keeps it up to date, and Registrar maintains the VM's own registration. Type reading says what each
// source of the view proves.
package roster

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roll"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
)

// Kind classifies a key of the store.
type Kind uint8

// Kinds of keys.
const (
	KindOther Kind = iota
	KindConfig
	// KindZoneOut keys mark a zone whose backend servers get no requests.
	KindZoneOut
	KindServer
	// KindRollout keys hold the orders of operators to shift a service to a version.
	KindRollout
)

// Decoder reads keys and values that other software wrote to the store. Values that can't
// be decoded give an error.
type Decoder interface {
	// ParseKey returns the kind of a key, and the name of the zone, backend server or service
	// in it.
	ParseKey(key string) (kind Kind, name string)
	Server(id string, value []byte) (Server, error)
	Config(value []byte) (*routes.Config, error)
	// Rollout returns the order for a service. Its position is not set.
	Rollout(service string, value []byte) (roll.Order, error)
}

// Server is the registration of a backend server.
type Server struct {
	ID      ident.ServerID
	Service ident.ServiceID
	Address string
	Zone    ident.Zone
	// Version is the version of the server's software.
	Version string
	Slots   int
	// Draining servers get no new requests.
	Draining bool
	// ColdFor is how long after the registration the server counts as cold.
	ColdFor time.Duration
	// Sequence grows with each registration that one process writes.
	Sequence int64
	// Born is the start time of the process in Unix milliseconds, or 0 if the
	// registration lacks it.
	Born int64
}

// SameProcess reports whether both registrations come from the same process.
func (s *Server) SameProcess(other *Server) bool {
	return s.ID == other.ID && s.Born == other.Born && s.Address == other.Address && s.Service == other.Service
}

// Replica is a backend server as the VM knows it.
type Replica struct {
	Server
	// ColdUntil is when the server stops counting as cold.
	ColdUntil time.Time
}

// Process returns the identity of the backend server's process.
func (r *Replica) Process() notice.Process {
	return notice.Process{ID: r.ID, Born: r.Born}
}

// Member is the registration of a VM.
type Member struct {
	VM   ident.VMID `json:"vm"`
	Zone ident.Zone `json:"zone"`
	// CallerAddress is the address for callers.
	CallerAddress string `json:"caller"`
	// PeerAddress is the address for datagrams of other VMs.
	PeerAddress string `json:"peer"`
	// BootID is a random number that is chosen at the start of the process.
	BootID uint64 `json:"boot"`
	// Cores is the processor time that the VM may use, in cores.
	Cores float64 `json:"cores"`
	// Serving members appear in the address lists for callers. Others stand by.
	Serving bool `json:"serving"`
	// Leaving members accept no new callers.
	Leaving bool `json:"leaving"`
	// Partitioned members can't reach the backend servers. While others can, callers are sent
	// there, and others are selected to serve.
	Partitioned bool `json:"partitioned,omitempty"`
}

// View is a VM's knowledge at one moment. It is immutable and safe for concurrent use.
type View struct {
	// Table is nil until a configuration is known.
	Table *routes.Table
	// Members are the VMs that are not leaving, in ascending order of their ids.
	Members []Member
	// Leaving are the VMs that are leaving, in no particular order.
	Leaving []Member
	// Lapsed are the VMs that served until their registration lapsed a short time ago, in no
	// particular order. They may still run, out of touch with the store.
	Lapsed []Member
	// ServingCount is the number of members that serve callers.
	ServingCount int
	// ShareCount is the number of VMs among which the fleet-wide limits on connections
	// and budgets are divided. It never falls below the target number of serving VMs: VMs
	// that leave, or that this VM doesn't know of, may still use their shares.
	ShareCount int
	// ZonesOut are the zones that are out of service.
	ZonesOut coll.Set[ident.Zone]
	// Rollouts are the roll-outs that are ordered. It must not be changed.
	Rollouts map[ident.ServiceID]roll.Rollout

	replicas map[ident.ServiceID][]*Replica
	servers  map[ident.ServerID]*Replica
	// withdrawn holds the processes of backend servers that may get no more requests, by id.
	withdrawn map[ident.ServerID]int64
	// serving holds the members that serve callers and reach the backend servers, by zone, and
	// usableCount is their number. While all are partitioned, all count.
	serving     map[ident.Zone][]Member
	usableCount int

	targetOnce sync.Once
	target     coll.Set[ident.VMID]
}

// Replicas returns the backend servers of a service that may get requests, in ascending
// order of their ids. The slice must not be changed.
func (v *View) Replicas(service ident.ServiceID) []*Replica {
	return v.replicas[service]
}

// Replica returns the backend server, or nil if it may get no requests.
func (v *View) Replica(id ident.ServerID) *Replica {
	return v.servers[id]
}

// IsWithdrawn reports whether this VM knows that a process of a backend server may get no more
// requests: it drains, its zone is out of service, or its registration was removed a short time
// ago. It is false for processes that this VM does not know.
func (v *View) IsWithdrawn(id ident.ServerID, born int64) bool {
	withdrawn, ok := v.withdrawn[id]
	return ok && withdrawn == born
}

// ServingIn returns the members of a zone that serve callers and reach the backend servers.
// The slice must not be changed.
func (v *View) ServingIn(zone ident.Zone) []Member {
	return v.serving[zone]
}

// ServerIDs returns the ids of the backend servers that may get requests, in no
// particular order.
func (v *View) ServerIDs() iter.Seq[ident.ServerID] {
	return maps.Keys(v.servers)
}

// AllReplicas returns the backend servers that may get requests, in no particular order.
func (v *View) AllReplicas() iter.Seq2[ident.ServerID, *Replica] {
	return maps.All(v.servers)
}

// NewView returns a view of the given parts, without the replicas that drain or are in a
// zone that is out of service.
func NewView(table *routes.Table, replicas []*Replica, members []Member, zonesOut coll.Set[ident.Zone]) *View {
	v := &View{
		Table:    table,
		Members:  members,
		ZonesOut: zonesOut,
		replicas: map[ident.ServiceID][]*Replica{},
		servers:  make(map[ident.ServerID]*Replica, len(replicas)),
		serving:  map[ident.Zone][]Member{},

		withdrawn: map[ident.ServerID]int64{},
	}
	var servingMembers []Member
	for _, m := range members {
		if m.Serving {
			servingMembers = append(servingMembers, m)
		}
	}
	v.ServingCount = len(servingMembers)
	for _, m := range withoutPartitioned(servingMembers) {
		v.usableCount++
		v.serving[m.Zone] = append(v.serving[m.Zone], m)
	}
	v.ShareCount = max(TargetServingCount(table), v.ServingCount)
	for _, r := range replicas {
		if r.Draining || zonesOut.Has(r.Zone) {
			v.withdrawn[r.ID] = r.Born
			continue
		}
		v.replicas[r.Service] = append(v.replicas[r.Service], r)
		v.servers[r.ID] = r
	}
	for _, list := range v.replicas {
		slices.SortFunc(list, func(a, b *Replica) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}
