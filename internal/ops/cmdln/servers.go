package cmdln

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/ops/table"
)

// serverSummary decodes the fields that "fleet --servers" shows of the state of one
// backend server, as reported by a VM that owns it or still has work at it.
type serverSummary struct {
	Server   ident.ServerID `json:"server"`
	Owned    bool           `json:"owned"`
	Out      bool           `json:"out"`
	Draining bool           `json:"draining"`
	// Limit is the number of requests that the server can handle at once.
	Limit int `json:"bound"`
	// InUse is the number of slots in use, those of a previous owner included.
	InUse  int `json:"in_use"`
	Queued int `json:"queued"`
	Warmth struct {
		Phase string `json:"phase"`
		Why   string `json:"why"`
	} `json:"warmth"`
}

// serviceState returns the text for whether a backend server receives new work.
func (s *serverSummary) serviceState() string {
	switch {
	case s.Out:
		return "out"
	case s.Draining:
		return "draining"
	default:
		return "in"
	}
}

// printServers prints one row per backend server that has an owner.
func (s *fleetSummary) printServers(c *CLI) error {
	t := table.New("BACKEND SERVER", "OWNER", "SERVICE", "WARMTH", "WHY", "BEARS", "IN USE", "QUEUED")
	for _, vm := range s.Statuses {
		var servers []serverSummary
		if len(vm.Servers) == 0 {
			continue
		}
		if err := json.Unmarshal(vm.Servers, &servers); err != nil {
			return errors.Wrapf(err, "cli: decode the backend servers of %s", vm.VM)
		}
		for _, server := range servers {
			if server.Owned {
				t.Add(string(server.Server), string(vm.VM), server.serviceState(), server.Warmth.Phase, server.Warmth.Why,
					fmt.Sprint(server.Limit), fmt.Sprint(server.InUse), fmt.Sprint(server.Queued))
			}
		}
	}
	c.printf("\n")
	c.printTable(t)
	return nil
}
