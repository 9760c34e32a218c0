package tier

import (
	"time"

	"github.com/cockroachdb/errors"

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
