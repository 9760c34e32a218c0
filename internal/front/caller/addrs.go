package caller

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// addressList tells a caller which addresses to use.
type addressList struct {
	Addresses  []string `json:"addresses"`
	LifetimeMS int64    `json:"lifetime_ms"`
}

// readiness is the health of the process itself.
type readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

func (s *Server) addresses(c fiber.Ctx) error {
	return send(c, http.StatusOK, addressList{
		Addresses:  addressesFor(s.deps.Views.Load(), c.IP()),
		LifetimeMS: s.options.AddressLifetime.Milliseconds(),
	})
}

func (s *Server) ready(c fiber.Ctx) error {
	current := s.deps.Views.Load()
	if !current.Admitting {
		return send(c, http.StatusServiceUnavailable, readiness{Reason: current.Refusal})
	}
	return send(c, http.StatusOK, readiness{Ready: true})
}

// mustMoveOn reports whether callers of this VM should use others.
func shouldMoveOn(current *view.View) bool {
	return !current.Admitting || isExcluded(current, current.Self)
}

// unusable reports whether a VM is on its way out or has been taken out.
func isExcluded(current *view.View, member view.Member) bool {
	if member.Leaving {
		return true
	}
	if _, out := current.Config.VMsOut[member.Process.VM]; out {
		return true
	}
	_, out := current.Config.ZonesOut[member.Zone]
	return out
}

// addressesFor returns the addresses of all usable VMs. Their order depends on
// the caller, so that callers spread over the VMs, and changes little when VMs
// come and go. If no VM is usable it returns those of all live ones.
func addressesFor(current *view.View, caller string) []string {
	usable, all := []string{}, []string{}
	for vm, member := range current.Members {
		all = append(all, member.Caller)
		self := vm == current.Self.Process.VM
		if isExcluded(current, member) || self && shouldMoveOn(current) {
			continue
		}
		usable = append(usable, member.Caller)
	}
	if len(usable) == 0 {
		usable = all
	}
	rank := func(address string) uint64 { return xxhash.Sum64String(caller + " " + address) }
	slices.SortFunc(usable, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return usable
}
