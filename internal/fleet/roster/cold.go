package roster

import (
	"math"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// coldHolders is the number of VMs that may send to one backend server in cold
// start. Each spaces its requests evenly, so that in any second the server gets
// at most that many beyond its rate: one below the slack of the platform. A VM that
// knows fewer that serve takes no more, since others may not be known to it.
const coldHolders = 4

// ColdStartRate is the number of requests a second that a VM may send to a backend
// server in cold start: its part of what the server bears if it is one of the
// server's holders, 0 if not, and +Inf if the service sets no bound.
func ColdStartRate(view *View, self ident.VMID, replica *Replica) float64 {
	if view.Table == nil {
		return 0
	}
	rate := view.Table.Config().Services[replica.Service].ColdRate
	if rate <= 0 {
		return math.Inf(1)
	}
	own, before, serving := hash(string(self)+string(replica.ID)), 0, false
	for _, m := range view.Members {
		switch {
		case !m.Serving:
		case m.VM == self:
			serving = true
		case hash(string(m.VM)+string(replica.ID)) < own:
			before++
		}
	}
	if !serving || before >= coldHolders {
		return 0
	}
	return rate / coldHolders
}
