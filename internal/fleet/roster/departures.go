package roster

import (
	"maps"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

// departureRetention is how long departures are remembered. An older copy of the store is
// some seconds old, and registrations in it that nobody renews lapse within seconds.
const departureRetention = time.Minute

// lapseRetention is how long VMs whose registration lapsed are told so. Callers may use them as
// long with outdated address lists.
const lapseRetention = staleListGrace

// lapse is a VM that served until its registration lapsed. It may still run, and not know.
type lapse struct {
	member Member
	at     time.Time
}

// departures holds the backend servers and VMs that left. It is not safe for concurrent
// use.
type departures struct {
	servers map[ident.ServerID]serverDeparture
	// vms holds the time of departure by the boot id of the process.
	vms coll.LastSeen[uint64]
}

// serverDeparture is the last registration of a process of a backend server.
type serverDeparture struct {
	born, sequence int64
	era            depot.Era
	at             time.Time
}

func newDepartures() departures {
	return departures{servers: map[ident.ServerID]serverDeparture{}, vms: coll.LastSeen[uint64]{}}
}

// addServer records that the registration of a backend server ended in an era of the
// store.
func (d departures) addServer(now time.Time, era depot.Era, s *Server) {
	d.servers[s.ID] = serverDeparture{born: s.Born, sequence: s.Sequence, era: era, at: now}
}

// hasServer reports whether a registration that was read in an era is one from before the
// server's departure in an earlier era.
func (d departures) hasServer(era depot.Era, s *Server) bool {
	gone, ok := d.servers[s.ID]
	return ok && era > gone.era && s.Born == gone.born && s.Sequence <= gone.sequence
}

// addVM records that the registration of a VM that leaves ended. A boot id of 0 is not
// known.
func (d departures) addVM(now time.Time, bootID uint64) {
	if bootID != 0 {
		d.vms[bootID] = now
	}
}

// hasVM reports whether a process of a VM has left.
func (d departures) hasVM(bootID uint64) bool {
	return d.vms.Has(bootID)
}

// removeOld forgets what happened more than departureRetention ago.
func (d departures) removeOld(now time.Time) {
	maps.DeleteFunc(d.servers, func(_ ident.ServerID, s serverDeparture) bool { return now.Sub(s.at) > departureRetention })
	d.vms.RemoveOlder(now, departureRetention)
}
