package strict

import (
	"fmt"
	"strings"
)

// Fault is one error in a file.
type Fault struct {
	// Line is the line number, counted from 1. It is 0 for a fault of the file
	// as a whole, such as a missing section.
	Line int
	// Section and Key are empty if the fault concerns no section or key.
	Section string
	Key     string
	// Problem describes the error.
	Problem string
	// Allowed describes what is valid instead. It may be empty.
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

// Faults is the error that lists all faults of a file, sorted by line.
type Faults []Fault

// Error returns the faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, fault := range fs {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
