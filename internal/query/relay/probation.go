package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

const (
	// maxEnds is the number of servers that may end while they run a request that no server
	// has answered, before it gets no more attempts. A single end is probably a coincidence.
	maxEnds = 2
	// harmfulEnds is the number of ended servers from which on the remaining attempts of
	// such a request are cancelled, once most requests would have an answer.
	harmfulEnds = 3
	// trialPause is the time after the end of a server for which a request that may have caused
	// it is tried only where the end of the next one would tell, and, if it is not a search, that
	// leaves another server. Most servers are back by then.
	trialPause = 10 * time.Second
	// trustedPause replaces trialPause for a request that servers have answered lately: after it, the
	// request is tried even where the end of a server would prove nothing. At most one server a
	// second may end that way.
	trustedPause = time.Second
	// redundantServers is the number of servers from which on the end of one leaves others.
	redundantServers = 2
	// sharedPenalty is added to the expected completion time of a server, for the choice of
	// the server for a trial, for each request that it has, and uncertainPenalty if its end
	// might not be put down to the trial.
	sharedPenalty    = 100 * time.Millisecond
	uncertainPenalty = time.Second
	// checkInterval is the time between two checks whether repeats of the request have ended
	// servers elsewhere.
	checkInterval = 20 * time.Millisecond
)

// probation is what a query knows about the harm that its request does to backend servers.
// Until a server has answered it, it goes to few servers besides those that it was first
// sent to.
type probation struct {
	// answeredOnce is set once a server has answered the request.
	answeredOnce bool
	// ended counts the attempts whose server ended, and lost those without an answer, whose
	// server may have ended.
	ended, lost int
	// probationEnd is when most requests would have an answer, and checkedAt when harm was
	// last checked after that.
	probationEnd, checkedAt time.Time
	// hedgesFrom is the time from which a search is hedged that no shard has answered: its
	// servers count as silent then.
	hedgesFrom time.Time
}

// observe records what a reply says about the request.
func (p *probation) observe(reply Reply) {
	if reply.Kind == Served {
		p.answeredOnce = true
	}
	switch {
	case reply.Ended:
		p.ended++
	case reply.Kind == Ambiguous:
		p.lost++
	default:
	}
}

// Cleared reports whether a server has answered the request, so that the end of others is
// probably not its fault.
func (q *Query) Cleared() bool {
	return q.answeredOnce
}

// EndsServers reports whether servers ended while they ran the request and none answered it.
func (q *Query) EndsServers() bool {
	return q.ended > 0 && !q.answeredOnce
}

// usualDelay returns the time within which most requests of the route get a first answer.
func (q *Query) usualDelay() time.Duration {
	delay, ok := q.hedgeDelay()
	if longest := q.maxHedgeDelay(); longest > 0 && (!ok || delay > longest) {
		return longest
	}
	return delay
}

// isBroad reports whether so many servers get the request that the first answers are
// expected long before the last ones.
func (q *Query) isBroad() bool {
	return q.request.Route.IsSearch() && len(q.shards) >= minQuorumShards
}

// holdsBack reports whether the request must not go to more servers for now: no server has
// answered it, and it runs as a trial, or one ended, or one of a search may have ended. Behind a
// slow proxy the end of a server is told only after the result of the attempt, and retries of all
// shards would end the second server of each shard.
func (q *Query) holdsBack() bool {
	if q.answeredOnce {
		return false
	}
	return q.ended > 0 || q.request.Trial && (q.request.Route.IsSearch() || q.lost > 0) || q.lost > 0 && q.isBroad()
}

// mayHaveEnded returns the number of servers that may have ended because of the request.
func (q *Query) mayHaveEnded() int {
	if q.request.Trial {
		return q.ended + q.lost
	}
	return q.ended
}

