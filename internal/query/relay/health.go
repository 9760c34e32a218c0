package relay

import (
	"sync"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// downAfter is the number of consecutive failures after which a backend server counts
// as down. A single one may be a lost connection.
const downAfter = 2

// Health detects backend servers that are down from the failures of requests: such
// servers refuse connections or do not answer. It uses no health checks. A server that
// is down gets no requests until a connection to it can be opened. Health is safe for
// concurrent use.
type Health struct {
	mu sync.Mutex
	// failures counts consecutive failures.
	failures map[ident.ServerID]int
}

// NewHealth returns a Health in which all servers are up.
func NewHealth() *Health {
	return &Health{failures: map[ident.ServerID]int{}}
}

// Failed counts a failure of a server that could not be reached or was silent.
func (h *Health) Failed(id ident.ServerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures[id]++
}

// Gone marks a server as down because its process ended, or another server answers at its
// address.
func (h *Health) Gone(id ident.ServerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures[id] += downAfter
}

// Responded marks a server as up because it answered or accepted a connection.
func (h *Health) Responded(id ident.ServerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.failures, id)
}

// IsDown reports whether a server counts as down.
func (h *Health) IsDown(id ident.ServerID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures[id] >= downAfter
}

// Down returns the servers that count as down, in no particular order.
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
