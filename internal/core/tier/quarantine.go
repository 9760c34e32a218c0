package tier

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/link/deleg"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
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

// recordLateEnd records that the process of a backend server ended while it had an attempt that
// this VM sent for another one. It never proves anything, since only the other VM knows whether
// servers elsewhere have answered the request. The end of a server of a version that is being
// rolled out is put down to the version.
func (t *Tier) recordLateEnd(order *deleg.Order, process notice.Process, shared int) {
	if replica := t.follower.View().Replica(process.ID); replica != nil && t.env.Exposures.IsTarget(replica) {
		return
	}
	f := t.identity.Of(order.Head, order.Body)
	t.events.Trace("server_ended", order.Request, "it had an attempt for another VM", slog.String("server", string(process.ID)),
		slog.Int64("born", process.Born), slog.String("request", f.String()), slog.Int("shared", shared))
	t.ledger.ServerEnded(time.Now(), f, order.Head, poison.End{Process: process, Shared: shared, Uncertain: true})
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
