package soak

import (
	"sync"
	"time"
)

// Store is the subject of troubles of the store.
const Store = "store"

// Calm remembers when VMs, backend servers and the store were in trouble. It is
// safe for concurrent use.
type Calm struct {
	mu     sync.Mutex
	spells map[string][]*spell
}

// spell is a time of trouble. The end is zero while it lasts.
type spell struct {
	from, to time.Time
	planned  bool
}

// NewCalm returns a memory without trouble.
func NewCalm() *Calm {
	return &Calm{spells: map[string][]*spell{}}
}

// Begin notes that a trouble of subject begins, and returns what ends it.
func (c *Calm) Begin(subject string, planned bool) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &spell{from: time.Now(), planned: planned}
	c.spells[subject] = append(c.spells[subject], s)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.to = time.Now()
	}
}

// Between reports whether subject had no trouble in [from, to].
func (c *Calm) Between(subject string, from, to time.Time) bool {
	return !c.any(subject, from, to, func(*spell) bool { return true })
}

// Unharmed is like Between, but planned troubles do not count.
func (c *Calm) Unharmed(subject string, from, to time.Time) bool {
	return !c.any(subject, from, to, func(s *spell) bool { return !s.planned })
}

// Stopping reports whether a planned trouble of subject lasted at some moment in
// [from, to].
func (c *Calm) Stopping(subject string, from, to time.Time) bool {
	return c.any(subject, from, to, func(s *spell) bool { return s.planned })
}

func (c *Calm) any(subject string, from, to time.Time, counts func(*spell) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.spells[subject] {
		if counts(s) && !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
			return true
		}
	}
	return false
}
