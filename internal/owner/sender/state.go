package sender

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/warmth"
)

// ServerState is the state of one backend server as shown to operators.
type ServerState struct {
	Server           ident.ServerID `json:"server"`
	Group            ident.GroupID  `json:"group"`
	Owned            bool           `json:"owned"`
	LeaseUntil       time.Time      `json:"lease_until"`
	OutOfService     bool           `json:"out"`
	Draining         bool           `json:"draining"`
	Warmth           warmth.State   `json:"warmth"`
	ConcurrencyLimit int            `json:"bound"`
	InUse            int            `json:"in_use"`
	Queued           int            `json:"queued"`
	Connections      int            `json:"connections"`
	BackoffUntil     time.Time      `json:"down_until"`
	Maps             string         `json:"maps"`
}

// State returns the state of all servers that this VM owns or still has requests
// at, ordered by id.
func (s *Sender) State() []ServerState {
	endpoints := s.listEndpoints()
	states := make([]ServerState, 0, len(endpoints))
	for _, e := range endpoints {
		states = append(states, e.state(time.Now()))
	}
	slices.SortFunc(states, func(a, b ServerState) int { return cmp.Compare(a.Server, b.Server) })
	return states
}

func (e *endpoint) state(now time.Time) ServerState {
	e.mu.Lock()
	defer e.unlock()
	state := ServerState{
		Server: e.id, Group: e.group, Owned: e.leased(now), OutOfService: e.outOfService.Load(), Draining: e.draining.Load(),
		Warmth: e.tracker.State(), ConcurrencyLimit: e.queue.ConcurrencyLimit(), InUse: e.queue.InUse(),
		Queued: e.queue.Waiting(), Connections: e.dialer.OpenConns(),
		BackoffUntil: e.backoff.until, Maps: e.maps.text,
	}
	if lease := e.lease.Load(); lease != nil {
		state.LeaseUntil = lease.Until()
	}
	return state
}
