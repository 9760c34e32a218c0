package guard

import (
	"syscall"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/accept"
)

const (
	// reservedDescriptors is the number of descriptors that are left to files, and
	// ownDescriptors the number that is left to the connections to backend servers, other VMs
	// and the store. Callers get at least half of the others.
	reservedDescriptors = 200
	ownDescriptors      = 1000
	// maxAdminConnections bounds the connections of operators and metrics collectors.
	maxAdminConnections = 128
	// peerStall is the time within which another VM has to take some of a response. It exceeds
	// the time for which VMs are frozen.
	peerStall = 10 * time.Second
	// defaultDescriptors is the limit of descriptors if the system doesn't tell it.
	defaultDescriptors = 1024
)

// Callers returns the limits of the connections of callers.
func Callers() accept.Options {
	return accept.Options{Limit: maxCallers}
}

// Peers returns the limits of the connections of other VMs.
func Peers() accept.Options {
	return accept.Options{Limit: maxPeers, Pinned: true, WriteStall: peerStall}
}

// Operators returns the limits of the connections of operators and metrics collectors.
func Operators() accept.Options {
	return AtMost(maxAdminConnections)
}

// AtMost returns limits with a fixed number of connections.
func AtMost(connections int) accept.Options {
	return accept.Options{Limit: func() int { return connections }}
}

// descriptors returns the number of descriptors that the process may use for connections.
func descriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		limit.Cur = defaultDescriptors
	}
	return int(min(limit.Cur, 1<<30)) - reservedDescriptors
}

// maxPeers returns the maximum number of connections of other VMs. The rest is left to the
// process's own connections, whoever connects to the port.
func maxPeers() int {
	return max(descriptors()/2, 1)
}

// maxCallers returns the maximum number of connections of callers.
func maxCallers() int {
	usable := descriptors()
	return max(usable-ownDescriptors, usable/2, 1)
}