// postponesTrial reports whether a trial would tell nothing about the request, or, if that is not
// a search, might leave its service without any server, although others have ended lately and are
// probably coming back. A request that servers have answered lately is tried where nothing tells,
// too: it is probably harmless, and after a restart of all servers only answers make the end of
// one tell.
func (q *Query) postponesTrial(now time.Time) bool {
	since := now.Sub(q.request.LastEnd)
	if !q.request.Trial || since >= trialPause {
		return false
	}
	hasToTell := !q.request.Trusted || since < trustedPause
	if !q.request.Route.IsSearch() {
		usable, certain := q.trialServers(now, &q.shards[0])
		if hasToTell {
			// Others may have ended behind proxies, which accept connections all the same.
			return certain < redundantServers
		}
		return usable < redundantServers
	}
	return hasToTell && !slices.ContainsFunc(q.shards, func(s shard) bool {
		_, certain := q.trialServers(now, &s)
		return certain > 0
	})
}

// trialServers returns the number of servers that could get the next attempt of a shard, and
// of those whose end could be put down to it, since they have answered on a connection that is open.
func (q *Query) trialServers(now time.Time, s *shard) (usable, certain int) {
	for _, r := range q.replicas(s) {
		if q.accepts(now, r) && !s.tried(now, r.ID) {
			usable++
			if q.isCertain(r.ID) {
				certain++
			}
		}
	}
	return usable, certain
}

// isCertain reports whether the end of a server could be put down to a request that it is sent
// now.
func (q *Query) isCertain(id ident.ServerID) bool {
	if q.env.TrialLoad == nil {
		return true
	}
	_, certain := q.env.TrialLoad(id)
	return certain
}

// penalizeBusy penalizes, for a trial, the servers whose end would say little about the request.
func (q *Query) penalizeBusy(candidates []choose.Candidate) {
	if !q.request.Trial || q.answeredOnce || q.env.TrialLoad == nil {
		return
	}
	for i := range candidates {
		requests, certain := q.env.TrialLoad(candidates[i].Server)
		candidates[i].Penalty += time.Duration(requests) * sharedPenalty
		if !certain {
			candidates[i].Penalty += uncertainPenalty
		}
	}
}

// hedgesAllowedFrom returns the time from which late attempts are hedged. allowed is false if
// they are not hedged until something changes. If no shard of a search has answered, the
// request is probably slow rather than the servers, and hedges of all shards would double
// the harm that it may do.
func (q *Query) hedgesAllowedFrom() (from time.Time, allowed bool) {
	switch {
	case q.answeredOnce:
		return q.start, true
	case q.ended > 0 || q.request.Trial:
		return time.Time{}, false
	case q.isBroad():
		return q.hedgesFrom, true
	default:
		return q.start, true
	}
}

// nextCheck returns the time of the next check for harm, or zero if there is none.
func (q *Query) nextCheck() time.Time {
	if q.answeredOnce || !q.isBroad() || q.request.Suspect == nil && q.ended < harmfulEnds {
		return time.Time{}
	}
	if q.checkedAt.IsZero() {
		return q.probationEnd
	}
	return q.checkedAt.Add(checkInterval)
}

// checkHarm ends a search that no server has answered in the usual time, if several ended
// while they ran it or its repeats.
func (q *Query) checkHarm(now time.Time) {
	if q.outcome != nil || q.answeredOnce || !q.isBroad() || now.Before(q.probationEnd) {
		return
	}
	q.checkedAt = now
	if q.ended >= harmfulEnds || q.becameSuspect() {
		q.outcome = q.harmfulOutcome()
	}
}

// becameSuspect reports whether servers ended under the request or its repeats since it was
// begun, as far as that is known by now.
func (q *Query) becameSuspect() bool {
	return !q.request.Trial && q.request.Suspect != nil && q.request.Suspect()
}

// harmfulOutcome returns the outcome of a request that ends backend servers.
func (q *Query) harmfulOutcome() *Outcome {
	if q.anyMayHaveRun() {
		return &Outcome{Verdict: Failed, Reason: "backend servers ended while they ran it"}
	}
	return q.refusal("backend servers ended while they ran its repeats")
}

