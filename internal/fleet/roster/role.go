package roster

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// settleTime is how long the first VMs of a fleet wait for others to register before
	// they choose which of them serve.
	settleTime = 1500 * time.Millisecond
	// stepDownDelay is how long a VM goes on serving after others were selected in its
	// place, so that a short absence changes nothing.
	stepDownDelay = 5 * time.Second
	// maxStepDownDelay bounds how long a VM goes on serving because not all selected VMs
	// serve yet.
	maxStepDownDelay = 20 * time.Second
	// initialServeWindow is the time after the start of a fleet in which the selected VMs
	// begin to serve. Until it ends, the others need not follow all changes.
	initialServeWindow = 5 * time.Second
	// staleListGrace is how long a VM that doesn't serve still follows all changes after
	// it served or got a request from a caller. Callers may hold outdated address lists
	// for up to three times 5 s.
	staleListGrace = 20 * time.Second
)

// mode says whether a VM serves callers, or is about to start or stop.
type mode uint8

const (
	// standingBy VMs appear in no address list.
	standingBy mode = iota
	// preparing VMs read all keys before they begin to serve.
	preparing
	serving
	// retiring VMs have left the address lists and still serve callers with old lists.
	retiring
)

// String returns the name of the mode in logs.
func (m mode) String() string {
	return [...]string{"standing_by", "preparing", "serving", "retiring"}[m]
}

// servingRole decides whether a VM serves callers. It is a state machine without a clock
// and is not safe for concurrent use.
type servingRole struct {
	mode mode
	// modeSince is when the mode was entered.
	modeSince time.Time
	// firstUpdate is the time of the first update.
	firstUpdate time.Time
	// fleetServed is set once any VM of the fleet was seen serving.
	fleetServed bool
	// lastRequestAt is when a caller last sent a request to this VM while it didn't
	// serve, or another VM treated it as a serving one.
	lastRequestAt time.Time
	// partitioned is set while this VM is partitioned from the backend servers, which its
	// registration may not say yet.
	partitioned bool
	// notSelectedSince is when other VMs were selected in place of this serving VM, or
	// zero.
	notSelectedSince time.Time
}

// update returns the mode at now. upToDate says whether the VM follows all changes, as it
// must before it serves.
func (r *servingRole) update(now time.Time, self ident.VMID, view *View, upToDate bool) mode {
	r.observe(now, view)
	if view.Table == nil {
		return r.mode
	}
	selected := r.isSelected(now, self, view)
	if r.mode == standingBy && selected {
		r.setMode(now, preparing)
	}
	switch r.mode {
	case preparing:
		if !selected {
			r.setMode(now, standingBy)
		} else if upToDate {
			r.setMode(now, serving)
		}
	case serving:
		if r.isStepDownDelayOver(now, selected) && (r.replacementsServe(view) || now.Sub(r.notSelectedSince) >= maxStepDownDelay) {
			r.setMode(now, retiring)
		}
	case retiring:
		if selected {
			r.setMode(now, serving)
		} else if now.Sub(r.modeSince) >= staleListGrace {
			r.setMode(now, standingBy)
		}
	default:
	}
	return r.mode
}

// observe records the time of the first update, and whether any VM of the fleet serves.
func (r *servingRole) observe(now time.Time, view *View) {
	if r.firstUpdate.IsZero() {
		r.firstUpdate = now
	}
	r.fleetServed = r.fleetServed || view.ServingCount > 0
}

func (r *servingRole) setMode(now time.Time, m mode) {
	r.mode, r.modeSince, r.notSelectedSince = m, now, time.Time{}
}

// isStepDownDelayOver tracks since when others are selected in place of this VM, and
// reports whether that is at least stepDownDelay.
func (r *servingRole) isStepDownDelayOver(now time.Time, selected bool) bool {
	if selected {
		r.notSelectedSince = time.Time{}
		return false
	}
	if r.notSelectedSince.IsZero() {
		r.notSelectedSince = now
	}
	return now.Sub(r.notSelectedSince) >= stepDownDelay
}

// replacementsServe reports whether all selected VMs serve.
func (r *servingRole) replacementsServe(view *View) bool {
	for _, m := range view.Members {
		if !m.Serving && view.TargetServing().Has(m.VM) {
			return false
		}
	}
	return true
}

// isSelected reports whether this VM is selected to serve. While no VM serves, the first
// ones wait for others to register.
func (r *servingRole) isSelected(now time.Time, self ident.VMID, view *View) bool {
	if view.ServingCount == 0 && now.Sub(r.firstUpdate) < settleTime {
		return false
	}
	registered, isRegistered := findMember(view.Members, self)
	switch {
	case !isRegistered:
		return r.mode == serving
	case r.partitioned && !registered.Partitioned && r.mode != serving:
		return false
	default:
		return view.TargetServing().Has(self)
	}
}

// canFollowServingOnly reports whether the VM need only follow the serving VMs, and with
// a delay, because it stands by and others serve or are about to. A VM that doesn't see
// its own registration yet may be about to serve, unless it resumed standing by.
func (r *servingRole) canFollowServingOnly(now time.Time, self ident.VMID, view *View, resumed bool) bool {
	_, isRegistered := findMember(view.Members, self)
	return r.mode == standingBy && (view.ServingCount > 0 || r.othersAboutToServe(now, self, view)) &&
		(resumed || isRegistered) && now.Sub(r.lastRequestAt) >= staleListGrace
}

// othersAboutToServe reports whether the fleet is starting and other VMs are selected to
// serve.
func (r *servingRole) othersAboutToServe(now time.Time, self ident.VMID, view *View) bool {
	age := now.Sub(r.firstUpdate)
	target := view.TargetServing()
	return !r.fleetServed && age >= settleTime && age < initialServeWindow && len(target) > 0 && !target.Has(self)
}

func findMember(members []Member, vm ident.VMID) (m Member, found bool) {
	for _, m := range members {
		if m.VM == vm {
			return m, true
		}
	}
	return Member{}, false
}
