package roll

import "time"

const (
	// stepPart is the part of the duration for which each share of movingShares lasts at least, and
	// minStep and stepPerVM for each VM its minimum: one interval until all VMs know the share, one
	// until they have reported responses, and a half to see some.
	stepPart  = 0.04
	minStep   = 700 * time.Millisecond
	stepPerVM = 5 * time.Millisecond
	// weakestBad is the additional rate of bad responses of the weakest bad version that a roll-out
	// has to find.
	weakestBad = 0.08
	// provenLikelihood is the log-likelihood ratio at which a version is taken as one that is like
	// the others: they explain its responses 20 times better than weakestBad.
	provenLikelihood = -3
	// badLikelihood is the ratio from which on a version is rolled back if no time is left, and
	// badGrownLikelihood that of the responses since the share grew. These are few, so that 4 bad ones
	// of 54 happen with good versions, too.
	badLikelihood, badGrownLikelihood = 1, 2.5
	// reservePart is the part of drainShare that is used if the responses are not enough to decide.
	reservePart = 0.5
	// slackPart is the part of the slack that a growing share may use. The rest covers random
	// balances at the start, and requests from before VMs know of the order.
	slackPart = 0.5
	// lagIntervals is the number of intervals between reports after which a smaller share takes
	// effect and shows in the counts.
	lagIntervals = 2
)

// movingShares are the shares of the requests that the new version gets while it is moving.
var movingShares = [...]float64{0.3, 0.6, 1}

// growth is the progress of a version whose share grows.
type growth struct {
	// begun is set once this VM knows the counts of all VMs, and step the index in movingShares
	// since then, begun at since.
	begun bool
	step  int
	since time.Duration
	// proven is set while the responses say that the version is like the others.
	proven bool
	// held is set once the responses up to the bound on the exposure were not enough to prove the
	// version. Its share doesn't grow further until they are.
	held bool
	// target and others are the numbers of responses, and recent is that of all recent ones.
	target, others, recent uint32
}

// note records what the responses say about the version.
func (g *growth) note(whole, late, grown *verdict) {
	g.target, g.others = whole.pooled.target.Total, whole.pooled.others.Total
	g.recent = late.pooled.target.Total + late.pooled.others.Total
	g.proven = g.step > 0 && !whole.suspect && !late.suspect && !grown.suspect
}

// stepTime returns the shortest time for which a share lasts.
func (d *Decider) stepTime() time.Duration {
	return max(time.Duration(stepPart*float64(d.order.Duration)), minStep, time.Duration(d.members)*stepPerVM)
}

// beginStep notes that the share has grown.
func (d *Decider) beginStep(now time.Duration, step int) {
	d.growth.begun, d.growth.step, d.growth.since = true, step, now
	d.closePeriod(now)
	d.sinceGrowth = nil
}

// grow decides about the next share of a moving version. The first share lasts until the responses
// show that the version isn't the weakest bad one: the others would exceed the bound on the
// exposure of one that is bad. With no time left it is decided for what is more likely.
func (d *Decider) grow(now time.Duration, doubtful bool, whole, grown *verdict) (Phase, string) {
	g := &d.growth
	if !g.begun {
		d.beginStep(now, 0)
		return "", ""
	}
	objection, isOpen := objectionTo(whole, grown), g.step == 0 && !isProven(whole, grown)
	over := now >= d.lastMomentFor(isOpen && objection == "")
	isShort := now-g.since < d.stepTime() && (g.step == 0 || !over)
	switch {
	case doubtful || isShort || (isOpen || objection != "") && !over:
		return "", ""
	case objection != "":
		return DrainingNew, "no time left to be sure: " + objection
	case over || g.step == len(movingShares)-1:
		return DrainingOld, "as good as the other versions on each route"
	default:
		d.beginStep(now, d.nextStep(now))
		return "", ""
	}
}

// isProven reports whether the responses show that the version is like the others.
func isProven(whole, grown *verdict) bool {
	return max(whole.pooled.likelihood(), grown.pooled.likelihood()) <= provenLikelihood
}

// objectionTo describes responses that are more likely those of a bad version, or returns "".
func objectionTo(whole, grown *verdict) string {
	switch {
	case whole.pooled.likelihood() > badLikelihood:
		return whole.pooled.describe(allRoutes)
	case grown.pooled.likelihood() > badGrownLikelihood:
		return "since the share grew, " + grown.pooled.describe(allRoutes)
	default:
		return ""
	}
}

// lastMomentFor returns the time at which the draining of a moving version has to begin. If the
// responses are not enough to decide, it waits for more.
func (d *Decider) lastMomentFor(isOpen bool) time.Duration {
	if isOpen {
		return d.lastMoment() + time.Duration(reservePart*drainShare*float64(d.order.Duration))
	}
	return d.lastMoment()
}

// nextStep returns the next step, which is the last one if there is time for only one.
func (d *Decider) nextStep(now time.Duration) int {
	if now >= d.lastMoment()-d.stepTime() {
		return len(movingShares) - 1
	}
	return d.growth.step + 1
}

// movingShare returns the share of a moving version. Once a larger one would exceed the bound on the
// exposure, it is that of an exposed version, which is noted in held until the version is proven.
func (d *Decider) movingShare(now time.Duration) float64 {
	g := &d.growth
	exposed := exposingShare * d.bounds.Share
	if !g.begun {
		return exposed
	}
	share := movingShares[g.step]
	if g.proven {
		return share
	}
	rate := max(float64(g.target+g.others)/max((now-d.began).Seconds(), 1), float64(g.recent)/max(now-d.recentSince, periodTime).Seconds())
	ahead := rate * lagIntervals * d.bounds.interval(d.members).Seconds()
	room := d.bounds.Share*(float64(g.target+g.others)+ahead) + slackPart*d.bounds.Slack - float64(g.target)
	if !g.held && share*ahead > room {
		g.held = true
		d.closePeriod(now)
	}
	if g.held {
		return exposed
	}
	return share
}
