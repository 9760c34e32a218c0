// Package story runs scenarios on a small fleet in memory and writes a transcript
// of them: who did what, when and why. The fleet has the real entries, coordinators and
// senders; its links, voters and backend servers are fakes that the scenario
// controls. Run it under the fake clock of testing/synctest, which makes the
// transcript reproducible.
package story

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Transcript collects the log lines of a scenario. It is safe for concurrent use.
type Transcript struct {
	mu    sync.Mutex
	begun bool
	start time.Time
	lines []string
	title string
}

// Begin sets the title, starts the clock of the transcript and drops earlier lines.
func (s *Transcript) Begin(title string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun, s.start, s.title, s.lines = true, time.Now(), title, nil
}

// Logf adds a line with the time since Begin, who acts and what they do. Before
// Begin it does nothing.
func (s *Transcript) Logf(who, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun {
		return
	}
	passed := float64(time.Since(s.start).Microseconds()) / 1000
	s.lines = append(s.lines, fmt.Sprintf("%9.2f ms  %-15s %s\n", passed, who, fmt.Sprintf(format, args...)))
}

// Text returns the title and the lines so far.
func (s *Transcript) Text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.title + "\n\n" + strings.Join(s.lines, "")
}
