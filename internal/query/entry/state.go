package entry

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// State is the state of an entry for operators.
type State struct {
	// Active is the number of requests in execution.
	Active int `json:"active"`
	// Policies names the policies in use.
	Policies Policies `json:"policies"`
	// Pinned holds what a query of each service would be pinned to now.
	Pinned map[ident.ServiceID]Pinned `json:"pinned"`
	// Holdings holds the index versions that servers told of.
	Holdings map[ident.ServerID][]msgs.Holding `json:"holdings"`
}

// Policies names the policies of an entry.
type Policies struct {
	Choose string `json:"replica"`
	Hedge  string `json:"hedge"`
	Admit  string `json:"admission"`
}

// Pinned is the index version that queries use.
type Pinned struct {
	Version ident.Version `json:"version"`
	Shards  int           `json:"shards"`
	Covered int           `json:"covered"`
}

// State returns the present state.
func (e *Entry) State() State {
	config := e.deps.Views.Load().Config
	state := State{
		Active:   e.active.active(),
		Policies: e.policies,
		Pinned:   map[ident.ServiceID]Pinned{},
		Holdings: e.table.Holdings(),
	}
	for service, doc := range config.Services {
		plan := e.table.Pin(config, doc)
		state.Pinned[service] = Pinned{Version: plan.Version, Shards: plan.Shards, Covered: plan.Covered}
	}
	return state
}
