package hedge

import (
	"math"
	"time"
)

const (
	// quorumShare is the share of the sub-requests of a search whose answers tell how
	// long it takes; its shards ask for similar work.
	quorumShare = 0.75
	// quorumFactor and quorumSlack give the time after which the others are overdue,
	// from the time that the quorum took.
	quorumFactor = 1.5
	quorumSlack  = 3 * time.Millisecond
)

// Quorum returns the number of answers to count sub-requests that tell when the others
// are overdue.
func Quorum(count int) int {
	return max(int(math.Ceil(quorumShare*float64(count))), 1)
}

// OverdueAfter returns the time from the start of a search after which sub-requests are
// overdue, given the time that its quorum took.
func OverdueAfter(took time.Duration) time.Duration {
	return time.Duration(quorumFactor*float64(took)) + quorumSlack
}