// beginTrial starts a search with a single attempt. The other shards are held.
func (q *Query) beginTrial(now time.Time) []Send {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == shardPending {
			s.held, s.retryReason = true, hedge.NotRun
		}
	}
	sends := q.releaseHeld(now, nil)
	q.decide(now)
	return sends
}

// releaseHeld continues with the shards that were held: all of them once a server has
// answered, or a single one if nothing else is under way and the request may go to one more
// server. It fails them if it may not, which may have become known since they were held.
func (q *Query) releaseHeld(now time.Time, sends []Send) []Send {
	if q.outcome != nil {
		return sends
	}
	for {
		held := q.heldShards()
		switch {
		case len(held) == 0:
			return sends
		case q.answeredOnce:
			for _, index := range held {
				sends = q.release(now, index, sends)
			}
			return sends
		case !q.isIdle():
			return sends
		case q.mayHaveEnded() > 0 && q.mayHaveEnded()+q.request.Ends >= maxEnds || q.triedOften(held) || q.lost > 0 && q.becameSuspect():
			for _, index := range held {
				q.shards[index].held = false
				sends = q.failIfNonePending(&q.shards[index], sends)
			}
			return sends
		default:
			sends = q.release(now, q.bestForTrial(now, held), sends)
		}
	}
}

// triedOften reports whether no shard that is held may get more attempts.
func (q *Query) triedOften(held []int) bool {
	for _, index := range held {
		if s := &q.shards[index]; len(s.attempts) < maxAttempts && q.mayAddAttempt(s) {
			return false
		}
	}
	return true
}

// release continues with a shard that was held.
func (q *Query) release(now time.Time, index int, sends []Send) []Send {
	s := &q.shards[index]
	s.held = false
	if len(s.attempts) > 0 {
		return q.addAttempt(now, index, s.retryReason, sends)
	}
	if replica := q.choose(now, s); replica != nil {
		return append(sends, q.send(now, index, replica, "first"))
	}
	if !q.postpone(now, s, s.retryReason) {
		q.failShard(s)
	}
	return sends
}

// bestForTrial returns the one of some shards that is best for the next attempt of a trial. It
// prefers those that are left with a server if the next one ends, then those where that end could
// be put down to the request, then those with more servers, and then those without attempts.
func (q *Query) bestForTrial(now time.Time, indices []int) int {
	best, most := indices[0], trialRank{usable: -1}
	rand.Shuffle(len(indices), func(i, j int) { indices[i], indices[j] = indices[j], indices[i] })
	for _, index := range indices {
		s := &q.shards[index]
		usable, certain := q.trialServers(now, s)
		rank := trialRank{redundant: usable >= redundantServers, certain: certain > 0, usable: usable, untried: len(s.attempts) == 0}
		if rank.compare(most) > 0 {
			best, most = index, rank
		}
	}
	return best
}

// trialRank orders shards by how well they suit the next attempt of a trial.
type trialRank struct {
	redundant, certain bool
	usable             int
	untried            bool
}

func (r trialRank) compare(other trialRank) int {
	return cmp.Or(coll.CompareBools(r.redundant, other.redundant), coll.CompareBools(r.certain, other.certain), cmp.Compare(r.usable, other.usable), coll.CompareBools(r.untried, other.untried))
}

// heldShards returns the indices of the shards that are held.
func (q *Query) heldShards() []int {
	var held []int
	for i := range q.shards {
		if q.shards[i].held && q.shards[i].state == shardPending {
			held = append(held, i)
		}
	}
	return held
}

// isIdle reports whether no attempt is pending or scheduled.
func (q *Query) isIdle() bool {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != shardPending {
			continue
		}
		if !s.retryAt.IsZero() && !s.held {
			return false
		}
		for j := range s.attempts {
			if s.attempts[j].pending {
				return false
			}
		}
	}
	return true
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
