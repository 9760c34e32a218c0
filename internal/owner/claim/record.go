package claim

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// maxRecordBody is the maximum size in bytes of an outcome that is replicated. After the
// lease moves to another VM, the outcome of an action with a larger one is unknown.
const maxRecordBody = 256 << 10

// record is the replicated form of an action: its claim and, if it ran, its outcome.
type record struct {
	Issued time.Time `json:"issued"`
	Digest uint64    `json:"digest"`
	// Done is set if the action ran. The fields that follow are its outcome.
	Done    bool          `json:"done,omitempty"`
	Server  string        `json:"server,omitempty"`
	Shard   uint32        `json:"shard,omitempty"`
	Version ident.Version `json:"version,omitempty"`
	Body    []byte        `json:"body,omitempty"`
}

// Record returns the replicated form of the action with the given key. It returns false if
// the key is not known or the outcome is too large to replicate.
func (t *Table) Record(key Key) ([]byte, bool) {
	e, known := t.entries[key]
	if !known || len(e.answer.Body) > maxRecordBody {
		return nil, false
	}
	r := record{Issued: e.issued, Digest: e.digest}
	if e.state == stateDone {
		r.Done = true
		r.Server, r.Shard = e.answer.Server, e.answer.Shard
		r.Version, r.Body = ident.Version(e.answer.Version), e.answer.Body
	}
	data, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "claim: encode record"))
	}
	return data, true
}

// HasClaims reports whether the claims of the group were loaded for the lease term.
func (t *Table) HasClaims(group ident.GroupID, term uint64) bool {
	return t.loadedTerms[group] == term
}

// LoadClaims adds the claims that came with a new lease, by action key. Actions whose claim
// was still being replicated under an earlier lease become unknown, and their waiters are
// returned. A key whose record cannot be decoded becomes unknown.
func (t *Table) LoadClaims(group ident.GroupID, term uint64, records map[string][]byte, now time.Time) []Waiter {
	t.loadedTerms[group] = term
	waiters := t.abandonReplications(group)
	for id, data := range records {
		t.loadClaim(Key{Group: group, ID: id}, data, now)
	}
	return waiters
}

// abandonReplications marks the group's actions as unknown whose claim is being replicated,
// and returns their waiters.
func (t *Table) abandonReplications(group ident.GroupID) []Waiter {
	var waiters []Waiter
	for key, e := range t.entries {
		if key.Group == group && e.state == stateReplicating {
			e.state = stateUnknown
			waiters = append(waiters, e.takeWaiters()...)
		}
	}
	return waiters
}

// loadClaim adds one claim. An outcome in the record completes an action that is unknown.
func (t *Table) loadClaim(key Key, data []byte, now time.Time) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		r = record{Issued: now}
	}
	e, known := t.entries[key]
	if !known {
		e = &entry{state: stateUnknown, issued: r.Issued, digest: r.Digest}
		t.entries[key] = e
	}
	if r.Done && e.state == stateUnknown {
		e.state = stateDone
		e.answer = msgs.Answer{
			Status: msgs.StatusOK, Server: r.Server, Shard: r.Shard, Version: uint64(r.Version), Body: r.Body,
		}
	}
}
