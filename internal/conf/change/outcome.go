package change

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/index"
)

// Status is how a change ended.
type Status string

const (
	// Accepted means that the change took effect.
	Accepted Status = "accepted"
	// Unchanged means that what was asked for is in force already.
	Unchanged Status = "unchanged"
	// Rejected means that the change did not and will not take effect, for a
	// reason that lies in the configuration.
	Rejected Status = "rejected"
	// Unavailable means that the change did not and will not take effect,
	// because the key-value service did not answer.
	Unavailable Status = "unavailable"
	// Unknown means that the change may or may not have taken effect, or may do
	// so yet. Changer.Settle finds out.
	Unknown Status = "unknown"
)

// Outcome is the end of a change.
type Outcome struct {
	Status Status         `json:"status"`
	ID     ident.ChangeID `json:"id"`
	// Base is the serial of the configuration that the operator's change
	// started from.
	Base uint64 `json:"base"`
	// Serial is that of the accepted change, or that in force if nothing
	// changed.
	Serial uint64 `json:"serial"`
	// Revision is the one at which the change is known to be in force. It may
	// be later than the one at which it took effect.
	Revision ident.Revision `json:"revision"`
	// Reason says why the change was not accepted.
	Reason string `json:"reason,omitempty"`
	// Others holds changes of other operators that stand in the way.
	Conflicts []index.Change `json:"others,omitempty"`
}
