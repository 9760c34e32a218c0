package hedge

import (
	"math"
	"time"
)

const (
	// quorumShare is the share of the sub-requests of a search after whose answers the
	// latency of the others can be predicted, since all shards do similar work.
	quorumShare = 0.75
	// The other sub-requests are overdue at quorumFactor times the latency of the quorum
	// plus quorumSlack.
	quorumFactor = 1.5
	quorumSlack  = 3 * time.Millisecond
)

// Quorum returns how many of count sub-requests must be answered before OverdueAfter
// applies to the others.
func Quorum(count int) int {
	return max(int(math.Ceil(quorumShare*float64(count))), 1)
}

// OverdueAfter returns the time since the start of a search after which unanswered
// sub-requests are overdue, given the time from the start to the quorum.
func OverdueAfter(quorumLatency time.Duration) time.Duration {
	return time.Duration(quorumFactor*float64(quorumLatency)) + quorumSlack
}
