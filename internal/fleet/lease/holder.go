package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Change is the transition that a call of Holder.Check made.
type Change int

const (
	// Unchanged means that the lease was neither acquired nor lost.
	Unchanged Change = iota
	// Acquired means that a majority has granted the lease.
	Acquired
	// Lost means that the lease has expired.
	Lost
)

// phase is the state of a holder.
type phase int

const (
	idle phase = iota
	acquiring
	holding
)

// Holder acquires and renews the lease of one group for one process.
type Holder struct {
	options Options
	group   ident.GroupID
	self    ident.Process

	config VoterConfig
	// ended maps processes that ended for good to when that became known.
	ended map[ident.Process]time.Time

	phase   phase
	term    uint64
	maxTerm uint64
	// grants maps voters to the time until which they have granted the lease.
	grants      map[ident.Process]time.Time
	states      map[ident.Process]*StoredState
	otherHolder OtherHolder
	// termRejected is set when a voter has refused the current term as too low.
	termRejected bool
	// earlierUntil is the end of the lease that was granted under earlier configs.
	earlierUntil time.Time

	epochs map[ident.Process]reportedEpoch
	// synced maps voters to the epoch for which they have stored all claims.
	synced map[ident.Process]uint64

	handoverState []byte
	handoverSeq   uint64
	// handoverAcks maps voters to the handoverSeq that they have stored.
	handoverAcks  map[ident.Process]uint64
	claims        map[string]claim
	completeSince time.Time
}

// reportedEpoch is the latest epoch that a voter has reported, and when it first
// reported it.
type reportedEpoch struct {
	epoch uint64
	at    time.Time
}

// OtherHolder is another process that has a voter's promise, and the end of it.
type OtherHolder struct {
	Process ident.Process
	Until   time.Time
}

// RecoveredState is the state of earlier holders, merged from the voters'.
type RecoveredState struct {
	// HandoverState is the latest version that the previous holder stored.
	HandoverState []byte
	// PreviousUntil is the latest time at which the previous holder's lease may
	// have ended; zero if there was none.
	PreviousUntil time.Time
	// Claims holds the claims of earlier holders, by key.
	Claims map[string][]byte
	// CompleteSince is the time before which claims may have been lost; zero if
	// none were.
	CompleteSince time.Time
}

// NewHolder returns an idle holder for a group's lease and the process self. Call
// Start to acquire the lease.
func NewHolder(group ident.GroupID, self ident.Process, options Options) *Holder {
	return &Holder{
		options: options.WithDefaults(),
		group:   group,
		self:    self,
		ended:   map[ident.Process]time.Time{},
		epochs:  map[ident.Process]reportedEpoch{},
		synced:  map[ident.Process]uint64{},
		claims:  map[string]claim{},
	}
}

// SetVoterConfig replaces the lists of voters at now if the epoch is higher. A
// lease that was granted under the old lists stays valid to its end.
func (h *Holder) SetVoterConfig(next VoterConfig, now time.Time) {
	if next.Epoch > h.config.Epoch {
		h.earlierUntil = h.Until(now)
		h.config = next
	}
}

// VoterConfig returns the current lists of voters.
func (h *Holder) VoterConfig() VoterConfig {
	return h.config
}

// MarkEnded records that a process was known at the given time to have ended for
// good. One lease length later it no longer counts as a voter.
func (h *Holder) MarkEnded(p ident.Process, at time.Time) {
	if _, known := h.ended[p]; !known {
		h.ended[p] = at
	}
}

// Start begins an attempt to acquire the lease, with a higher term than all
// known ones.
func (h *Holder) Start() {
	h.reset()
	h.phase = acquiring
	h.maxTerm++
	h.term = h.maxTerm
}

// Active reports whether the lease is held or an attempt to acquire it is under
// way.
func (h *Holder) Active() bool {
	return h.phase != idle
}

// Held reports whether the lease is held at now.
func (h *Holder) Held(now time.Time) bool {
	return h.phase == holding && now.Before(h.Until(now))
}

// Term returns the current term.
func (h *Holder) Term() uint64 {
	return h.term
}

