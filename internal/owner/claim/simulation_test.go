package claim_test

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/claim"
)

const group = "g"

// voter stores records and refuses those of terms before the one that it promised.
type voter struct {
	term    uint64
	records map[string][]byte
}

// coordinator is a process that may hold the lease and so coordinate the actions.
type coordinator struct {
	table  *claim.Table
	term   uint64
	leased bool
}

// replication is the replication of a claim. remaining holds the voters that have not
// received it.
type replication struct {
	coordinator *coordinator
	key         claim.Key
	term        uint64
	record      []byte
	remaining   []int
	acks        int
	ended       bool
}

// message is a dispatched action in transit to a backend server.
type message struct {
	coordinator *coordinator
	key         claim.Key
}

// simulation holds coordinators, voters and everything in transit between them. runs counts
// how often each action ran.
type simulation struct {
	now          time.Time
	since        time.Time
	term         uint64
	voters       []*voter
	coordinators []*coordinator
	issuedAt     map[string]time.Time
	keys         []string
	replications []*replication
	messages     []message
	runs         map[string]int
}

func newSimulation() *simulation {
	s := &simulation{now: time.Unix(100_000, 0), issuedAt: map[string]time.Time{}, runs: map[string]int{}}
	for range 3 {
		s.voters = append(s.voters, &voter{records: map[string][]byte{}})
	}
	for range 2 {
		s.coordinators = append(s.coordinators, &coordinator{table: claim.New(claim.Options{})})
	}
	return s
}

// request sends a request to a coordinator that believes that it holds the lease.
func (s *simulation) request(t *rapid.T) {
	c := rapid.SampledFrom(s.coordinators).Draw(t, "coordinator")
	if !c.leased {
		return
	}
	name := string(rapid.RuneFrom([]rune("ab")).Draw(t, "key"))
	if _, known := s.issuedAt[name]; !known {
		skew := time.Duration(rapid.IntRange(-29, 29).Draw(t, "skew")) * time.Second
		s.issuedAt[name] = s.now.Add(skew)
		s.keys = append(s.keys, name)
	}
	key := claim.Key{Group: group, ID: name}
	decision, answer := c.table.Begin(claim.Request{
		Key: key, Issued: s.issuedAt[name], Digest: 1, Term: c.term, ClaimsCompleteSince: s.since,
	}, s.now)
	switch decision {
	case claim.Replicate:
		record, ok := c.table.Record(key)
		require.True(t, ok)
		s.replications = append(s.replications, &replication{
			coordinator: c, key: key, term: c.term, record: record, remaining: []int{0, 1, 2},
		})
	case claim.Answer:
		s.checkAnswer(t, key, answer)
	case claim.Wait:
	}
}

// checkAnswer checks an answer that a caller receives.
func (s *simulation) checkAnswer(t *rapid.T, key claim.Key, answer msgs.Answer) {
	switch answer.Status {
	case msgs.StatusOK:
		require.Equal(t, 1, s.runs[key.ID])
	case msgs.StatusNotRun:
		require.Zero(t, s.runs[key.ID])
		require.False(t, slices.ContainsFunc(s.messages, func(m message) bool { return m.key == key }))
	}
}

// deliverClaims delivers up to three claims to voters.
func (s *simulation) deliverClaims(t *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(t, "claims") {
		s.deliverClaimToVoter(t)
	}
}

// injectFault rarely crashes a process or loses the records of the voters.
func (s *simulation) injectFault(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		s.loseRecords()
	case 1, 2:
		s.crash(t)
	}
}

// deliverClaimToVoter delivers a claim to one voter.
func (s *simulation) deliverClaimToVoter(t *rapid.T) {
	if len(s.replications) == 0 {
		return
	}
	r := rapid.SampledFrom(s.replications).Draw(t, "replication")
	if len(r.remaining) == 0 {
		s.endReplication(t, r)
		return
	}
	i := rapid.IntRange(0, len(r.remaining)-1).Draw(t, "voter")
	v := s.voters[r.remaining[i]]
	r.remaining = slices.Delete(r.remaining, i, i+1)
	if r.term >= v.term {
		v.term = r.term
		v.records[r.key.ID] = r.record
		r.acks++
	}
	if r.acks == 2 {
		s.endReplication(t, r)
	}
}

