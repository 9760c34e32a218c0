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

// voter keeps records for one promised term.
type voter struct {
	term    uint64
	records map[string][]byte
}

// home is one process that may be the home.
type home struct {
	table  *claim.Table
	term   uint64
	leased bool
}

// replication is the replication of one claim.
type replication struct {
	home   *home
	key    claim.Key
	term   uint64
	record []byte
	left   []int
	acks   int
	ended  bool
}

// message is a dispatch on its way to a backend server.
type message struct {
	home *home
	key  claim.Key
}

// world holds homes, voters and everything on its way between them.
type world struct {
	now          time.Time
	since        time.Time
	term         uint64
	voters       []*voter
	homes        []*home
	keys         map[string]time.Time
	names        []string
	replications []*replication
	messages     []message
	runs         map[string]int
}

func newWorld() *world {
	w := &world{now: time.Unix(100_000, 0), keys: map[string]time.Time{}, runs: map[string]int{}}
	for range 3 {
		w.voters = append(w.voters, &voter{records: map[string][]byte{}})
	}
	for range 2 {
		w.homes = append(w.homes, &home{table: claim.New(claim.Options{})})
	}
	return w
}

// ask asks a home that believes that it holds the lease.
func (w *world) ask(t *rapid.T) {
	h := rapid.SampledFrom(w.homes).Draw(t, "home")
	if !h.leased {
		return
	}
	name := string(rapid.RuneFrom([]rune("ab")).Draw(t, "key"))
	if _, known := w.keys[name]; !known {
		skew := time.Duration(rapid.IntRange(-29, 29).Draw(t, "skew")) * time.Second
		w.keys[name] = w.now.Add(skew)
		w.names = append(w.names, name)
	}
	key := claim.Key{Group: group, ID: name}
	verdict, answer := h.table.Begin(claim.Ask{
		Key: key, Issued: w.keys[name], Digest: 1, Term: h.term, Since: w.since,
	}, w.now)
	switch verdict {
	case claim.Replicate:
		record, ok := h.table.Record(key)
		require.True(t, ok)
		w.replications = append(w.replications, &replication{
			home: h, key: key, term: h.term, record: record, left: []int{0, 1, 2},
		})
	case claim.Answer:
		w.answered(t, key, answer)
	case claim.Wait:
	}
}

// answered checks an answer that a caller receives.
func (w *world) answered(t *rapid.T, key claim.Key, answer msgs.Answer) {
	switch answer.Status {
	case msgs.StatusOK:
		require.Equal(t, 1, w.runs[key.ID])
	case msgs.StatusNotRun:
		require.Zero(t, w.runs[key.ID])
		require.False(t, slices.ContainsFunc(w.messages, func(m message) bool { return m.key == key }))
	}
}

// claim brings claims to voters.
func (w *world) claim(t *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(t, "claims") {
		w.deliverClaim(t)
	}
}

// upset lets processes die or voters forget, rarely.
func (w *world) upset(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "upset") {
	case 0:
		w.forget()
	case 1, 2:
		w.die(t)
	}
}

// deliverClaim brings one claim to one voter.
func (w *world) deliverClaim(t *rapid.T) {
	if len(w.replications) == 0 {
		return
	}
	r := rapid.SampledFrom(w.replications).Draw(t, "replication")
	if len(r.left) == 0 {
		w.endClaim(t, r)
		return
	}
	i := rapid.IntRange(0, len(r.left)-1).Draw(t, "voter")
	v := w.voters[r.left[i]]
	r.left = slices.Delete(r.left, i, i+1)
	if r.term >= v.term {
		v.term = r.term
		v.records[r.key.ID] = r.record
		r.acks++
	}
	if r.acks == 2 {
		w.endClaim(t, r)
	}
}

// loseClaim lets a home give up the replication of a claim. What is on its way
// may still arrive.
func (w *world) loseClaim(t *rapid.T) {
	if len(w.replications) > 0 {
		w.endClaim(t, rapid.SampledFrom(w.replications).Draw(t, "replication"))
	}
}

func (w *world) endClaim(t *rapid.T, r *replication) {
	if len(r.left) == 0 {
		w.replications = slices.DeleteFunc(w.replications, func(other *replication) bool { return other == r })
	}
	if r.ended {
		return
	}
	r.ended = true
	leased := r.home.leased && r.home.term == r.term
	dispatch, answer, waiters := r.home.table.Claimed(r.key, r.term, r.acks >= 2, leased)
	if dispatch {
		w.messages = append(w.messages, message{home: r.home, key: r.key})
	}
	if len(waiters) > 0 {
		w.answered(t, r.key, answer)
	}
}

// deliver ends a dispatch: it runs or not, and the home learns of it or not.
func (w *world) deliver(t *rapid.T) {
	if len(w.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
	m := w.messages[i]
	w.messages = slices.Delete(w.messages, i, i+1)
	status := msgs.StatusNotRun
	if rapid.Bool().Draw(t, "runs") {
		w.runs[m.key.ID]++
		require.Equal(t, 1, w.runs[m.key.ID])
		status = msgs.StatusOK
	}
	if rapid.Bool().Draw(t, "lost") {
		status = msgs.StatusLate
	}
	if waiters := m.home.table.Resolve(m.key, msgs.Answer{Status: status}); len(waiters) > 0 {
		w.answered(t, m.key, msgs.Answer{Status: status})
	}
	if record, ok := m.home.table.Record(m.key); ok && status == msgs.StatusOK {
		w.storeOutcome(t, m, record)
	}
}

func (w *world) storeOutcome(t *rapid.T, m message, record []byte) {
	for _, v := range w.voters {
		if m.home.term >= v.term && rapid.Bool().Draw(t, "stored") {
			v.records[m.key.ID] = record
		}
	}
}

// takeOver gives the lease to a home, with the records of a majority.
func (w *world) takeOver(t *rapid.T) {
	h := rapid.SampledFrom(w.homes).Draw(t, "home")
	for _, other := range w.homes {
		other.leased = false
	}
	w.term++
	without := rapid.IntRange(0, 2).Draw(t, "without")
	records := map[string][]byte{}
	for i, v := range w.voters {
		if i == without {
			continue
		}
		v.term = w.term
		for id, record := range v.records {
			if len(record) > len(records[id]) {
				records[id] = record
			}
		}
	}
	h.term, h.leased = w.term, true
	h.table.Load(group, h.term, records, w.now)
}

// die replaces a home's process, which loses its memory.
func (w *world) die(t *rapid.T) {
	h := rapid.SampledFrom(w.homes).Draw(t, "home")
	*h = home{table: claim.New(claim.Options{})}
	w.replications = slices.DeleteFunc(w.replications, func(r *replication) bool { return r.home == h && r.ended })
	for _, r := range w.replications {
		r.ended = r.ended || r.home == h
	}
}

// forget loses the records of all voters. Work on its way survives.
func (w *world) forget() {
	for _, v := range w.voters {
		v.records = map[string][]byte{}
		v.term = w.term + 1
	}
	w.term++
	for _, h := range w.homes {
		h.leased = false
		h.table = claim.New(claim.Options{})
	}
	w.replications = nil
	w.since = w.now
}

func (w *world) pass(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 100, 310}).Draw(t, "s")) * time.Second)
	for _, h := range w.homes {
		h.table.Expire(w.now)
	}
}
