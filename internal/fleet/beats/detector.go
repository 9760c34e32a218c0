// Package beats notices VMs that are dead, frozen or partitioned: VMs that serve callers
// send each other heartbeats over UDP several times a second. Heartbeater sends and
// receives them, Detector decides which VMs are silent.
package beats

import (
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// heartbeatInterval is the time between two heartbeats to a peer.
	heartbeatInterval = 200 * time.Millisecond
	// silenceTimeout is the time without a heartbeat after which a peer counts as silent.
	// It allows for the loss of three in a row.
	silenceTimeout = 900 * time.Millisecond
	// selfStallGap is the time between two updates above which this VM itself must have
	// stalled, so that silence says nothing about its peers.
	selfStallGap = 500 * time.Millisecond
)

// Detector is a failure detector: it records when the last heartbeat of each peer
// arrived. It is safe for concurrent use.
type Detector struct {
	mu         sync.Mutex
	lastHeard  map[ident.VMID]time.Time
	lastUpdate time.Time
	silent     coll.Set[ident.VMID]
	cutOff     bool
	// reports holds what peers reported of their links to backend servers.
	reports map[ident.VMID]reachReport
	// heardByOther is when a peer last said that it hears each VM.
	heardByOther map[ident.VMID]time.Time
}

// Reach is what a VM reports of its links to backend servers.
type Reach struct {
	// Unreached is the number of backend servers that the VM can't reach.
	Unreached int
	// Partitioned is set if the VM may be partitioned from the backend servers.
	Partitioned bool
}

// reachReport is a report and the time at which it arrived.
type reachReport struct {
	reach Reach
	at    time.Time
}

// NewDetector returns a detector without peers.
func NewDetector() *Detector {
	return &Detector{lastHeard: map[ident.VMID]time.Time{}, silent: coll.NewSet[ident.VMID](), reports: map[ident.VMID]reachReport{}, heardByOther: map[ident.VMID]time.Time{}}
}

// RecordHeartbeat records that a heartbeat from a peer arrived.
func (d *Detector) RecordHeartbeat(now time.Time, vm ident.VMID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastHeard[vm] = now
}

// Hears reports whether a heartbeat from a peer arrived within silenceTimeout.
func (d *Detector) Hears(now time.Time, vm ident.VMID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return isRecent(now, d.lastHeard, vm)
}

// isRecent reports whether the time of a VM is known and within silenceTimeout.
func isRecent(now time.Time, times map[ident.VMID]time.Time, vm ident.VMID) bool {
	at, known := times[vm]
	return known && now.Sub(at) <= silenceTimeout
}

// RecordHeardByOther records that a peer hears a VM.
func (d *Detector) RecordHeardByOther(now time.Time, vm ident.VMID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heardByOther[vm] = now
}

// HeardByOther reports whether a peer said within silenceTimeout that it hears a VM.
func (d *Detector) HeardByOther(now time.Time, vm ident.VMID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return isRecent(now, d.heardByOther, vm)
}

// RecordReach records what a peer reports of its links to backend servers.
func (d *Detector) RecordReach(now time.Time, vm ident.VMID, reach Reach) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports[vm] = reachReport{reach: reach, at: now}
}

// Reach returns what a VM reported of its links to backend servers within silenceTimeout. It
// is the zero value if there is no report.
func (d *Detector) Reach(now time.Time, vm ident.VMID) Reach {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.reports[vm]; now.Sub(r.at) <= silenceTimeout {
		return r.reach
	}
	return Reach{}
}

// Update checks the peers at now, and returns those that became silent and those that
// send heartbeats again. New peers get the whole silenceTimeout.
func (d *Detector) Update(now time.Time, peers []ident.VMID) (lost, regained []ident.VMID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stalled := now.Sub(d.lastUpdate) > selfStallGap
	d.lastUpdate = now
	lastHeard := make(map[ident.VMID]time.Time, len(peers))
	silent := coll.NewSet[ident.VMID]()
	for _, vm := range peers {
		at, known := d.lastHeard[vm]
		if !known || stalled {
			at = now
		}
		lastHeard[vm] = at
		if now.Sub(at) > silenceTimeout {
			silent.Add(vm)
			if !d.silent.Has(vm) {
				lost = append(lost, vm)
			}
		} else if d.silent.Has(vm) {
			regained = append(regained, vm)
		}
	}
	d.lastHeard, d.silent = lastHeard, silent
	coll.Retain(d.heardByOther, func(vm ident.VMID) bool { return now.Sub(d.heardByOther[vm]) <= silenceTimeout })
	coll.Retain(d.reports, func(vm ident.VMID) bool { return now.Sub(d.reports[vm].at) <= silenceTimeout })
	// This VM counts among both the reachable VMs and the serving ones.
	d.cutOff = len(peers) > 1 && 2*(len(peers)-len(silent)+1) < len(peers)+1
	return lost, regained
}

// Silent reports whether a peer is silent. It is false for all peers while this VM is cut
// off, since silence then says nothing about the peer.
func (d *Detector) Silent(vm ident.VMID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.cutOff && d.silent.Has(vm)
}

// CutOff reports whether this VM gets heartbeats from so few VMs that, counting itself,
// they are less than half of the serving ones.
func (d *Detector) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutOff
}

// SilentPeers returns the peers from which heartbeats are missing, in ascending order,
// even while this VM is cut off.
func (d *Detector) SilentPeers() []ident.VMID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return coll.Sorted(d.silent)
}
