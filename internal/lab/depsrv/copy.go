package depsrv

import (
	"maps"
	"slices"

	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

// Copy is the content of a store at one moment.
type Copy struct {
	items     map[string]stored
	leases    map[uint64]lease
	history   []depot.Item
	compacted depot.Position
	revision  depot.Position
	lastLease uint64
}

// Copy returns a copy of the store.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{
		items: maps.Clone(s.items), leases: map[uint64]lease{}, history: slices.Clone(s.history),
		compacted: s.compacted, revision: s.revision, lastLease: s.lastLease,
	}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore replaces the content of the store by a copy and begins the next era: revisions
// and leases since the copy are given out again. Leases of the copy run on.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	s.items, s.history, s.lastLease = map[string]stored{}, nil, c.lastLease
	s.revision, s.compacted = inEra(era, c.revision), inEra(era, c.compacted)
	for key, one := range c.items {
		one.item.Revision = inEra(era, one.item.Revision)
		s.items[key] = one
	}
	for _, item := range c.history {
		item.Revision = inEra(era, item.Revision)
		s.history = append(s.history, item)
	}
	s.leases = map[uint64]*lease{}
	for id, l := range c.leases {
		s.leases[id] = &l
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns the era of the store.
func (s *Store) Era() depot.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision.Era()
}

// inEra returns the position of the same revision in another era.
func inEra(era depot.Era, p depot.Position) depot.Position {
	position, err := depot.NewPosition(era, p.Revision())
	if err != nil {
		panic(err)
	}
	return position
}
