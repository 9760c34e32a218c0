package roll

import (
	"math"
	"time"
)

const (
	// TimeClasses is the number of classes of response times. The first one ends at
	// firstClassEnd, and each ends at classFactor times the end of the one before: the last but
	// one at 2.2 s.
	TimeClasses   = 20
	firstClassEnd = time.Millisecond
	classFactor   = 1.5
	// slowFactor is how many times slower than the median of the other versions a response is
	// that counts as bad, and slowMargin what is added: a delay of a few milliseconds is that
	// of a busy VM.
	slowFactor = 2.5
	slowMargin = 5 * time.Millisecond
)

// Tally counts failures, and the other responses by time.
type Tally struct {
	Failed uint32
	Times  [TimeClasses]uint32
}

// AddFailure counts a failure.
func (t *Tally) AddFailure() {
	t.Failed++
}

// AddTime counts a response that took some time.
func (t *Tally) AddTime(took time.Duration) {
	class := 0
	for end := firstClassEnd; took >= end && class < TimeClasses-1; class++ {
		end = time.Duration(classFactor * float64(end))
	}
	t.Times[class]++
}

func (t *Tally) add(o *Tally) {
	t.Failed += o.Failed
	for i := range t.Times {
		t.Times[i] += o.Times[i]
	}
}

// since returns what was counted after an earlier tally.
func (t *Tally) since(earlier *Tally) Tally {
	d := Tally{Failed: t.Failed - min(earlier.Failed, t.Failed)}
	for i := range t.Times {
		d.Times[i] = t.Times[i] - min(earlier.Times[i], t.Times[i])
	}
	return d
}

// timed returns the number of responses with a time.
func (t *Tally) timed() uint32 {
	sum := uint32(0)
	for _, n := range t.Times {
		sum += n
	}
	return sum
}

// total returns the number of responses.
func (t *Tally) total() uint32 {
	return t.Failed + t.timed()
}

// bad returns the number of responses that are failures or in a class from slow on.
func (t *Tally) bad(slow int) uint32 {
	sum := t.Failed
	for _, n := range t.Times[slow:] {
		sum += n
	}
	return sum
}

// slowClass returns the first class of responses that are slow compared to those of the tally,
// or TimeClasses if there are too few to tell.
func (t *Tally) slowClass() int {
	if t.timed() < minReference {
		return TimeClasses
	}
	half, sum, begin, end := float64(t.timed())/2, 0.0, float64(firstClassEnd)/classFactor, float64(firstClassEnd)
	median := end
	for _, n := range t.Times {
		if sum+float64(n) >= half {
			median = begin * math.Pow(end/begin, (half-sum)/float64(n))
			break
		}
		sum += float64(n)
		begin, end = end, end*classFactor
	}
	limit := slowFactor*median + float64(slowMargin)
	class := 1
	for end := float64(firstClassEnd); end < limit && class < TimeClasses; class++ {
		end *= classFactor
	}
	return class
}
