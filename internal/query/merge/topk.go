// Package merge combines the answers of the shards of one search.
package merge

import (
	"cmp"
	"math"
	"slices"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// maxInitialHits bounds the number of hits for which memory is allocated in advance.
const maxInitialHits = 64

// TopK keeps the best hits by descending score and then ascending id, and
// records which shards have answered. It is not safe for concurrent use.
type TopK struct {
	limit int
	// heap is a binary heap with the worst hit at its root.
	heap []msgs.Hit
	// answered is a bit set of shards, and answeredCount the number of its members.
	answered      []uint64
	answeredCount int
	// copies is set while the documents of hits are copied.
	copies bool
}

// NewTopK returns an empty TopK that keeps up to limit hits of the shards from 0 to
// shards-1.
func NewTopK(limit, shards int) *TopK {
	return &TopK{
		limit:    limit,
		heap:     make([]msgs.Hit, 0, min(max(limit, 0), maxInitialHits)),
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
	t.answeredCount++
	for i := range hits {
		t.insert(&hits[i])
	}
	return true
}

// AddCopy is like Add but copies the documents of the hits that it keeps, so that the memory of
// the answer can be given back.
func (t *TopK) AddCopy(shard ident.Shard, hits []msgs.Hit) bool {
	t.copies = true
	defer func() { t.copies = false }()
	return t.Add(shard, hits)
}

// Size returns the size of the hits in bytes.
func (t *TopK) Size() int {
	return msgs.SizeOfHits(t.heap)
}

// Answered returns the number of shards whose answers were merged.
func (t *TopK) Answered() int {
	return t.answeredCount
}

// Hits returns the hits, best first. The slice is never nil. Add must not be called
// afterwards, since Hits sorts the heap in place.
func (t *TopK) Hits() []msgs.Hit {
	slices.SortFunc(t.heap, func(a, b msgs.Hit) int { return compare(&a, &b) })
	return t.heap
}

// insert adds hit if there is room or it is better than the worst hit, which it then
// replaces.
func (t *TopK) insert(hit *msgs.Hit) {
	switch {
	case t.limit <= 0:
	case len(t.heap) < t.limit:
		t.heap = append(t.heap, t.keep(hit))
		t.siftUp(len(t.heap) - 1)
	case compare(hit, &t.heap[0]) < 0:
		t.heap[0] = t.keep(hit)
		t.siftDown(0)
	}
}

// keep returns the hit, with a copy of its document while copies is set.
func (t *TopK) keep(hit *msgs.Hit) msgs.Hit {
	kept := *hit
	if t.copies {
		kept.Doc = slices.Clone(kept.Doc)
	}
	return kept
}

func (t *TopK) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compare(&t.heap[i], &t.heap[parent]) <= 0 {
			return
		}
		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

func (t *TopK) siftDown(i int) {
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

// compare orders better hits first. NaN is the worst score.
func compare(a, b *msgs.Hit) int {
	if byScore := cmp.Compare(comparableScore(b.Score), comparableScore(a.Score)); byScore != 0 {
		return byScore
	}
	return cmp.Compare(a.ID, b.ID)
}

func comparableScore(score float64) float64 {
	if math.IsNaN(score) {
		return math.Inf(-1)
	}
	return score
}
