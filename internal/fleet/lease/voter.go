package lease

import (
	"maps"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Voter keeps one promise per group. Its memory ends with its process.
type Voter struct {
	options Options
	opens   time.Time
	groups  map[ident.GroupID]*promise
}

// promise is what a voter keeps of one group.
type promise struct {
	epoch uint64
	// highest is the highest term that was granted, term that of the present
	// promise.
	highest uint64
	term    uint64
	holder  ident.Process
	end     time.Time
	// released is set once the holder has given up the present term.
	released bool
	// previousEnd is the end of the last promise to another holder or term.
	previousEnd time.Time
	carry       []byte
	carryTerm   uint64
	carrySeq    uint64
	claims      map[string]claim
	since       time.Time
}

// claim is a kept record with the time of its receipt.
type claim struct {
	record []byte
	at     time.Time
}

// Promise describes one promise of a voter for a dump of its state.
type Promise struct {
	Holder    ident.Process `json:"holder"`
	Term      uint64        `json:"term"`
	Epoch     uint64        `json:"epoch"`
	Remaining time.Duration `json:"remaining"`
	Claims    int           `json:"claims"`
}

// NewVoter returns a voter that starts at now. It grants nothing until one
// lease length later, because an earlier run of it may have granted.
func NewVoter(now time.Time, options Options) *Voter {
	options = options.WithDefaults()
	return &Voter{
		options: options,
		opens:   now.Add(options.Length),
		groups:  map[ident.GroupID]*promise{},
	}
}

// SetEpoch notes the epoch of a group. Requests of lower epochs are refused
// from now on.
func (v *Voter) SetEpoch(group ident.GroupID, epoch uint64) {
	p := v.promise(group)
	p.epoch = max(p.epoch, epoch)
}

// Handle decides a request that arrived from a process at now. A new term must
// be higher than all before. A process that already holds the lease may renew
// under its term though an attempt with a higher one has ended here.
func (v *Voter) Handle(from ident.Process, r Request, now time.Time) Answer {
	p := v.promise(r.Group)
	p.epoch = max(p.epoch, r.Epoch)
	answer := Answer{Group: r.Group, Refusal: v.refusal(p, from, r, now)}
	if answer.Refusal == Granted {
		v.grant(p, from, r, now, &answer)
	}
	answer.Epoch, answer.Term = p.epoch, p.highest
	if answer.Refusal == Granted {
		answer.Term = r.Term
	}
	if answer.Refusal == Held {
		answer.Holder, answer.Remaining = p.holder, p.end.Sub(now)
	}
	return answer
}

// Holder returns the process that has the promise of a group at now, if any,
// and its term.
func (v *Voter) Holder(group ident.GroupID, now time.Time) (ident.Process, uint64) {
	p, ok := v.groups[group]
	if !ok || !p.end.After(now) {
		return ident.Process{}, 0
	}
	return p.holder, p.term
}

// Promises returns all promises that hold at now.
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
	same := p.holder == from && p.term == r.Term
	switch {
	case now.Before(v.opens):
		return Starting
	case r.Kind == Release && same:
		return Granted
	case r.Epoch < p.epoch:
		return OldEpoch
	case p.end.After(now) && p.holder != from:
		return Held
	case p.outdated(from, r):
		return OldTerm
	default:
		return Granted
	}
}

// outdated reports whether the request's term is over, or taken.
func (p *promise) outdated(from ident.Process, r Request) bool {
	switch {
	case p.holder == from && p.term == r.Term:
		return p.released
	case p.holder == from && r.Term < p.term:
		return true
	case r.Kind == Release:
		return true
	default:
		return r.Kind == Acquire && r.Term <= p.highest
	}
}

func (v *Voter) grant(p *promise, from ident.Process, r Request, now time.Time, answer *Answer) {
	if p.holder != from || p.term != r.Term {
		p.previousEnd = earlier(p.end, now)
	}
	p.holder, p.term, p.highest = from, r.Term, max(p.highest, r.Term)
	p.end = now.Add(v.options.Length)
	p.released = r.Kind == Release
	if p.released {
		p.end = now
	}
	v.keep(p, r, now)
	switch r.Kind {
	case Acquire:
		answer.StoredState = p.legacy(now)
	case Sync:
		answer.Synced = r.Epoch
	}
}

// keep stores what the request brings.
func (v *Voter) keep(p *promise, r Request, now time.Time) {
	if r.HandoverSeq > 0 && (r.Term > p.carryTerm || r.HandoverSeq > p.carrySeq) {
		p.carry, p.carryTerm, p.carrySeq = r.HandoverState, r.Term, r.HandoverSeq
	}
	for key, record := range r.Claims {
		p.claims[key] = claim{record: record, at: now}
	}
	if r.CompleteSince.After(p.since) {
		p.since = r.CompleteSince
	}
}

func (p *promise) legacy(now time.Time) *StoredState {
	l := &StoredState{
		HandoverState: p.carry,
		HandoverTerm:  p.carryTerm,
		HandoverSeq:   p.carrySeq,
		Claims:        make(map[string][]byte, len(p.claims)),
		CompleteSince: p.since,
	}
	for key, c := range p.claims {
		l.Claims[key] = c.record
	}
	if !p.previousEnd.IsZero() {
		l.EndedAgo = now.Sub(p.previousEnd)
	}
	return l
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
