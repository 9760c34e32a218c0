// Package pulse notices VMs that are dead, frozen or cut off: VMs that serve
// callers send each other datagrams several times a second. Table decides,
// Pulse sends and receives.
package pulse

import (
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// beatEvery is the time between two datagrams to a peer.
	beatEvery = 200 * time.Millisecond
	// silentAfter is the time without a datagram after which a peer counts as
	// silent. It bears the loss of three in a row.
	silentAfter = 900 * time.Millisecond
	// ownGap is the time between two looks from which this VM must have been
	// held up itself, so that nothing can be said of others.
	ownGap = 500 * time.Millisecond
)

// Detector keeps when each peer was heard. It is safe for concurrent use.
type Detector struct {
	mu       sync.Mutex
	heard    map[ident.VMID]time.Time
	lookedAt time.Time
	silent   coll.Set[ident.VMID]
	cutOff   bool
}

// NewDetector returns a table without peers.
func NewDetector() *Detector {
	return &Detector{heard: map[ident.VMID]time.Time{}, silent: coll.NewSet[ident.VMID]()}
}

// RecordHeartbeat notes a datagram from a peer.
func (t *Detector) RecordHeartbeat(now time.Time, vm ident.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard[vm] = now
}

// Update judges the peers at now and returns those that became silent, or are
// heard again.
func (t *Detector) Update(now time.Time, peers []ident.VMID) (lost, regained []ident.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	heldUp := now.Sub(t.lookedAt) > ownGap
	t.lookedAt = now
	heard := make(map[ident.VMID]time.Time, len(peers))
	silent := coll.NewSet[ident.VMID]()
	for _, vm := range peers {
		at, known := t.heard[vm]
		if !known || heldUp {
			at = now
		}
		heard[vm] = at
		if now.Sub(at) > silentAfter {
			silent.Add(vm)
			if !t.silent.Has(vm) {
				lost = append(lost, vm)
			}
		} else if t.silent.Has(vm) {
			regained = append(regained, vm)
		}
	}
	t.heard, t.silent = heard, silent
	// With itself, this VM hears less than half of those that serve.
	t.cutOff = len(peers) > 1 && 2*(len(peers)-len(silent)+1) < len(peers)+1
	return lost, regained
}

// Silent reports whether a peer is not heard. A VM that is cut off can't tell.
func (t *Detector) Silent(vm ident.VMID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.cutOff && t.silent.Has(vm)
}

// CutOff reports whether this VM hears less than half of the VMs that serve.
func (t *Detector) CutOff() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff
}

// SilentPeers returns the peers that are not heard.
func (t *Detector) SilentPeers() []ident.VMID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return coll.Sorted(t.silent)
}
