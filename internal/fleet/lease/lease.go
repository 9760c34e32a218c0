// Package lease implements majority leases: the process that holds the lease of
// a group is the only one that may send work to the group's backend servers. A
// Voter grants promises, each for one lease length. A Holder collects the
// promises of a majority and computes from them when its lease expires. Both are
// state machines without I/O: they take messages and the time and return
// messages. Neither is safe for concurrent use.
//
// No two processes hold the lease of one group at the same time, provided that
// clocks drift apart by less than the margin during one lease length, and that
// every process measures time on its own monotonic clock.
package lease

import (
	"cmp"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	defaultLength    = 2 * time.Second
	defaultMargin    = 100 * time.Millisecond
	defaultRetention = 11 * time.Minute
)

// Options sets the timing of leases. All processes of a fleet must use the same
// values.
type Options struct {
	// Length is the duration of a promise. 0 means 2 s.
	Length time.Duration
	// Margin is subtracted from Length by a holder to allow for clock drift. 0
	// means 100 ms.
	Margin time.Duration
	// Retention is the time after which Expire drops a claim. 0 means 11 min.
	Retention time.Duration
}

// WithDefaults returns the options with zero values replaced by the defaults.
func (o Options) WithDefaults() Options {
	return Options{
		Length:    cmp.Or(o.Length, defaultLength),
		Margin:    cmp.Or(o.Margin, defaultMargin),
		Retention: cmp.Or(o.Retention, defaultRetention),
	}
}

// VoterConfig lists the processes that vote on a group's lease. Each change of
// the lists has a higher Epoch. While the voters are being replaced, Prev lists
// the previous ones, and a holder needs a majority of both lists.
type VoterConfig struct {
	Epoch  uint64          `json:"epoch"`
	Voters []ident.Process `json:"voters"`
	Prev   []ident.Process `json:"prev,omitempty"`
}

// All returns the processes of both lists without duplicates.
func (e VoterConfig) All() []ident.Process {
	all := make([]ident.Process, 0, len(e.Voters)+len(e.Prev))
	seen := map[ident.Process]bool{}
	for _, list := range [][]ident.Process{e.Voters, e.Prev} {
		for _, p := range list {
			if !seen[p] {
				seen[p] = true
				all = append(all, p)
			}
		}
	}
	return all
}

// Kind is the kind of a request.
type Kind string

const (
	// Acquire asks for a promise and for the state that the voter stores for the
	// group.
	Acquire Kind = "acquire"
	// Renew extends a promise.
	Renew Kind = "renew"
	// Release ends a promise.
	Release Kind = "release"
	// Sync extends a promise and copies all claims to the voter.
	Sync Kind = "sync"
	// Claim extends a promise and copies new claims to the voter.
	Claim Kind = "claim"
)

// Request is a message from a process that holds or wants a lease to a voter.
// Term is the fencing token of the attempt or the lease.
type Request struct {
	Kind  Kind          `json:"kind"`
	Group ident.GroupID `json:"group"`
	Term  uint64        `json:"term"`
	Epoch uint64        `json:"epoch"`
	// HandoverState replaces the bytes that the voter stores for the next holder,
	// if HandoverSeq is not 0 and higher than the voter's, or Term is higher than
	// that of the stored bytes.
	HandoverState []byte `json:"carry,omitempty"`
	HandoverSeq   uint64 `json:"seq,omitempty"`
	// Claims holds records to store, by key.
	Claims map[string][]byte `json:"claims,omitempty"`
	// CompleteSince is the time before which claims may have been lost; zero if
	// none were.
	CompleteSince time.Time `json:"since,omitzero"`
}

// Refusal is the reason why a voter did not grant a request.
type Refusal string

const (
	// Granted means that the request was not refused.
	Granted Refusal = ""
	// Starting means that the voter has run for less than one lease length.
	Starting Refusal = "starting"
	// OldEpoch means that the request's epoch is lower than the voter's.
	OldEpoch Refusal = "outdated"
	// Held means that another process has the voter's promise.
	Held Refusal = "held"
	// OldTerm means that the request's term is too low or has been released.
	OldTerm Refusal = "term"
)

// Answer is a voter's answer to a request.
type Answer struct {
	Group   ident.GroupID `json:"group"`
	Refusal Refusal       `json:"refusal,omitempty"`
	Epoch   uint64        `json:"epoch"`
	// Term is the term of the request if it was granted, else the highest term
	// that the voter knows.
	Term uint64 `json:"term"`
	// Holder is the process that has the voter's promise, and Remaining the time
	// left of it. Both are set if the refusal is Held.
	Holder    ident.Process `json:"holder,omitzero"`
	Remaining time.Duration `json:"remaining,omitempty"`
	// Synced is the epoch of a granted Sync request.
	Synced uint64 `json:"synced,omitempty"`
	// StoredState is set if an Acquire request was granted.
	StoredState *StoredState `json:"legacy,omitempty"`
}

// StoredState is what a voter stores from earlier holders of a group.
// HandoverTerm and HandoverSeq order the versions of HandoverState.
type StoredState struct {
	HandoverState []byte            `json:"carry,omitempty"`
	HandoverTerm  uint64            `json:"term"`
	HandoverSeq   uint64            `json:"seq"`
	Claims        map[string][]byte `json:"claims,omitempty"`
	CompleteSince time.Time         `json:"since,omitzero"`
	// EndedAgo is the time since the promise to the previous holder ended; 0 if
	// there was none.
	EndedAgo time.Duration `json:"ended,omitempty"`
}