// TermRejected reports whether a voter has refused the current term as too low.
// Start then begins a higher one.
func (h *Holder) TermRejected() bool {
	return h.termRejected
}

// OtherHolder returns the last other process that a voter reported as holder
// since Start.
func (h *Holder) OtherHolder() OtherHolder {
	return h.otherHolder
}

// Peers returns the processes to send requests to: all voters that have not
// ended, this process included if it is one.
func (h *Holder) Peers() []ident.Process {
	return slices.DeleteFunc(h.config.All(), func(p ident.Process) bool {
		_, ended := h.ended[p]
		return ended
	})
}

// SetHandoverState replaces the bytes that the voters store for the next holder.
func (h *Holder) SetHandoverState(handoverState []byte) {
	if slices.Equal(handoverState, h.handoverState) && h.handoverSeq > 0 {
		return
	}
	h.handoverState = handoverState
	h.handoverSeq++
}

// HandoverCopies returns the number of voters that have stored the current
// handover state.
func (h *Holder) HandoverCopies() int {
	count := 0
	for _, seq := range h.handoverAcks {
		if seq == h.handoverSeq {
			count++
		}
	}
	return count
}

// Request returns the next request to a peer. The caller passes the time from
// before it sent the request to Handle.
func (h *Holder) Request(to ident.Process) Request {
	r := Request{Kind: Renew, Group: h.group, Term: h.term, Epoch: h.config.Epoch, CompleteSince: h.completeSince}
	if h.phase == acquiring {
		r.Kind = Acquire
		return r
	}
	h.addHandoverState(&r, to)
	if h.needsSync(to) {
		r.Kind = Sync
		r.Claims = h.Claims()
	}
	return r
}

// ClaimRequest adds a record to the claims and returns the request to send to
// every peer. Later holders recover the record once Quorum is true for the peers
// that granted the request.
func (h *Holder) ClaimRequest(key string, record []byte, now time.Time) Request {
	h.claims[key] = claim{record: record, at: now}
	return Request{
		Kind:   Claim,
		Group:  h.group,
		Term:   h.term,
		Epoch:  h.config.Epoch,
		Claims: map[string][]byte{key: record},
	}
}

// Claims returns all claims by key, those recovered from earlier holders
// included.
func (h *Holder) Claims() map[string][]byte {
	records := make(map[string][]byte, len(h.claims))
	for key, c := range h.claims {
		records[key] = c.record
	}
	return records
}

// ClaimsCompleteSince returns the time before which claims may have been lost;
// zero if none were.
func (h *Holder) ClaimsCompleteSince() time.Time {
	return h.completeSince
}

// Expire drops claims that are older than the retention.
func (h *Holder) Expire(now time.Time) {
	maps.DeleteFunc(h.claims, func(_ string, c claim) bool {
		return now.Sub(c.at) > h.options.Retention
	})
}

// Handle processes a voter's answer to a request that was sent at sent. A grant
// counts from that time, which is no later than that of the voter's promise.
func (h *Holder) Handle(from ident.Process, r Request, a Answer, sent, now time.Time) {
	h.maxTerm = max(h.maxTerm, a.Term)
	h.recordEpochs(from, a, now)
	h.termRejected = h.termRejected || a.Refusal == OldTerm && r.Term == h.term
	if a.Refusal == Held && a.Holder != h.self {
		h.otherHolder = OtherHolder{Process: a.Holder, Until: now.Add(a.Remaining)}
	}
	if h.phase == idle || r.Term != h.term || a.Refusal != Granted || r.Kind == Release {
		return
	}
	h.handoverAcks[from] = max(h.handoverAcks[from], r.HandoverSeq)
	until := sent.Add(h.options.Length - h.options.Margin)
	if !until.After(h.grants[from]) {
		return
	}
	h.grants[from] = until
	if a.StoredState != nil && h.phase == acquiring {
		h.states[from] = a.StoredState
	}
}

// Check updates the state for the time now. It has to be called after Handle and
// periodically, since grants expire.
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

