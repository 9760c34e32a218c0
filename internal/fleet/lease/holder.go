package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Change is what a call of Holder.Check found.
type Change int

const (
	// Unchanged means that nothing happened since the last check.
	Unchanged Change = iota
	// Acquired means that the lease is now held.
	Acquired
	// Lost means that the lease has lapsed.
	Lost
)

// phase is the state of a holder.
type phase int

const (
	idle phase = iota
	acquiring
	holding
)

// Holder collects the grants of one group's voters for one process.
type Holder struct {
	options Options
	group   ident.GroupID
	self    ident.Process

	electorate VoterConfig
	gone       map[ident.Process]time.Time

	phase    phase
	term     uint64
	maxTerm  uint64
	grants   map[ident.Process]time.Time
	legacies map[ident.Process]*StoredState
	rival    OtherHolder
	// overtaken is set when a voter has granted the present term to another.
	overtaken bool
	// floor is the end of the lease under earlier electorates.
	floor time.Time

	seen   map[ident.Process]sighting
	synced map[ident.Process]uint64

	carry    []byte
	carrySeq uint64
	carried  map[ident.Process]uint64
	claims   map[string]claim
	since    time.Time
}

// sighting notes when a voter first confirmed an epoch.
type sighting struct {
	epoch uint64
	at    time.Time
}

// OtherHolder is another process that a voter reported as holder.
type OtherHolder struct {
	Process ident.Process
	Until   time.Time
}

// RecoveredState is what a new holder received from the voters.
type RecoveredState struct {
	// HandoverState is the latest carry of the previous holder.
	HandoverState []byte
	// PreviousUntil is the latest time at which the previous holder's lease may
	// have ended; zero if there was none.
	PreviousUntil time.Time
	// Claims holds the records of earlier holders.
	Claims map[string][]byte
	// CompleteSince is the moment before which records may be lost; zero if none are.
	CompleteSince time.Time
}

// NewHolder returns a holder of a group's lease for the process self. It asks
// for nothing until Start.
func NewHolder(group ident.GroupID, self ident.Process, options Options) *Holder {
	return &Holder{
		options: options.WithDefaults(),
		group:   group,
		self:    self,
		gone:    map[ident.Process]time.Time{},
		seen:    map[ident.Process]sighting{},
		synced:  map[ident.Process]uint64{},
		claims:  map[string]claim{},
	}
}

// SetVoterConfig replaces the lists of voters at now, unless e is older. A lease
// that was granted under the old lists lasts to its end.
func (h *Holder) SetVoterConfig(e VoterConfig, now time.Time) {
	if e.Epoch > h.electorate.Epoch {
		h.floor = h.Until(now)
		h.electorate = e
	}
}

// VoterConfig returns the present lists of voters.
func (h *Holder) VoterConfig() VoterConfig {
	return h.electorate
}

// MarkEnded notes that since at a process is known to have ended for good. One
// lease length later it no longer counts among the voters.
func (h *Holder) MarkEnded(p ident.Process, at time.Time) {
	if _, known := h.gone[p]; !known {
		h.gone[p] = at
	}
}

// Start begins to ask for the lease with a new term.
func (h *Holder) Start() {
	h.reset()
	h.phase = acquiring
	h.maxTerm++
	h.term = h.maxTerm
}

// Active reports whether the lease is being asked for or held.
func (h *Holder) Active() bool {
	return h.phase != idle
}

// Held reports whether the lease is held at now.
func (h *Holder) Held(now time.Time) bool {
	return h.phase == holding && now.Before(h.Until(now))
}

// Term returns the present term.
func (h *Holder) Term() uint64 {
	return h.term
}

// TermRejected reports whether a voter refused the present term as too low. Start
// begins a higher one.
func (h *Holder) TermRejected() bool {
	return h.overtaken
}

// OtherHolder returns the last process that a voter reported as holder.
func (h *Holder) OtherHolder() OtherHolder {
	return h.rival
}

