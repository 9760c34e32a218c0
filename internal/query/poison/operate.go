package poison

import (
	"bytes"
	"slices"
	"time"
)

// Lift ends the quarantine of a request, for an operator. It returns false if nothing is
// known of the request.
func (l *Ledger) Lift(now time.Time, f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil {
		return false
	}
	before := e.state(now)
	e.pinned, e.liftedAt, e.usedAt = false, now, now
	e.acquit(now)
	l.report(now, f, e, before, "lifted by an operator")
	l.publish(f, e)
	return true
}

// Pin quarantines a request until it is lifted, for an operator.
func (l *Ledger) Pin(now time.Time, f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, f)
	before := e.state(now)
	e.quarantine(now, l.options.Hold)
	e.pinned = true
	l.report(now, f, e, before, "pinned by an operator")
	l.publish(f, e)
}

// Counts returns the number of entries in each state.
func (l *Ledger) Counts(now time.Time) map[State]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[State]int{}
	for _, e := range l.entries {
		counts[e.state(now)]++
	}
	return counts
}

// Status describes one request for operators.
type Status struct {
	Fingerprint Fingerprint `json:"request"`
	State       State       `json:"state"`
	Label       string      `json:"label"`
	Servers     []string    `json:"servers"`
	// Since is how long ago the quarantine began, Left the time until a trial. They are
	// empty unless the request is quarantined, and Left is "pinned" if an operator pinned it.
	Since   string `json:"since"`
	Left    string `json:"left"`
	Refused int    `json:"refused"`
}

// pinnedText stands for the time left of a quarantine that an operator ordered.
const pinnedText = "pinned"

// List returns the requests that are suspect or quarantined, the strongest state first.
func (l *Ledger) List(now time.Time) []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := []Status{}
	for f, e := range l.entries {
		s := Status{Fingerprint: f, State: e.state(now), Label: e.label, Servers: []string{}, Refused: e.refused}
		if s.State == Clear {
			continue
		}
		for _, known := range e.ends {
			s.Servers = append(s.Servers, string(known.process.ID))
		}
		if s.State == Quarantined {
			s.Since = now.Sub(e.quarantinedAt).Round(time.Millisecond).String()
			s.Left = l.retryAfter(now, e).Round(time.Millisecond).String()
		}
		if e.pinned {
			s.Left = pinnedText
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Status) int {
		if a.State != b.State {
			return int(b.State) - int(a.State)
		}
		return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return list
}
