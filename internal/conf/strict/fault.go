package strict

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a file.
type Fault struct {
	// Line is counted from 1. It is 0 for something that is missing from the
	// file as a whole.
	Line int
	// Section and Key are empty where the fault concerns no section or key.
	Section string
	Key     string
	// Problem says what is wrong.
	Problem string
	// Allowed says what would be right, or is empty.
	Allowed string
}

// String returns the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Problem)
	if f.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", f.Allowed)
	}
	return b.String()
}

// Faults is everything that is wrong with a file, in the order of its lines.
type Faults []Fault

// Error returns the faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, fault := range fs {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
