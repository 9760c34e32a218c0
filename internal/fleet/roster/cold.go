package roster

import (
	"math"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// coldSenders is the number of VMs that may send to one backend server in cold start.
// Each spaces its requests evenly, so in any second the server gets at most this many
// requests beyond its rate; that is one below the slack that the platform allows. A VM
// that knows of fewer serving VMs doesn't take a larger share, since there may be others
// that it doesn't know of.
const coldSenders = 4

// ColdStartRate returns how many requests per second a VM may send to a backend server in
// cold start: an equal share of the server's limit if the VM is one of the server's
// senders, 0 if it is not or there is no configuration, and +Inf if the service sets no
// limit.
func ColdStartRate(view *View, self ident.VMID, replica *Replica) float64 {
	if view.Table == nil {
		return 0
	}
	rate := view.Table.Config().Services[replica.Service].WarmUpRate
	if rate <= 0 {
		return math.Inf(1)
	}
	// The senders are the serving VMs with the lowest hashes (rendezvous hashing).
	own, rank, serving := hash(string(self)+string(replica.ID)), 0, false
	for _, m := range view.Members {
		switch {
		case !m.Serving:
		case m.VM == self:
			serving = true
		case hash(string(m.VM)+string(replica.ID)) < own:
			rank++
		}
	}
	if !serving || rank >= coldSenders {
		return 0
	}
	return rate / coldSenders
}
