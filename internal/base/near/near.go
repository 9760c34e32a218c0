// Package near finds the known name that somebody may have meant.
package near

import (
	"fmt"

	"github.com/agnivade/levenshtein"
)

// maxDistance is the number of edits up to which a known name is suggested in
// place of an unknown one.
const maxDistance = 3

// Suggest returns ", did you mean" with the known name nearest to the given one, or
// nothing if none is near.
func Suggest(name string, known []string) string {
	best, distance := "", maxDistance+1
	for _, candidate := range known {
		if d := levenshtein.ComputeDistance(name, candidate); d < distance {
			best, distance = candidate, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", best)
}
