package tier

import "github.com/samphirestair/samphirestair/internal/core/guard"

// maxSmallBody is the maximum size of the body of a request for an address list or for the
// readiness, which need none.
const maxSmallBody = 16 << 10

// listenerNames are the names of all listeners.
var listenerNames = []string{callersPort, directoryPort, readyPort, peersPort, adminPort}

// smallBodies returns the limits of a listener whose requests need no bodies.
func (t *Tier) smallBodies(port string) guard.Options {
	return guard.Options{MaxBody: func() int { return maxSmallBody }, Reporter: t.memory.Reporter(port)}
}
