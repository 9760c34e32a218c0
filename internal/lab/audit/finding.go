// Package audit checks the recorded histories of runs for violations. Each
// checker decides one property from the history alone.
package audit

import (
	"fmt"
	"strings"

	"github.com/samphirestair/samphirestair/internal/core/plugin"
)

// Verdict is the result of a checker.
type Verdict string

// Verdicts.
const (
	// Held means that at least one event could have violated the property and
	// none did.
	Held Verdict = "held"
	// Broken means that the history shows a violation.
	Broken Verdict = "broken"
	// NotExercised means that no event could have violated the property.
	NotExercised Verdict = "not exercised"
)

// maxEvidence is the largest number of violations that a finding describes.
const maxEvidence = 10

// Finding is the result of one checker on one history.
type Finding struct {
	Property string
	Verdict  Verdict
	// Events is the number of events that could have violated the property.
	Events int
	// Violations is the number of all violations. Evidence describes the first
	// maxEvidence of them, one per line.
	Violations int
	Evidence   []string
}

// String returns the finding on one line, followed by a line for each item of
// Evidence.
func (f Finding) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "property: %s %s events=%d", f.Property, f.Verdict, f.Events)
	if f.Violations > 0 {
		fmt.Fprintf(&text, " violations=%d", f.Violations)
	}
	for _, line := range f.Evidence {
		fmt.Fprintf(&text, "\n  %s", line)
	}
	return text.String()
}

// tally counts the events and violations that a checker finds.
type tally struct {
	events     int
	violations int
	evidence   []string
}

// countEvent counts an event that could have violated the property.
func (t *tally) countEvent() {
	t.events++
}

// violationf counts a violation and keeps its description if there are fewer
// than maxEvidence so far.
func (t *tally) violationf(format string, args ...any) {
	t.violations++
	if len(t.evidence) < maxEvidence {
		t.evidence = append(t.evidence, fmt.Sprintf(format, args...))
	}
}

func (t *tally) finding(property string) Finding {
	f := Finding{Property: property, Verdict: Held, Events: t.events, Violations: t.violations, Evidence: t.evidence}
	switch {
	case t.violations > 0:
		f.Verdict = Broken
	case t.events == 0:
		f.Verdict = NotExercised
	}
	return f
}

// Checker adds to the tally the events of the history that could violate its
// property, and the violations.
type Checker func(h *History, t *tally)

var checkers = plugin.NewRegistry[Checker]("checker")

// Names returns the names of the properties in ascending order.
func Names() []string {
	return checkers.Names()
}

// Check runs the checker of the named property. It returns an error if the
// property is unknown.
func Check(property string, h *History) (Finding, error) {
	checker, err := checkers.Lookup(property)
	if err != nil {
		return Finding{}, err
	}
	var t tally
	checker(h, &t)
	return t.finding(property), nil
}
