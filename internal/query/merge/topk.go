// Package merge combines the hits of the shards of one search.
package merge

import (
	"cmp"
	"math"
	"slices"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// initialHits is the greatest number of hits to make room for in advance.
const initialHits = 64

// TopK keeps the best hits by descending score and then ascending id, and
// notes which shards have answered. It is not safe for concurrent use.
type TopK struct {
	limit    int
	heap     []msgs.Hit
	answered []uint64
	count    int
}

// NewTopK returns an empty TopK that keeps limit hits of the given number of
// shards.
func NewTopK(limit, shards int) *TopK {
	return &TopK{
		limit:    limit,
		heap:     make([]msgs.Hit, 0, min(max(limit, 0), initialHits)),
		answered: make([]uint64, (shards+63)/64),
	}
}

// Add merges the answer of one shard. It returns false, and merges nothing, if
// the shard has answered before or is out of range.
func (t *TopK) Add(shard ident.Shard, hits []msgs.Hit) bool {
	word, bit := int(shard/64), uint64(1)<<(shard%64)
	if word >= len(t.answered) || t.answered[word]&bit != 0 {
		return false
	}
	t.answered[word] |= bit
	t.count++
	for i := range hits {
		t.offer(&hits[i])
	}
	return true
}

// Answered returns the number of shards that were merged.
func (t *TopK) Answered() int {
	return t.count
}

// Hits sorts and returns the hits, never nil. Add must not be called afterwards.
func (t *TopK) Hits() []msgs.Hit {
	slices.SortFunc(t.heap, func(a, b msgs.Hit) int { return compare(&a, &b) })
	return t.heap
}

// offer keeps hit if it is among the best. The worst kept hit is at the root
// of the heap.
func (t *TopK) offer(hit *msgs.Hit) {
	switch {
	case t.limit <= 0:
	case len(t.heap) < t.limit:
		t.heap = append(t.heap, *hit)
		t.up(len(t.heap) - 1)
	case compare(hit, &t.heap[0]) < 0:
		t.heap[0] = *hit
		t.down(0)
	}
}

func (t *TopK) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compare(&t.heap[i], &t.heap[parent]) <= 0 {
			return
		}
		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

func (t *TopK) down(i int) {
	for {
		worst := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(t.heap); child++ {
			if compare(&t.heap[child], &t.heap[worst]) > 0 {
				worst = child
			}
		}
		if worst == i {
			return
		}
		t.heap[i], t.heap[worst] = t.heap[worst], t.heap[i]
		i = worst
	}
}

// compare orders better hits first. A score that is not a number is the worst.
func compare(a, b *msgs.Hit) int {
	if byScore := cmp.Compare(rank(b.Score), rank(a.Score)); byScore != 0 {
		return byScore
	}
	return cmp.Compare(a.ID, b.ID)
}

func rank(score float64) float64 {
	if math.IsNaN(score) {
		return math.Inf(-1)
	}
	return score
}
