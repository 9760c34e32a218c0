// Package roll decides about roll-outs: the traffic of a service is shifted to backend
// servers of a new version if that version proves good, and away from it otherwise. Decider
// is the decision about one roll-out, Member the part of one VM in all of them. Both are
// state machines without sockets, goroutines or timers.
//
// Times are durations on a clock that includes the time for which the machine is suspended.
package roll

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

// Order asks that the traffic of a service be shifted to backend servers of a version.
type Order struct {
	Version string `json:"version"`
	// Duration is the time from the order to its deadline.
	Duration time.Duration `json:"span"`
	// Position is the position of the store at which the order was written.
	Position depot.Position `json:"order"`
}

// Phase is the stage of a roll-out.
type Phase string

// Phases of a roll-out.
const (
	// Exposing roll-outs send a small share of the requests to the new version.
	Exposing Phase = "exposing"
	// Moving roll-outs increase that share up to 1.
	Moving Phase = "moving"
	// DrainingOld roll-outs send all requests to the new version, and wait until the servers of
	// the other versions have none. DrainingNew is the reverse.
	DrainingOld Phase = "draining_old"
	DrainingNew Phase = "draining_new"
	Completed   Phase = "completed"
	RolledBack  Phase = "rolled_back"
)

// Phases returns all phases.
func Phases() []Phase {
	return []Phase{Exposing, Moving, DrainingOld, DrainingNew, Completed, RolledBack}
}

// IsFinal reports whether the phase is the last one of a roll-out.
func (p Phase) IsFinal() bool {
	return p == Completed || p == RolledBack
}

// usesTargetOnly and usesOthersOnly report whether requests go to the new version only, or to
// the other versions only.
func (p Phase) usesTargetOnly() bool { return p == DrainingOld || p == Completed }

func (p Phase) usesOthersOnly() bool { return p == DrainingNew || p == RolledBack }

// Loses reports whether the phase keeps requests from servers of a version, where target is the new
// version of the roll-out.
func (p Phase) Loses(version, target string) bool {
	if version == target {
		return p.usesOthersOnly()
	}
	return p.usesTargetOnly()
}

// Record is the state of a roll-out in the store.
type Record struct {
	Order
	Phase Phase `json:"phase"`
	// Seq grows with each record of a service.
	Seq uint64 `json:"seq"`
	// BeganMillis is when the order was first seen, in Unix milliseconds, and ElapsedMillis the
	// time between that and the record.
	BeganMillis   int64 `json:"began"`
	ElapsedMillis int64 `json:"elapsed"`
	// Reason explains the phase to operators.
	Reason string `json:"reason"`
}

// IsOf reports whether the record belongs to an order. In a later era of the store, an order
// with the same content is the same one.
func (r *Record) IsOf(o *Order) bool {
	return r.Version == o.Version && r.Duration == o.Duration &&
		(r.Position == o.Position || r.Position.Era() != o.Position.Era())
}

// Rollout is what the store holds about the roll-out of one service. Record is nil if there is
// none yet. It may belong to an earlier order.
type Rollout struct {
	Order  Order   `json:"order"`
	Record *Record `json:"record,omitempty"`
	// Revision is the position of Record in the store, or 0.
	Revision depot.Position `json:"-"`
	// Behind is set if Record is newer than what the store holds, which came back from an older
	// copy. It has to be written again.
	Behind bool `json:"-"`
}

// current returns the record if it belongs to the order, or nil.
func (r *Rollout) current() *Record {
	if r.Record == nil || !r.Record.IsOf(&r.Order) {
		return nil
	}
	return r.Record
}

// Bucket identifies the responses that are compared with each other: those on one route from
// backend servers of one zone.
type Bucket struct {
	Route string
	Zone  ident.Zone
}

// Counts holds the responses of the new version and of the others.
type Counts struct {
	Target, Others Tally
}

// Report is what one VM tells about one roll-out. The counts are those since the VM learned
// of the order, so that a report that is lost or repeated changes nothing.
type Report struct {
	VM ident.VMID
	// Boot identifies the process of the VM, and Number grows with each of its reports.
	Boot, Number uint64
	Service      ident.ServiceID
	Position     depot.Position
	// Seq is the record that the VM acts on.
	Seq uint64
	// TargetRunning and OthersRunning are the VM's requests in flight at servers of the new
	// version and of the others.
	TargetRunning, OthersRunning uint32
	Counts                       map[Bucket]Counts
}
