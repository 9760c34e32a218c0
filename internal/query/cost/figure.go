package cost

import (
	"math"
	"math/bits"
	"time"
)

const (
	// fadeBuckets octaves of age, of which the first ends at minFadeAge.
	fadeBuckets = 11
	minFadeAge  = 4 * time.Millisecond
	// fadeDecay is the factor by which a pair of figures reduces the weight of older ones of
	// that age, and fadePrior the number of pairs as which the assumed fade counts at first.
	fadeDecay = 0.998
	fadePrior = 8
	// priorFade is the assumed time constant: servers change many times a second.
	priorFade = 100 * time.Millisecond
	// shortestFade and fadeSteps octaves bound the time constants that are tried, in half octaves.
	shortestFade = 10 * time.Millisecond
	fadeSteps    = 16
	// fadeRefresh is the number of figures between two fits.
	fadeRefresh = 16
	// minSignal is the least part of the variance that is taken for lasting differences.
	minSignal = 0.05
	// meanWeight is the weight of one figure in the mean of a server, and commonWeight that
	// in the mean of all.
	meanWeight   = 0.05
	commonWeight = 0.01
	// meanDecay is the time constant with which the mean of a server that gets no requests
	// returns to that of all, so that it is tried again.
	meanDecay = 10 * time.Second
)

// fade learns what a figure that servers report of themselves is still worth at some age,
// from pairs of successive reports of one server. It fits signal * exp(-age/tau) to their
// correlation: signal is the part of the variance that lasts at all, and the rest is noise
// of the single report, such as its own age when it arrives.
type fade struct {
	products, squares [fadeBuckets]float64
	mean, variance    float64
	// least is the least value that is expected.
	least       float64
	signal, tau float64
	// reports and pairs count what was recorded.
	reports, pairs int
}

// newFade returns a fade that assumes a figure with a mean of 1 and this variance.
func newFade(variance, least float64) fade {
	f := fade{mean: 1, variance: variance, least: least}
	for i := range fadeBuckets {
		f.squares[i] = fadePrior * variance
		f.products[i] = f.squares[i] * math.Exp(-fadeAge(i)/float64(priorFade))
	}
	f.fit()
	return f
}

func fadeBucket(age time.Duration) int {
	return min(bits.Len64(uint64(max(age, 0)/minFadeAge)), fadeBuckets-1)
}

// fadeAge returns an age in the middle of a bucket, in nanoseconds.
func fadeAge(bucket int) float64 {
	return 0.75 * float64(minFadeAge<<bucket)
}

// fadeTau returns a time constant that is tried, in nanoseconds.
func fadeTau(step int) float64 {
	return float64(shortestFade) * math.Exp2(float64(step)/2)
}

// fadeCurves holds exp(-age/tau) by time constant and age.
var fadeCurves = func() (curves [fadeSteps][fadeBuckets]float64) {
	for step := range fadeSteps {
		for i := range fadeBuckets {
			curves[step][i] = math.Exp(-fadeAge(i) / fadeTau(step))
		}
	}
	return curves
}()

// weight returns the weight of the latest report in the mean and variance of all.
func (f *fade) weight() float64 {
	return max(commonWeight, 1/float64(1+f.reports))
}

// add records the deviations from the mean of two reports that are age apart.
func (f *fade) add(age time.Duration, older, newer float64) {
	i := fadeBucket(age)
	f.products[i] = fadeDecay*f.products[i] + older*newer
	f.squares[i] = max(fadeDecay*f.squares[i]+(older*older+newer*newer)/2, minVariance)
	if f.pairs++; f.pairs%fadeRefresh == 0 {
		f.fit()
	}
}

// fit chooses the time constant and the signal with the least squared error.
func (f *fade) fit() {
	best := math.Inf(1)
	for step := range fadeSteps {
		curve := &fadeCurves[step]
		var cross, norm float64
		for i := range fadeBuckets {
			cross += f.products[i] * curve[i]
			norm += f.squares[i] * curve[i] * curve[i]
		}
		signal := min(max(cross/norm, minSignal), 1)
		failure := 0.0
		for i := range fadeBuckets {
			residual := f.products[i]/f.squares[i] - signal*curve[i]
			failure += f.squares[i] * residual * residual
		}
		if failure < best {
			best, f.signal, f.tau = failure, signal, fadeTau(step)
		}
	}
}

// noise returns the variance of the noise of a report, relative to that of the signal.
func (f *fade) noise() float64 {
	return (1 - f.signal) / f.signal
}

// figure is the estimate of a figure that a server reports of itself: a Kalman filter of a
// deviation from the mean that fades exponentially.
type figure struct {
	reported, mean float64
	// deviation is the estimate as of at, and uncertainty its variance, relative to that of
	// the signal.
	deviation, uncertainty float64
	at                     time.Time
}

func (g *figure) known() bool { return !g.at.IsZero() }

// report records a value as of at. Older ones than the last are ignored.
func (g *figure) report(f *fade, at time.Time, value float64) {
	if g.known() && !at.After(g.at) {
		return
	}
	f.reports++
	f.mean += f.weight() * (value - f.mean)
	mean := g.meanAt(f, at)
	deviation := value - mean
	f.variance += f.weight() * (deviation*deviation - f.variance)
	if g.known() {
		f.add(at.Sub(g.at), g.reported-mean, deviation)
	}
	g.deviation, g.uncertainty = g.predict(f, at)
	g.measure(deviation, f.noise())
	g.mean = mean + meanWeight*deviation
	g.deviation -= meanWeight * deviation
	g.reported, g.at = value, at
}

// measure corrects the estimate by a measured deviation whose noise has this variance,
// relative to that of the signal.
func (g *figure) measure(deviation, noise float64) {
	if g.uncertainty <= 0 {
		return
	}
	gain := g.uncertainty / (g.uncertainty + noise)
	g.deviation += gain * (deviation - g.deviation)
	g.uncertainty *= 1 - gain
}

// predict returns the deviation and its uncertainty at a time.
func (g *figure) predict(f *fade, at time.Time) (deviation, uncertainty float64) {
	if !g.known() {
		return 0, 1
	}
	kept := math.Exp(-float64(max(at.Sub(g.at), 0)) / f.tau)
	return kept * g.deviation, 1 - kept*kept*(1-g.uncertainty)
}

// meanAt returns the mean of the server's figure, which returns to that of all servers.
func (g *figure) meanAt(f *fade, now time.Time) float64 {
	if !g.known() {
		return f.mean
	}
	age := max(now.Sub(g.at), 0)
	return f.mean + (g.mean-f.mean)/(1+float64(age)/float64(meanDecay))
}

// expect returns the expected value at a time, and its variance.
func (g *figure) expect(f *fade, at time.Time) (value, variance float64) {
	deviation, uncertainty := g.predict(f, at)
	return max(g.meanAt(f, at)+deviation, f.least), uncertainty * f.signal * f.variance
}
