// Package sever injects failures of the links between VMs. It is inert unless a
// test blocks an address.
package sever

import (
	"sync"
	"sync/atomic"
)

// Table holds the IP addresses towards which this process can't send. The zero
// value blocks nothing. It is safe for concurrent use.
type Table struct {
	active  atomic.Bool
	mu      sync.Mutex
	blocked map[string]bool
}

// Set replaces the blocked IP addresses.
func (t *Table) Set(ips []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocked = make(map[string]bool, len(ips))
	for _, ip := range ips {
		t.blocked[ip] = true
	}
	t.active.Store(len(ips) > 0)
}

// Blocks reports whether ip is blocked. A nil Table blocks nothing.
func (t *Table) Blocks(ip string) bool {
	if t == nil || !t.active.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.blocked[ip]
}
