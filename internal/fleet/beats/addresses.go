package beats

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// senderLifetime is how long an address is kept after a datagram came from it. It
	// allows for the loss of one hello.
	senderLifetime = 2500 * time.Millisecond
	// maxSenders bounds the number of addresses that are kept. It is more than are ever
	// asked for a snapshot.
	maxSenders = 64
	// departedLifetime is how long hellos are sent to a VM that is no longer known, since
	// it may start again.
	departedLifetime = time.Minute
)

// recentSenders keeps the addresses from which datagrams came recently. It is safe for
// concurrent use.
type recentSenders struct {
	lifetime time.Duration
	limit    int

	mu        sync.Mutex
	lastHeard coll.LastSeen[string]
}

// newRecentSenders returns a recentSenders that keeps each address for lifetime, and at most
// limit of them.
func newRecentSenders(lifetime time.Duration, limit int) *recentSenders {
	return &recentSenders{lifetime: lifetime, limit: limit, lastHeard: coll.LastSeen[string]{}}
}

func (s *recentSenders) record(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastHeard.Has(address) && len(s.lastHeard) >= s.limit {
		s.lastHeard.RemoveOlder(now, s.lifetime)
		if len(s.lastHeard) >= s.limit {
			return
		}
	}
	s.lastHeard[address] = now
}

// list returns the addresses in ascending order.
func (s *recentSenders) list(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHeard.RemoveOlder(now, s.lifetime)
	return slices.Sorted(maps.Keys(s.lastHeard))
}

// departedVMs keeps the addresses of VMs that were known until recently. It is not safe
// for concurrent use.
type departedVMs struct {
	lastPresent map[ident.VMID]netip.AddrPort
	departures  map[ident.VMID]departure
}

// departure is a VM that is no longer known.
type departure struct {
	address netip.AddrPort
	at      time.Time
}

func newDepartedVMs() *departedVMs {
	return &departedVMs{departures: map[ident.VMID]departure{}}
}

// update replaces the present VMs, and returns the addresses of the VMs that were present
// at most departedLifetime ago and are not any more.
func (d *departedVMs) update(now time.Time, present map[ident.VMID]netip.AddrPort) map[ident.VMID]netip.AddrPort {
	for vm, address := range d.lastPresent {
		if _, ok := present[vm]; !ok {
			d.departures[vm] = departure{address: address, at: now}
		}
	}
	d.lastPresent = present
	addresses := make(map[ident.VMID]netip.AddrPort, len(d.departures))
	for vm, left := range d.departures {
		if _, ok := present[vm]; ok || now.Sub(left.at) > departedLifetime {
			delete(d.departures, vm)
			continue
		}
		addresses[vm] = left.address
	}
	return addresses
}
