package cmdln

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/ops/table"
)

// serverSummary is the part of an owner's dump of one backend server that fleet
// shows.
type serverSummary struct {
	Server   ident.ServerID `json:"server"`
	Owned    bool           `json:"owned"`
	Out      bool           `json:"out"`
	Draining bool           `json:"draining"`
	Bound    int            `json:"bound"`
	InUse    int            `json:"in_use"`
	Queued   int            `json:"queued"`
	Warmth   struct {
		Phase string `json:"phase"`
		Why   string `json:"why"`
	} `json:"warmth"`
}

// service says whether a backend server receives new work.
func (s *serverSummary) service() string {
	switch {
	case s.Out:
		return "out"
	case s.Draining:
		return "draining"
	default:
		return "in"
	}
}

// printServers prints one row per backend server.
func (s *summary) printServers(c *CLI) error {
	t := table.New("BACKEND SERVER", "OWNER", "SERVICE", "WARMTH", "WHY", "BEARS", "IN USE", "QUEUED")
	for _, vm := range s.Statuses {
		var servers []serverSummary
		if len(vm.Servers) == 0 {
			continue
		}
		if err := json.Unmarshal(vm.Servers, &servers); err != nil {
			return errors.Wrapf(err, "cli: backend servers of %s", vm.VM)
		}
		for _, one := range servers {
			if one.Owned {
				t.Add(string(one.Server), string(vm.VM), one.service(), one.Warmth.Phase, one.Warmth.Why,
					fmt.Sprint(one.Bound), fmt.Sprint(one.InUse), fmt.Sprint(one.Queued))
			}
		}
	}
	c.printf("\n")
	c.printTable(t)
	return nil
}
