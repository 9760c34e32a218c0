package entry

import "sync"

// pendingStripes is the number of stripes, each with its own lock, to reduce
// lock contention.
const pendingStripes = 64

// pending maps request IDs to the requests in execution. It is safe for
// concurrent use.
type pending struct {
	stripes [pendingStripes]stripe
}

type stripe struct {
	mu         sync.Mutex
	executions map[uint64]*execution
}

func newPending() *pending {
	p := &pending{}
	for i := range p.stripes {
		p.stripes[i].executions = map[uint64]*execution{}
	}
	return p
}

func (p *pending) add(id uint64, x *execution) {
	s := p.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[id] = x
}

func (p *pending) remove(id uint64) {
	s := p.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.executions, id)
}

// find returns nil if no request with this ID is in execution.
func (p *pending) find(id uint64) *execution {
	s := p.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

func (p *pending) stripe(id uint64) *stripe {
	return &p.stripes[id%pendingStripes]
}
