package pulse

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
	// contactAge is the time for which an address is known after a datagram came from
	// it. It bears the loss of one greeting.
	contactAge = 2500 * time.Millisecond
	// maxContacts bounds the addresses that are kept. It is more than are ever asked.
	maxContacts = 64
	// absentFor is the time for which a VM that is known no more may start again.
	absentFor = time.Minute
)

// contacts keeps the addresses from which datagrams came lately. It is safe for
// concurrent use.
type contacts struct {
	mu      sync.Mutex
	heardAt coll.LastSeen[string]
}

func newContacts() *contacts {
	return &contacts{heardAt: coll.LastSeen[string]{}}
}

func (c *contacts) heard(now time.Time, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.heardAt.Has(address) && len(c.heardAt) >= maxContacts {
		c.heardAt.RemoveOlder(now, contactAge)
		if len(c.heardAt) >= maxContacts {
			return
		}
	}
	c.heardAt[address] = now
}

// list returns the addresses that were heard lately.
func (c *contacts) list(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt.RemoveOlder(now, contactAge)
	return slices.Sorted(maps.Keys(c.heardAt))
}

// absent keeps the addresses of VMs that were known a while ago. It is not safe for
// concurrent use.
type absent struct {
	known map[ident.VMID]netip.AddrPort
	gone  map[ident.VMID]departure
}

// departure tells of a VM that is known no more.
type departure struct {
	address netip.AddrPort
	at      time.Time
}

func newAbsent() *absent {
	return &absent{gone: map[ident.VMID]departure{}}
}

// look returns the addresses of the VMs that were present at an earlier look, and are
// not any more.
func (a *absent) look(now time.Time, present map[ident.VMID]netip.AddrPort) map[ident.VMID]netip.AddrPort {
	for vm, address := range a.known {
		if _, ok := present[vm]; !ok {
			a.gone[vm] = departure{address: address, at: now}
		}
	}
	a.known = present
	addresses := make(map[ident.VMID]netip.AddrPort, len(a.gone))
	for vm, d := range a.gone {
		if _, ok := present[vm]; ok || now.Sub(d.at) > absentFor {
			delete(a.gone, vm)
			continue
		}
		addresses[vm] = d.address
	}
	return addresses
}
