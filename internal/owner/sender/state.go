package sender

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/warmth"
)

// ServerState is the state of one backend server for operators.
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

// State returns the state of all servers that this VM owns or still has work
// at, ordered by id.
func (s *Sender) State() []ServerState {
	hosts := s.list()
	states := make([]ServerState, 0, len(hosts))
	for _, h := range hosts {
		states = append(states, h.state(time.Now()))
	}
	slices.SortFunc(states, func(a, b ServerState) int { return cmp.Compare(a.Server, b.Server) })
	return states
}

func (h *host) state(now time.Time) ServerState {
	h.mu.Lock()
	defer h.unlock()
	state := ServerState{
		Server: h.id, Group: h.group, Owned: h.leased(now), OutOfService: h.out.Load(), Draining: h.draining.Load(),
		Warmth: h.tracker.State(), ConcurrencyLimit: h.queue.ConcurrencyLimit(), InUse: h.queue.InUse(),
		Queued: h.queue.Waiting(), Connections: h.dialer.Open(),
		BackoffUntil: h.down.until, Maps: h.maps.text,
	}
	if holding := h.holding.Load(); holding != nil {
		state.LeaseUntil = holding.Until()
	}
	return state
}