// Peers returns the processes to ask.
func (h *Holder) Peers() []ident.Process {
	return slices.DeleteFunc(h.electorate.All(), func(p ident.Process) bool {
		_, gone := h.gone[p]
		return gone
	})
}

// SetHandoverState replaces the bytes that the voters keep for a successor.
func (h *Holder) SetHandoverState(carry []byte) {
	if slices.Equal(carry, h.carry) && h.carrySeq > 0 {
		return
	}
	h.carry = carry
	h.carrySeq++
}

// HandoverCopies returns the number of voters that keep the present carry.
func (h *Holder) HandoverCopies() int {
	count := 0
	for _, seq := range h.carried {
		if seq == h.carrySeq {
			count++
		}
	}
	return count
}

// Request returns what to ask of a peer now. Before the call the sender notes
// the time, which Handle takes.
func (h *Holder) Request(to ident.Process) Request {
	r := Request{Kind: Renew, Group: h.group, Term: h.term, Epoch: h.electorate.Epoch, CompleteSince: h.since}
	if h.phase == acquiring {
		r.Kind = Acquire
		return r
	}
	h.addCarry(&r, to)
	if h.needsSync(to) {
		r.Kind = Sync
		r.Claims = h.Claims()
	}
	return r
}

// ClaimRequest adds a record to the claims and returns what to ask of every
// peer. The record is safe once Quorum holds for the peers that granted.
func (h *Holder) ClaimRequest(key string, record []byte, now time.Time) Request {
	h.claims[key] = claim{record: record, at: now}
	return Request{
		Kind:   Claim,
		Group:  h.group,
		Term:   h.term,
		Epoch:  h.electorate.Epoch,
		Claims: map[string][]byte{key: record},
	}
}

// Claims returns the records that were inherited or claimed.
func (h *Holder) Claims() map[string][]byte {
	records := make(map[string][]byte, len(h.claims))
	for key, c := range h.claims {
		records[key] = c.record
	}
	return records
}

// ClaimsCompleteSince returns the moment before which claims may have been lost.
func (h *Holder) ClaimsCompleteSince() time.Time {
	return h.since
}

// Expire drops claims that are older than the retention.
func (h *Holder) Expire(now time.Time) {
	maps.DeleteFunc(h.claims, func(_ string, c claim) bool {
		return now.Sub(c.at) > h.options.Retention
	})
}

// Handle takes a voter's answer to a request that was sent at sent.
func (h *Holder) Handle(from ident.Process, r Request, a Answer, sent, now time.Time) {
	h.maxTerm = max(h.maxTerm, a.Term)
	h.see(from, a, now)
	h.overtaken = h.overtaken || a.Refusal == OldTerm && r.Term == h.term
	if a.Refusal == Held && a.Holder != h.self {
		h.rival = OtherHolder{Process: a.Holder, Until: now.Add(a.Remaining)}
	}
	if h.phase == idle || r.Term != h.term || a.Refusal != Granted || r.Kind == Release {
		return
	}
	h.carried[from] = max(h.carried[from], r.HandoverSeq)
	until := sent.Add(h.options.Length - h.options.Margin)
	if !until.After(h.grants[from]) {
		return
	}
	h.grants[from] = until
	if a.StoredState != nil && h.phase == acquiring {
		h.legacies[from] = a.StoredState
	}
}

// Check moves the holder on to now.
func (h *Holder) Check(now time.Time) Change {
	valid := now.Before(h.Until(now))
	switch {
	case h.phase == acquiring && valid:
		h.phase = holding
		return Acquired
	case h.phase == holding && !valid:
		h.reset()
		return Lost
	default:
		return Unchanged
	}
}

// Release gives up the lease, or the attempt, at once and returns what to send
// to the peers.
func (h *Holder) Release() Request {
	r := Request{Kind: Release, Group: h.group, Term: h.term, Epoch: h.electorate.Epoch}
	if h.phase == holding {
		r.HandoverState, r.HandoverSeq = h.carry, h.carrySeq
	}
	h.reset()
	return r
}

