// Package story runs sessions of a small fleet in memory and tells them as
// text: who did what, when and why. The fleet has the real entries, homes and
// senders; its links, voters and backend servers follow a script. It is meant
// for the fake clock of testing/synctest.
package story

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Story collects the lines of a session. It is safe for concurrent use.
type Transcript struct {
	mu    sync.Mutex
	begun bool
	start time.Time
	lines []string
	title string
}

// Begin starts the story. What was told before is forgotten.
func (s *Transcript) Begin(title string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun, s.start, s.title, s.lines = true, time.Now(), title, nil
}

// Tellf adds a line that says what somebody does at this moment.
func (s *Transcript) Logf(who, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun {
		return
	}
	passed := float64(time.Since(s.start).Microseconds()) / 1000
	s.lines = append(s.lines, fmt.Sprintf("%9.2f ms  %-15s %s\n", passed, who, fmt.Sprintf(format, args...)))
}

// Text returns the story so far.
func (s *Transcript) Text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.title + "\n\n" + strings.Join(s.lines, "")
}
