package lease

import (
	"maps"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Voter grants promises, at most one per group at a time. It keeps its state in
// memory only.
type Voter struct {
	options Options
	// grantsFrom is the time before which all requests are refused.
	grantsFrom time.Time
	groups     map[ident.GroupID]*promise
}

// promise is a voter's state of one group.
type promise struct {
	epoch uint64
	// highestTerm is the highest term that was granted, term the term of the
	// current promise.
	highestTerm uint64
	term        uint64
	holder      ident.Process
	end         time.Time
	// released is set once the holder has released the current term.
	released bool
	// previousEnd is the end of the last promise to another holder or of another
	// term.
	previousEnd   time.Time
	handoverState []byte
	handoverTerm  uint64
	handoverSeq   uint64
	claims        map[string]claim
	completeSince time.Time
}

// claim is a stored record and the time at which it was received.
type claim struct {
	record []byte
	at     time.Time
}

// Promise describes one promise of a voter on the state page. Claims is the
// number of stored claims.
type Promise struct {
	Holder    ident.Process `json:"holder"`
	Term      uint64        `json:"term"`
	Epoch     uint64        `json:"epoch"`
	Remaining time.Duration `json:"remaining"`
	Claims    int           `json:"claims"`
}

// NewVoter returns a voter that starts at now. It refuses all requests for one
// lease length, because an earlier run of the process may have granted a promise
// that has not ended yet.
func NewVoter(now time.Time, options Options) *Voter {
	options = options.WithDefaults()
	return &Voter{
		options:    options,
		grantsFrom: now.Add(options.Length),
		groups:     map[ident.GroupID]*promise{},
	}
}

// SetEpoch raises the epoch of a group. The voter then refuses requests with a
// lower epoch.
func (v *Voter) SetEpoch(group ident.GroupID, epoch uint64) {
	p := v.promise(group)
	p.epoch = max(p.epoch, epoch)
}

// Handle answers a request that arrived from a process at now. Acquire needs a
// higher term than all that were granted before. A process that already holds
// the lease by a majority of other voters may renew its lower term here once the
// promise to an attempt with a higher term has ended.
func (v *Voter) Handle(from ident.Process, r Request, now time.Time) Answer {
	p := v.promise(r.Group)
	p.epoch = max(p.epoch, r.Epoch)
	answer := Answer{Group: r.Group, Refusal: v.refusal(p, from, r, now)}
	if answer.Refusal == Granted {
		v.grant(p, from, r, now, &answer)
	}
	answer.Epoch, answer.Term = p.epoch, p.highestTerm
	if answer.Refusal == Granted {
		answer.Term = r.Term
	}
	if answer.Refusal == Held {
		answer.Holder, answer.Remaining = p.holder, p.end.Sub(now)
	}
	return answer
}

// Holder returns the process that has the promise of a group at now, and its
// term. Both are zero if there is none.
func (v *Voter) Holder(group ident.GroupID, now time.Time) (ident.Process, uint64) {
	p, ok := v.groups[group]
	if !ok || !p.end.After(now) {
		return ident.Process{}, 0
	}
	return p.holder, p.term
}

// Promises returns all promises that have not ended at now.
func (v *Voter) Promises(now time.Time) map[ident.GroupID]Promise {
	promises := map[ident.GroupID]Promise{}
	for group, p := range v.groups {
		if p.end.After(now) {
			promises[group] = Promise{p.holder, p.term, p.epoch, p.end.Sub(now), len(p.claims)}
		}
	}
	return promises
}

// Expire drops claims that are older than the retention.
func (v *Voter) Expire(now time.Time) {
	for _, p := range v.groups {
		maps.DeleteFunc(p.claims, func(_ string, c claim) bool {
			return now.Sub(c.at) > v.options.Retention
		})
	}
}

func (v *Voter) promise(group ident.GroupID) *promise {
	p, ok := v.groups[group]
	if !ok {
		p = &promise{claims: map[string]claim{}}
		v.groups[group] = p
	}
	return p
}

func (v *Voter) refusal(p *promise, from ident.Process, r Request, now time.Time) Refusal {
	isCurrentTerm := p.holder == from && p.term == r.Term
	switch {
	case now.Before(v.grantsFrom):
		return Starting
	case r.Kind == Release && isCurrentTerm:
		return Granted
	case r.Epoch < p.epoch:
		return OldEpoch
	case p.end.After(now) && p.holder != from:
		return Held
	case p.rejectsTerm(from, r):
		return OldTerm
	default:
		return Granted
	}
}

// rejectsTerm reports whether the request's term has been released, is lower than
// the current one of the same process or, for Acquire, is not higher than all
// granted ones. A Release of any term but the current one is rejected too.
func (p *promise) rejectsTerm(from ident.Process, r Request) bool {
	switch {
	case p.holder == from && p.term == r.Term:
		return p.released
	case p.holder == from && r.Term < p.term:
		return true
	case r.Kind == Release:
		return true
	default:
		return r.Kind == Acquire && r.Term <= p.highestTerm
	}
}

func (v *Voter) grant(p *promise, from ident.Process, r Request, now time.Time, answer *Answer) {
	if p.holder != from || p.term != r.Term {
		p.previousEnd = earlier(p.end, now)
	}
	p.holder, p.term, p.highestTerm = from, r.Term, max(p.highestTerm, r.Term)
	p.end = now.Add(v.options.Length)
	p.released = r.Kind == Release
	if p.released {
		p.end = now
	}
	v.store(p, r, now)
	switch r.Kind {
	case Acquire:
		answer.StoredState = p.storedState(now)
	case Sync:
		answer.Synced = r.Epoch
	}
}

// store saves the handover state and the claims of the request.
func (v *Voter) store(p *promise, r Request, now time.Time) {
	if r.HandoverSeq > 0 && (r.Term > p.handoverTerm || r.HandoverSeq > p.handoverSeq) {
		p.handoverState, p.handoverTerm, p.handoverSeq = r.HandoverState, r.Term, r.HandoverSeq
	}
	for key, record := range r.Claims {
		p.claims[key] = claim{record: record, at: now}
	}
	if r.CompleteSince.After(p.completeSince) {
		p.completeSince = r.CompleteSince
	}
}

func (p *promise) storedState(now time.Time) *StoredState {
	state := &StoredState{
		HandoverState: p.handoverState,
		HandoverTerm:  p.handoverTerm,
		HandoverSeq:   p.handoverSeq,
		Claims:        make(map[string][]byte, len(p.claims)),
		CompleteSince: p.completeSince,
	}
	for key, c := range p.claims {
		state.Claims[key] = c.record
	}
	if !p.previousEnd.IsZero() {
		state.EndedAgo = now.Sub(p.previousEnd)
	}
	return state
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