// Release ends the lease or the attempt at once and returns the request to send
// to all peers.
func (h *Holder) Release() Request {
	r := Request{Kind: Release, Group: h.group, Term: h.term, Epoch: h.config.Epoch}
	if h.phase == holding {
		r.HandoverState, r.HandoverSeq = h.handoverState, h.handoverSeq
	}
	h.reset()
	return r
}

// Until returns the time at which the lease expires by the grants received so
// far. Voters that have ended for one lease length at now don't count.
func (h *Holder) Until(now time.Time) time.Time {
	until, ok := h.majorityUntil(h.config.Voters, now)
	if !ok {
		return h.earlierUntil
	}
	if prev, ok := h.majorityUntil(h.config.Prev, now); ok {
		until = earlier(until, prev)
	}
	if until.Before(h.earlierUntil) {
		return h.earlierUntil
	}
	return until
}

// Quorum reports whether the given processes form a majority of each list of
// voters.
func (h *Holder) Quorum(processes map[ident.Process]bool, now time.Time) bool {
	voters := h.eligible(h.config.Voters, now)
	prev := h.eligible(h.config.Prev, now)
	return len(voters) > 0 && hasMajority(voters, processes) && (len(prev) == 0 || hasMajority(prev, processes))
}

// CanDropPrev reports whether the previous voters may be dropped. For one lease
// length a majority of them must have refused lower epochs, so that all leases of
// earlier epochs have expired, and a majority of the new voters must have stored
// all claims.
func (h *Holder) CanDropPrev(now time.Time) bool {
	if h.phase != holding || len(h.config.Prev) == 0 {
		return false
	}
	confirmed, synced := map[ident.Process]bool{}, map[ident.Process]bool{}
	for p, s := range h.epochs {
		confirmed[p] = s.epoch >= h.config.Epoch && now.Sub(s.at) >= h.options.Length
		synced[p] = !h.needsSync(p)
	}
	prev := h.eligible(h.config.Prev, now)
	if len(prev) > 0 && !hasMajority(prev, confirmed) {
		return false
	}
	voters := h.eligible(h.config.Voters, now)
	return len(voters) > 0 && hasMajority(voters, synced)
}

func (h *Holder) reset() {
	h.phase = idle
	h.grants = map[ident.Process]time.Time{}
	h.states = map[ident.Process]*StoredState{}
	h.handoverAcks = map[ident.Process]uint64{}
	h.otherHolder = OtherHolder{}
	h.termRejected = false
	h.earlierUntil = time.Time{}
}

func (h *Holder) addHandoverState(r *Request, to ident.Process) {
	if h.handoverSeq > h.handoverAcks[to] {
		r.HandoverState, r.HandoverSeq = h.handoverState, h.handoverSeq
	}
}

// needsSync reports whether p is a new voter that has not stored all claims since
// the lists changed.
func (h *Holder) needsSync(p ident.Process) bool {
	e := h.config
	return len(e.Prev) > 0 && slices.Contains(e.Voters, p) && h.synced[p] < e.Epoch
}

func (h *Holder) recordEpochs(from ident.Process, a Answer, now time.Time) {
	if a.Epoch > h.epochs[from].epoch {
		h.epochs[from] = reportedEpoch{epoch: a.Epoch, at: now}
	}
	h.synced[from] = max(h.synced[from], a.Synced)
}

// eligible returns the processes of a list that may have an unexpired promise or
// grant one at now: all but those known to have ended one lease length
// ago or earlier.
func (h *Holder) eligible(list []ident.Process, now time.Time) []ident.Process {
	var voters []ident.Process
	for _, p := range list {
		if at, ended := h.ended[p]; !ended || now.Sub(at) < h.options.Length {
			voters = append(voters, p)
		}
	}
	return voters
}

// majorityUntil returns the time until which a majority of the list has granted.
// ok is false if no process of the list is eligible.
func (h *Holder) majorityUntil(list []ident.Process, now time.Time) (until time.Time, ok bool) {
	voters := h.eligible(list, now)
	if len(voters) == 0 {
		return time.Time{}, false
	}
	ends := make([]time.Time, len(voters))
	for i, p := range voters {
		ends[i] = h.grants[p]
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[majority(len(voters))-1], true
}

func hasMajority(list []ident.Process, processes map[ident.Process]bool) bool {
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
