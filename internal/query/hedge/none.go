package hedge

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("none", func(Options) Policy { return none{} })
}

// none is a policy that never hedges and always retries.
type none struct{}

func (none) Delay(ident.ServiceID, time.Duration) (time.Duration, bool) { return 0, false }

func (none) Sent(ident.ServiceID, int) {}

func (none) Allow(_ ident.ServiceID, reason Reason) bool {
	return reason == Failed || reason == NotRun
}

func (none) Observe(ident.ServiceID, time.Duration, int, int) {}

func (none) BudgetState(ident.ServiceID) BudgetState { return BudgetState{} }

func (none) Retain(func(ident.ServiceID) bool) {}
