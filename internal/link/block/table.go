// Package block injects failures of the links between VMs. It has no effect unless
// a test blocks an address.
package block

import (
	"sync"
	"sync/atomic"
)

// Blocklist is the set of IP addresses to which this process can't send. The zero
// value blocks nothing. It is safe for concurrent use.
type Blocklist struct {
	active  atomic.Bool
	mu      sync.Mutex
	blocked map[string]bool
}

// Set replaces the blocked IP addresses.
func (b *Blocklist) Set(ips []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.blocked = make(map[string]bool, len(ips))
	for _, ip := range ips {
		b.blocked[ip] = true
	}
	b.active.Store(len(ips) > 0)
}

// Blocks reports whether ip is blocked. A nil Blocklist blocks nothing.
func (b *Blocklist) Blocks(ip string) bool {
	if b == nil || !b.active.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.blocked[ip]
}
