package cost

import "math"

const (
	// ratioBuckets half octaves from minRatio upwards cover ratios up to 32.
	ratioBuckets = 16
	minRatio     = 0.125
	// ratioDecay is the factor by which a sample reduces the weight of the older ones: the
	// distribution covers about the last 1000.
	ratioDecay = 0.999
	// ratioRefresh is the number of samples between two computations of the remainders.
	ratioRefresh = 16
	// usualShare is the share of the requests that stay within the usual ratio.
	usualShare = 0.995
)

// ratios is the distribution of the actual cost of requests, relative to their estimate.
type ratios struct {
	counts [ratioBuckets]float64
	// remainder holds the mean of ratio - r over the ratios above the lower limit r of each
	// bucket, and usual the ratio that few requests exceed.
	remainder [ratioBuckets]float64
	usual     float64
	added     int
}

// newRatios returns a distribution that expects ratios of about 1, and few greater ones.
func newRatios() ratios {
	var r ratios
	r.counts[bucketOf(0.75)], r.counts[bucketOf(1)], r.counts[bucketOf(4)] = 4, 4, 0.1
	r.refresh()
	return r
}

func bucketOf(ratio float64) int {
	if ratio <= minRatio {
		return 0
	}
	fraction, exponent := math.Frexp(ratio / minRatio)
	bucket := 2 * (exponent - 1)
	if fraction >= math.Sqrt2/2 {
		bucket++
	}
	return min(bucket, ratioBuckets-1)
}

func lowerLimit(bucket int) float64 {
	return minRatio * math.Exp2(float64(bucket)/2)
}

func (r *ratios) add(ratio, weight float64) {
	for i := range r.counts {
		r.counts[i] *= ratioDecay
	}
	r.counts[bucketOf(ratio)] += weight
	if r.added++; r.added%ratioRefresh == 0 {
		r.refresh()
	}
}

func (r *ratios) refresh() {
	total, above, sum := 0.0, 0.0, 0.0
	for _, count := range r.counts {
		total += count
	}
	r.usual = 0
	for i := ratioBuckets - 1; i >= 0; i-- {
		low := lowerLimit(i)
		above += r.counts[i]
		sum += r.counts[i] * low * (1 + math.Sqrt2) / 2
		if r.usual == 0 && above > (1-usualShare)*total {
			r.usual = lowerLimit(i + 1)
		}
		// Without data, a request that has run for so long is expected to run as long again.
		r.remainder[i] = low
		if above > 1e-3*total/ratioBuckets {
			r.remainder[i] = sum/above - low
		}
	}
}

// remaining returns the mean remaining cost, relative to the estimate, of a request on which
// the server has done the work done.
func (r *ratios) remaining(done float64) float64 {
	if done <= minRatio {
		return max(1-done, 0)
	}
	bucket := bucketOf(done)
	if bucket == ratioBuckets-1 {
		return done
	}
	return r.remainder[bucket]
}
