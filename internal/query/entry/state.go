package entry

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// State is the state of an Entry as shown to operators.
type State struct {
	// Active is the number of requests in execution.
	Active int `json:"active"`
	// Policies has the names of the policies in use.
	Policies Policies `json:"policies"`
	// Pinned holds the index version that a new request of each service would
	// use.
	Pinned map[ident.ServiceID]Pinned `json:"pinned"`
	// Holdings holds the index versions that servers reported.
	Holdings map[ident.ServerID][]msgs.Holding `json:"holdings"`
}

// Policies has the names of the policies of an Entry.
type Policies struct {
	Choose string `json:"replica"`
	Hedge  string `json:"hedge"`
	Admit  string `json:"admission"`
}

// Pinned is the index version that requests use, its number of shards and the
// number of those that at least one server holds.
type Pinned struct {
	Version ident.Version `json:"version"`
	Shards  int           `json:"shards"`
	Covered int           `json:"covered"`
}

// State returns the current state.
func (e *Entry) State() State {
	config := e.deps.Views.Load().Config
	state := State{
		Active:   e.active.current(),
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
