package soak

import (
	"sync"
	"time"
)

// Store is the subject of troubles of the store.
const Store = "store"

// Calm remembers when VMs, backend servers and the store were in trouble. It is
// safe for concurrent use.
type FaultLog struct {
	mu      sync.Mutex
	periods map[string][]*faultPeriod
}

// spell is a time of trouble. The end is zero while it lasts.
type faultPeriod struct {
	from, to time.Time
	planned  bool
}

// NewCalm returns a memory without trouble.
func NewFaultLog() *FaultLog {
	return &FaultLog{periods: map[string][]*faultPeriod{}}
}

// Begin notes that a trouble of subject begins, and returns what ends it.
func (l *FaultLog) Begin(subject string, planned bool) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &faultPeriod{from: time.Now(), planned: planned}
	l.periods[subject] = append(l.periods[subject], s)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.to = time.Now()
	}
}

// Between reports whether subject had no trouble in [from, to].
func (l *FaultLog) NoneBetween(subject string, from, to time.Time) bool {
	return !l.any(subject, from, to, func(*faultPeriod) bool { return true })
}

// Unharmed is like Between, but planned troubles do not count.
func (l *FaultLog) NoUnplannedBetween(subject string, from, to time.Time) bool {
	return !l.any(subject, from, to, func(s *faultPeriod) bool { return !s.planned })
}

// Stopping reports whether a planned trouble of subject lasted at some moment in
// [from, to].
func (l *FaultLog) PlannedBetween(subject string, from, to time.Time) bool {
	return l.any(subject, from, to, func(s *faultPeriod) bool { return s.planned })
}

func (l *FaultLog) any(subject string, from, to time.Time, matches func(*faultPeriod) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.periods[subject] {
		if matches(s) && !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
			return true
		}
	}
	return false
}
