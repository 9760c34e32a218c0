// Package typos suggests corrections for misspelled names.
package typos

import (
	"fmt"

	"github.com/agnivade/levenshtein"
)

// maxDistance is the maximum Levenshtein distance between an unknown name and a
// suggested one.
const maxDistance = 3

// Suggest returns a text such as `, did you mean "callers"?` with the known name
// that is most similar to the given one. It returns "" if none is similar enough.
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
