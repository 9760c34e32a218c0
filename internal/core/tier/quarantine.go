package tier

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/link/deleg"
	"github.com/samphirestair/samphirestair/internal/query/poison"
)

// operatorOrders applies what operators decide about requests. Other VMs learn of it like of
// evidence.
type operatorOrders struct {
	ledger *poison.Ledger
}

// Lift implements admin.Quarantine.
func (o operatorOrders) Lift(request string) error {
	f, err := poison.ParseFingerprint(request)
	if err != nil {
		return err
	}
	if !o.ledger.Lift(time.Now(), f) {
		return errors.Newf("nothing is known of request %s", request)
	}
	return nil
}

// Pin implements admin.Quarantine.
func (o operatorOrders) Pin(request string) error {
	f, err := poison.ParseFingerprint(request)
	if err != nil {
		return err
	}
	o.ledger.Pin(time.Now(), f)
	return nil
}

// refusesOrder reports whether another VM had better not order attempts from this one: it may
// be partitioned from the backend servers, it stops before they end, or the request ends servers.
func (t *Tier) refusesOrder(order *deleg.Order) bool {
	return !t.gate.Allows(time.Duration(order.LeftMicros)*time.Microsecond) || t.reach.State().MayBePartitioned() ||
		!t.ledger.Empty() && t.ledger.State(time.Now(), t.identity.Of(order.Head, order.Body)) == poison.Quarantined
}

// hasCallers reports whether requests of callers arrived lately, whether or not this VM serves:
// callers keep old address lists for a while.
func (t *Tier) hasCallers() bool {
	return t.gate.SinceLastRequest(time.Now()) < callersTime
}

// otherVMs returns the addresses of the other VMs that serve callers or did so until they began
// to leave, and of those that stand by.
func (t *Tier) otherVMs() (serving, standby []string) {
	view := t.follower.View()
	for _, m := range view.Leaving {
		serving = append(serving, m.PeerAddress)
	}
	for _, m := range view.Members {
		switch {
		case m.VM == t.settings.VM.ID:
		case m.Serving:
			serving = append(serving, m.PeerAddress)
		default:
			standby = append(standby, m.PeerAddress)
		}
	}
	return serving, standby
}
