package relay

import (
	"sync"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// downAfter is the number of failures in a row after which a backend server is
// taken as down. One alone may be a lost connection.
const downAfter = 2

// Health tells which backend servers seem to be down: they refuse connections
// or answer nothing. Health checks of the servers are not asked. Servers that
// are down get no requests until a connection to them can be opened. It is
// safe for concurrent use.
type Health struct {
	mu sync.Mutex
	// failures counts the failures in a row.
	failures map[ident.ServerID]int
}

// NewHealth returns a Health by which all servers are up.
func NewHealth() *Health {
	return &Health{failures: map[ident.ServerID]int{}}
}

// Failed notes that a server could not be reached, or was silent.
func (h *Health) Failed(id ident.ServerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures[id]++
}

// Replaced notes that another server answers at the address of a server.
func (h *Health) Replaced(id ident.ServerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures[id] += downAfter
}

// Responded notes that a server answered or took a connection.
func (h *Health) Responded(id ident.ServerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.failures, id)
}

// IsDown reports whether a server is taken as down.
func (h *Health) IsDown(id ident.ServerID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures[id] >= downAfter
}

// Down returns the servers that are taken as down.
func (h *Health) Down() []ident.ServerID {
	h.mu.Lock()
	defer h.mu.Unlock()
	var down []ident.ServerID
	for id, failures := range h.failures {
		if failures >= downAfter {
			down = append(down, id)
		}
	}
	return down
}

// Retain forgets the servers for which keep is false.
func (h *Health) Retain(keep func(id ident.ServerID) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	coll.Retain(h.failures, keep)
}