// timeOutReplication ends the replication of a claim at its coordinator. The claim may still
// arrive at voters afterwards.
func (s *simulation) timeOutReplication(t *rapid.T) {
	if len(s.replications) > 0 {
		s.endReplication(t, rapid.SampledFrom(s.replications).Draw(t, "replication"))
	}
}

// endReplication reports the result of a replication to its coordinator, once.
func (s *simulation) endReplication(t *rapid.T, r *replication) {
	if len(r.remaining) == 0 {
		s.replications = slices.DeleteFunc(s.replications, func(other *replication) bool { return other == r })
	}
	if r.ended {
		return
	}
	r.ended = true
	leased := r.coordinator.leased && r.coordinator.term == r.term
	dispatch, answer, waiters := r.coordinator.table.ClaimReplicated(r.key, r.term, r.acks >= 2, leased)
	if dispatch {
		s.messages = append(s.messages, message{coordinator: r.coordinator, key: r.key})
	}
	if len(waiters) > 0 {
		s.checkAnswer(t, r.key, answer)
	}
}

// deliverMessage delivers a dispatched action. It runs or not, and its answer arrives or is
// lost.
func (s *simulation) deliverMessage(t *rapid.T) {
	if len(s.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")
	m := s.messages[i]
	s.messages = slices.Delete(s.messages, i, i+1)
	status := msgs.StatusNotRun
	if rapid.Bool().Draw(t, "runs") {
		s.runs[m.key.ID]++
		require.Equal(t, 1, s.runs[m.key.ID])
		status = msgs.StatusOK
	}
	if rapid.Bool().Draw(t, "lost") {
		status = msgs.StatusLate
	}
	if waiters := m.coordinator.table.Resolve(m.key, msgs.Answer{Status: status}); len(waiters) > 0 {
		s.checkAnswer(t, m.key, msgs.Answer{Status: status})
	}
	if record, ok := m.coordinator.table.Record(m.key); ok && status == msgs.StatusOK {
		s.storeOutcome(t, m, record)
	}
}

// storeOutcome replicates the outcome of an action to a random set of voters.
func (s *simulation) storeOutcome(t *rapid.T, m message, record []byte) {
	for _, v := range s.voters {
		if m.coordinator.term >= v.term && rapid.Bool().Draw(t, "stored") {
			v.records[m.key.ID] = record
		}
	}
}

// takeOverLease grants the lease to a coordinator, with the records of a majority.
func (s *simulation) takeOverLease(t *rapid.T) {
	c := rapid.SampledFrom(s.coordinators).Draw(t, "coordinator")
	for _, other := range s.coordinators {
		other.leased = false
	}
	s.term++
	unreachable := rapid.IntRange(0, 2).Draw(t, "unreachable")
	records := map[string][]byte{}
	for i, v := range s.voters {
		if i == unreachable {
			continue
		}
		v.term = s.term
		for id, record := range v.records {
			if len(record) > len(records[id]) {
				records[id] = record
			}
		}
	}
	c.term, c.leased = s.term, true
	c.table.LoadClaims(group, c.term, records, s.now)
}

// crash restarts a coordinator's process, which loses its state.
func (s *simulation) crash(t *rapid.T) {
	c := rapid.SampledFrom(s.coordinators).Draw(t, "coordinator")
	*c = coordinator{table: claim.New(claim.Options{})}
	s.replications = slices.DeleteFunc(s.replications, func(r *replication) bool { return r.coordinator == c && r.ended })
	for _, r := range s.replications {
		r.ended = r.ended || r.coordinator == c
	}
}

// loseRecords removes the records of all voters. Dispatched actions in transit survive.
func (s *simulation) loseRecords() {
	for _, v := range s.voters {
		v.records = map[string][]byte{}
		v.term = s.term + 1
	}
	s.term++
	for _, c := range s.coordinators {
		c.leased = false
		c.table = claim.New(claim.Options{})
	}
	s.replications = nil
	s.since = s.now
}

// advanceClock advances the time and expires old keys.
func (s *simulation) advanceClock(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 100, 310}).Draw(t, "s")) * time.Second)
	for _, c := range s.coordinators {
		c.table.Expire(s.now)
	}
}
