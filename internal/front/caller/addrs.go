package caller

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// addressList is the answer to /v1/addresses. LifetimeMS is the time in milliseconds
// for which a caller may use the addresses.
type addressList struct {
	Addresses  []string `json:"addresses"`
	LifetimeMS int64    `json:"lifetime_ms"`
}

// readiness is the answer to /v1/ready. Reason says why the VM is not ready.
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

// ready answers 503 while this VM admits no requests.
func (s *Server) ready(c fiber.Ctx) error {
	current := s.deps.Views.Load()
	if !current.Admitting {
		return send(c, http.StatusServiceUnavailable, readiness{Reason: current.Refusal})
	}
	return send(c, http.StatusOK, readiness{Ready: true})
}

// shouldMoveOn reports whether callers of this VM should use other VMs.
func shouldMoveOn(current *view.View) bool {
	return !current.Admitting || isExcluded(current, current.Self)
}

// isExcluded reports whether a VM is leaving, or an operator has taken it or its zone
// out of service.
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

// addressesFor returns the addresses of all usable VMs, or of all members if none is
// usable. They are ordered by rendezvous hashing with the caller's IP address, so that
// callers spread over the VMs and the order changes little when VMs join or leave.
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
