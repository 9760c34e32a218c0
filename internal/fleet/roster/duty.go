package roster

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// settleTime is the time that the first VMs of a fleet give others to
	// register before they choose who serves.
	settleTime = 1500 * time.Millisecond
	// stepDownAfter is the time for which a VM goes on serving after others
	// were preferred, so that a short absence changes nothing.
	stepDownAfter = 5 * time.Second
	// replacedBy bounds the time for which it goes on because those that were preferred
	// do not all serve.
	replacedBy = 20 * time.Second
	// firstServe is the time in which VMs that are chosen at the start of a fleet begin
	// to serve. Others don't follow all changes until they do.
	firstServe = 5 * time.Second
	// relaxAfter is the time for which a VM that does not serve still follows all
	// changes after it served or was asked by a caller: callers may hold old
	// lists, of up to three times 5 s.
	relaxAfter = 20 * time.Second
)

// mode is what a VM does for callers.
type mode uint8

const (
	// standingBy VMs are not named to callers.
	standingBy mode = iota
	// preparing VMs read all keys before they serve.
	preparing
	serving
	// retiring VMs are not named any more and still serve old lists.
	retiring
)

// String returns the name of the mode in logs.
func (m mode) String() string {
	return [...]string{"standing_by", "preparing", "serving", "retiring"}[m]
}

// duty decides whether a VM serves callers. It is a state machine without
// clock.
type duty struct {
	mode mode
	// since is the start of the mode, or of the wish to leave it.
	since time.Time
	begun time.Time
	// served is set once a VM of the fleet served callers.
	served bool
	// askedAt is the time at which a caller asked last.
	askedAt time.Time
	// unwantedSince is the time from which others were preferred, or zero.
	unwantedSince time.Time
}

// look returns the mode at now, given the present beliefs and whether they are
// fresh enough to serve callers.
func (d *duty) look(now time.Time, self ident.VMID, view *View, fresh bool) mode {
	d.see(now, view)
	if view.Table == nil {
		return d.mode
	}
	wanted := d.isWanted(now, self, view)
	if d.mode == standingBy && wanted {
		d.enter(now, preparing)
	}
	switch d.mode {
	case preparing:
		if !wanted {
			d.enter(now, standingBy)
		} else if fresh {
			d.enter(now, serving)
		}
	case serving:
		if d.isOverdue(now, wanted) && (d.isReplaced(view) || now.Sub(d.unwantedSince) >= replacedBy) {
			d.enter(now, retiring)
		}
	case retiring:
		if wanted {
			d.enter(now, serving)
		} else if now.Sub(d.since) >= relaxAfter {
			d.enter(now, standingBy)
		}
	default:
	}
	return d.mode
}

// see notes the first look, and whether a VM of the fleet serves.
func (d *duty) see(now time.Time, view *View) {
	if d.begun.IsZero() {
		d.begun = now
	}
	d.served = d.served || view.ServingCount > 0
}

func (d *duty) enter(now time.Time, m mode) {
	d.mode, d.since, d.unwantedSince = m, now, time.Time{}
}

// isOverdue reports whether others have been preferred for long enough.
func (d *duty) isOverdue(now time.Time, wanted bool) bool {
	if wanted {
		d.unwantedSince = time.Time{}
		return false
	}
	if d.unwantedSince.IsZero() {
		d.unwantedSince = now
	}
	return now.Sub(d.unwantedSince) >= stepDownAfter
}

// isReplaced reports whether all VMs that are to serve do.
func (d *duty) isReplaced(view *View) bool {
	for _, m := range view.Members {
		if !m.Serving && view.TargetServing().Has(m.VM) {
			return false
		}
	}
	return true
}

// isWanted reports whether this VM is among those that serve. While no VM
// serves, the first ones wait for others to register.
func (d *duty) isWanted(now time.Time, self ident.VMID, view *View) bool {
	if view.ServingCount == 0 && now.Sub(d.begun) < settleTime {
		return false
	}
	members := view.Members
	if !holds(members, self) {
		return d.mode == serving
	}
	return view.TargetServing().Has(self)
}

// isRelaxed reports whether the VM may learn of changes with some delay: others serve, or
// are to. One whose own registration is not known yet may be about to serve, unless it
// resumed standing by.
func (d *duty) isRelaxed(now time.Time, self ident.VMID, view *View, resumed bool) bool {
	return d.mode == standingBy && (view.ServingCount > 0 || d.othersBegin(now, self, view)) &&
		(resumed || holds(view.Members, self)) && now.Sub(d.askedAt) >= relaxAfter
}

// othersBegin reports whether other VMs are about to serve at the start of a fleet.
func (d *duty) othersBegin(now time.Time, self ident.VMID, view *View) bool {
	age := now.Sub(d.begun)
	chosen := view.TargetServing()
	return !d.served && age >= settleTime && age < firstServe && len(chosen) > 0 && !chosen.Has(self)
}

func holds(members []Member, self ident.VMID) bool {
	for _, m := range members {
		if m.VM == self {
			return true
		}
	}
	return false
}
