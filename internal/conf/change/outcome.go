package change

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/index"
)

// Status is the result of a change.
type Status string

const (
	// Accepted means that the change took effect.
	Accepted Status = "accepted"
	// Unchanged means that the requested state was in force already.
	Unchanged Status = "unchanged"
	// Rejected means that the change did not and will not take effect, because
	// of the configuration or of a conflicting change.
	Rejected Status = "rejected"
	// Unavailable means that the change did not and will not take effect,
	// because the key-value service did not answer.
	Unavailable Status = "unavailable"
	// Unknown means that the change may have taken effect or may still do so.
	// Changer.Settle determines the outcome.
	Unknown Status = "unknown"
)

// Outcome is the result of a change with its details.
type Outcome struct {
	Status Status         `json:"status"`
	ID     ident.ChangeID `json:"id"`
	// Base is the serial of the configuration when the change began.
	Base uint64 `json:"base"`
	// Serial is the serial of the accepted change, or the one in force if
	// nothing changed.
	Serial uint64 `json:"serial"`
	// Revision is a revision at which the change is in force. It may be higher
	// than the one at which the change took effect.
	Revision ident.Revision `json:"revision"`
	// Reason explains why the change was not accepted.
	Reason string `json:"reason,omitempty"`
	// Conflicts lists the changes that caused the rejection: they were accepted
	// after the serial that this change is based on.
	Conflicts []index.Change `json:"others,omitempty"`
}
