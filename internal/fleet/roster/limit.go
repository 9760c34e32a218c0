package roster

import (
	"math"
	"slices"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// minLimitedRate is the rate of requests, per second from all VMs together, below
	// which a limit is not obeyed: VMs learn from answers that a limit was lifted.
	minLimitedRate = 0.125
	// limitWindow, in seconds, limitFactor and limitSlack bound what a server that names a
	// limit may get from all VMs in any window: limitFactor times what the limit allows,
	// plus limitSlack. The platform's slack is 5; the rest allows for VMs that don't know
	// of each other.
	limitWindow = 4.0
	limitFactor = 1.5
	limitSlack  = 3.0
	// spreadShare is the part of a limit that is used by VMs that don't send at the same
	// time. How many requests of theirs fall into a window is random.
	spreadShare = 0.8
)

// LimitedRate returns how many requests per second a VM may send, evenly spaced, to a
// backend server that takes limit requests per second from all VMs together: an equal
// part, or 0 if the VM doesn't serve callers. spread is set if the VMs are too many to
// send a request each at the same time.
func LimitedRate(view *View, self ident.VMID, limit float64) (rate float64, spread bool) {
	if !slices.ContainsFunc(view.Members, func(m Member) bool { return m.VM == self && m.Serving }) {
		return 0, false
	}
	limit = max(limit, minLimitedRate)
	vms := float64(view.ShareCount)
	rate = limit / vms
	// Each VM may send at the beginning and at the end of a window.
	perWindow := math.Floor(rate*limitWindow) + 1
	switch {
	case vms*perWindow <= limitFactor*limit*limitWindow+limitSlack:
		return rate, false
	case perWindow > 1:
		return (perWindow - 1) / limitWindow, false
	default:
		return spreadShare * rate, true
	}
}
