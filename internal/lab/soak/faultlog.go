package soak

import (
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Store is the subject of faults of the store.
const Store = "store"

// Partition returns the subject of partitions of a VM from all backend servers. The VM
// itself counts as undisturbed meanwhile.
func Partition(vm ident.VMID) string {
	return "servers of " + string(vm)
}

// Links returns the subject of faults of the links to a backend server, as opposed to those of
// the server itself.
func Links(server ident.ServerID) string {
	return "links to " + string(server)
}

// FaultLog records when VMs, backend servers and the store were affected by faults.
// It is safe for concurrent use.
type FaultLog struct {
	mu      sync.Mutex
	periods map[string][]*faultPeriod
}

// faultPeriod is a period in which a subject is affected by a fault. The end is zero
// while it lasts.
type faultPeriod struct {
	from, to time.Time
	planned  bool
}

// NewFaultLog returns an empty log.
func NewFaultLog() *FaultLog {
	return &FaultLog{periods: map[string][]*faultPeriod{}}
}

// Begin records that a fault of subject begins, and returns a function that records
// its end. planned is set for planned stops, which excuse fewer exceptions.
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

// NoneBetween reports whether subject had no fault in [from, to].
func (l *FaultLog) NoneBetween(subject string, from, to time.Time) bool {
	return !l.any(subject, from, to, func(*faultPeriod) bool { return true })
}

// NoUnplannedBetween is like NoneBetween, but ignores planned faults.
func (l *FaultLog) NoUnplannedBetween(subject string, from, to time.Time) bool {
	return !l.any(subject, from, to, func(s *faultPeriod) bool { return !s.planned })
}

// PlannedBetween reports whether subject had a planned fault at some moment in
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
