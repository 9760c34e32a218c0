// Package roster keeps what a VM believes about backend servers, zones, other
// VMs and the configuration, all of which are read from the platform's store.
// Book decides and Follower drives it.
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
	"github.com/samphirestair/samphirestair/internal/owner/notice"
)

// Kind says what a key of the store is about.
type Kind uint8

// Kinds of keys.
const (
	KindOther Kind = iota
	KindConfig
	// KindZoneOut marks a zone whose backend servers get no requests.
	KindZoneOut
	KindServer
)

// Decoder reads what others than the product wrote to the store. Values that
// can't be read give an error.
type Decoder interface {
	// ParseKey returns what a key is about, and the name of the zone or backend
	// server.
	ParseKey(key string) (kind Kind, name string)
	Server(id string, value []byte) (Server, error)
	Config(value []byte) (*routes.Config, error)
}

// Server is the registration of a backend server.
type Server struct {
	ID      ident.ServerID
	Service ident.ServiceID
	Address string
	Zone    ident.Zone
	Slots   int
	// Draining servers get no new requests.
	Draining bool
	// ColdFor is the time from the registration for which it stays cold.
	ColdFor time.Duration
	// Sequence grows with each registration of one process.
	Sequence int64
	// Born is the start of the process in Unix milliseconds, or 0 if it was
	// not told.
	Born int64
}

// SameProcess reports whether both registrations are of one process.
func (s *Server) SameProcess(other *Server) bool {
	return s.ID == other.ID && s.Born == other.Born && s.Address == other.Address && s.Service == other.Service
}

// Replica is a backend server that may get requests.
type Replica struct {
	Server
	// ColdUntil is the time until which it is cold.
	ColdUntil time.Time
}

// Process names the process of the backend server.
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
	// BootID is drawn at the start of the process.
	BootID uint64 `json:"boot"`
	// Cores is the processor time that the VM has, in cores.
	Cores float64 `json:"cores"`
	// Serving members are named to callers. Others stand by.
	Serving bool `json:"serving"`
	// Leaving members take no new callers.
	Leaving bool `json:"leaving"`
}

// View is what a VM believed at one moment. It is immutable.
type View struct {
	// Table is nil until a configuration is known.
	Table *routes.Table
	// Members are the VMs that do not leave, in ascending order.
	Members []Member
	// ServingCount counts the members that serve callers.
	ServingCount int
	// ShareCount is the number of VMs among which the fleet's connections and budgets
	// are divided. It never is less than the number of VMs that are to serve: those
	// that are not known, or leave, may still use their parts.
	ShareCount int
	// ZonesOut are taken out of service.
	ZonesOut coll.Set[ident.Zone]

	replicas map[ident.ServiceID][]*Replica
	servers  map[ident.ServerID]*Replica
	// serving holds the members that serve callers by zone.
	serving map[ident.Zone][]Member

	chosenOnce sync.Once
	chosen     coll.Set[ident.VMID]
}

// Replicas returns the backend servers of a service that may get requests. The
// slice must not be changed.
func (v *View) Replicas(service ident.ServiceID) []*Replica {
	return v.replicas[service]
}

// Replica returns the backend server if it may get requests, or nil.
func (v *View) Replica(id ident.ServerID) *Replica {
	return v.servers[id]
}

// ServingIn returns the members that serve callers in a zone. The slice must not be
// changed.
func (v *View) ServingIn(zone ident.Zone) []Member {
	return v.serving[zone]
}

// ServerIDs returns the ids of the backend servers that may get requests, in no order.
func (v *View) ServerIDs() iter.Seq[ident.ServerID] {
	return maps.Keys(v.servers)
}

// AllReplicas returns the backend servers that may get requests, in no order.
func (v *View) AllReplicas() iter.Seq2[ident.ServerID, *Replica] {
	return maps.All(v.servers)
}

// NewView returns a view that holds the given parts.
func NewView(table *routes.Table, replicas []*Replica, members []Member, zonesOut coll.Set[ident.Zone]) *View {
	v := &View{
		Table:    table,
		Members:  members,
		ZonesOut: zonesOut,
		replicas: map[ident.ServiceID][]*Replica{},
		servers:  make(map[ident.ServerID]*Replica, len(replicas)),
		serving:  map[ident.Zone][]Member{},
	}
	for _, m := range members {
		if m.Serving {
			v.ServingCount++
			v.serving[m.Zone] = append(v.serving[m.Zone], m)
		}
	}
	v.ShareCount = max(TargetServingCount(table), v.ServingCount)
	for _, r := range replicas {
		if r.Draining || zonesOut.Has(r.Zone) {
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