// Until returns the end of the lease as far as the grants known at now reach.
func (h *Holder) Until(now time.Time) time.Time {
	until, ok := h.listUntil(h.electorate.Voters, now)
	if !ok {
		return h.floor
	}
	if prev, ok := h.listUntil(h.electorate.Prev, now); ok {
		until = earlier(until, prev)
	}
	if until.Before(h.floor) {
		return h.floor
	}
	return until
}

// Quorum reports whether the given processes form a majority of each list.
func (h *Holder) Quorum(processes map[ident.Process]bool, now time.Time) bool {
	voters := h.remaining(h.electorate.Voters, now)
	prev := h.remaining(h.electorate.Prev, now)
	return len(voters) > 0 && covers(voters, processes) && (len(prev) == 0 || covers(prev, processes))
}

// CanDropPrev reports whether the previous voters may be dropped: one lease length
// ago a majority of them refused lower epochs, so that no lease of an earlier
// epoch can be left, and a majority of the new voters holds all claims.
func (h *Holder) CanDropPrev(now time.Time) bool {
	if h.phase != holding || len(h.electorate.Prev) == 0 {
		return false
	}
	confirmed, synced := map[ident.Process]bool{}, map[ident.Process]bool{}
	for p, s := range h.seen {
		confirmed[p] = s.epoch >= h.electorate.Epoch && now.Sub(s.at) >= h.options.Length
		synced[p] = !h.needsSync(p)
	}
	prev := h.remaining(h.electorate.Prev, now)
	if len(prev) > 0 && !covers(prev, confirmed) {
		return false
	}
	voters := h.remaining(h.electorate.Voters, now)
	return len(voters) > 0 && covers(voters, synced)
}

func (h *Holder) reset() {
	h.phase = idle
	h.grants = map[ident.Process]time.Time{}
	h.legacies = map[ident.Process]*StoredState{}
	h.carried = map[ident.Process]uint64{}
	h.rival = OtherHolder{}
	h.overtaken = false
	h.floor = time.Time{}
}

func (h *Holder) addCarry(r *Request, to ident.Process) {
	if h.carrySeq > h.carried[to] {
		r.HandoverState, r.HandoverSeq = h.carry, h.carrySeq
	}
}

// needsSync reports whether p is a voter that has not received all claims
// since the lists changed.
func (h *Holder) needsSync(p ident.Process) bool {
	e := h.electorate
	return len(e.Prev) > 0 && slices.Contains(e.Voters, p) && h.synced[p] < e.Epoch
}

func (h *Holder) see(from ident.Process, a Answer, now time.Time) {
	if a.Epoch > h.seen[from].epoch {
		h.seen[from] = sighting{epoch: a.Epoch, at: now}
	}
	h.synced[from] = max(h.synced[from], a.Synced)
}

// remaining returns the processes of a list that can still grant at now.
func (h *Holder) remaining(list []ident.Process, now time.Time) []ident.Process {
	var left []ident.Process
	for _, p := range list {
		if at, gone := h.gone[p]; !gone || now.Sub(at) < h.options.Length {
			left = append(left, p)
		}
	}
	return left
}

// listUntil returns the time until which a majority of the list has granted.
// ok is false if no process of the list is left.
func (h *Holder) listUntil(list []ident.Process, now time.Time) (until time.Time, ok bool) {
	left := h.remaining(list, now)
	if len(left) == 0 {
		return time.Time{}, false
	}
	ends := make([]time.Time, len(left))
	for i, p := range left {
		ends[i] = h.grants[p]
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[majority(len(left))-1], true
}

func covers(list []ident.Process, processes map[ident.Process]bool) bool {
	count := 0
	for _, p := range list {
		if processes[p] {
			count++
		}
	}
	return count >= majority(len(list))
}

func majority(n int) int {
	return n/2 + 1
}
