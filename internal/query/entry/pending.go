package entry

import "sync"

// pendingStripes is the number of independently locked parts of the table of
// requests in execution.
const pendingStripes = 64

// pending finds the requests in execution by their ID. It is safe for
// concurrent use.
type pending struct {
	stripes [pendingStripes]stripe
}

type stripe struct {
	mu      sync.Mutex
	flights map[uint64]*flight
}

func newPending() *pending {
	p := &pending{}
	for i := range p.stripes {
		p.stripes[i].flights = map[uint64]*flight{}
	}
	return p
}

func (p *pending) add(id uint64, f *flight) {
	s := p.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flights[id] = f
}

func (p *pending) remove(id uint64) {
	s := p.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, id)
}

// find returns nil if the request is over or was never there.
func (p *pending) find(id uint64) *flight {
	s := p.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flights[id]
}

func (p *pending) stripe(id uint64) *stripe {
	return &p.stripes[id%pendingStripes]
}
