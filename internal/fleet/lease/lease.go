// Package lease decides who may send work to a group of backend servers. A
// Voter grants promises, a Holder collects them and knows until when it holds
// the lease. Both are plain state machines: they take messages and the time and
// return messages. Neither is safe for concurrent use.
//
// At no instant do two processes hold the lease of one group, provided that
// clocks drift apart by less than the margin during one lease length, and that
// every process counts time on its own monotonic clock.
package lease

import (
	"cmp"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	defaultLength  = 2 * time.Second
	defaultMargin  = 100 * time.Millisecond
	defaultClaimed = 11 * time.Minute
)

// Options sets the timing of leases. All processes of a fleet use the same.
type Options struct {
	// Length is the time for which a voter grants. 0 means 2 s.
	Length time.Duration
	// Margin is what a holder subtracts for clock drift. 0 means 100 ms.
	Margin time.Duration
	// Retention is the time for which claims are kept. 0 means 11 min.
	Retention time.Duration
}

// WithDefaults returns the options with zero values replaced.
func (o Options) WithDefaults() Options {
	return Options{
		Length:    cmp.Or(o.Length, defaultLength),
		Margin:    cmp.Or(o.Margin, defaultMargin),
		Retention: cmp.Or(o.Retention, defaultClaimed),
	}
}

// VoterConfig lists the processes that vote on a group's lease. While Prev is
// not empty a holder needs majorities of both lists.
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

// Kind says what a request asks for.
type Kind string

const (
	// Acquire asks for a promise and for what the voter keeps of the group.
	Acquire Kind = "acquire"
	// Renew asks to extend a promise.
	Renew Kind = "renew"
	// Release ends a promise.
	Release Kind = "release"
	// Sync extends a promise and hands the voter all claims.
	Sync Kind = "sync"
	// Claim extends a promise and hands the voter new claims.
	Claim Kind = "claim"
)

// Request is what a process asks of a voter.
type Request struct {
	Kind  Kind          `json:"kind"`
	Group ident.GroupID `json:"group"`
	Term  uint64        `json:"term"`
	Epoch uint64        `json:"epoch"`
	// HandoverState replaces the bytes that the voter keeps for a successor, if Seq is
	// not 0 and higher than the voter's.
	HandoverState []byte `json:"carry,omitempty"`
	HandoverSeq   uint64 `json:"seq,omitempty"`
	// Claims are records to keep.
	Claims map[string][]byte `json:"claims,omitempty"`
	// CompleteSince is the time before which claims may have been lost.
	CompleteSince time.Time `json:"since,omitzero"`
}

// Refusal says why a voter did not grant.
type Refusal string

const (
	// Granted is the absence of a refusal.
	Granted Refusal = ""
	// Starting means that the voter has run for less than one lease length.
	Starting Refusal = "starting"
	// OldEpoch means that the request's epoch is lower than the voter's.
	OldEpoch Refusal = "outdated"
	// Held means that another process has the promise.
	Held Refusal = "held"
	// OldTerm means that the request's term is too low or was released.
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
	// Holder has the voter's promise for another Remaining, if the refusal is
	// Held.
	Holder    ident.Process `json:"holder,omitzero"`
	Remaining time.Duration `json:"remaining,omitempty"`
	// Synced is the epoch of a Sync that was granted.
	Synced uint64 `json:"synced,omitempty"`
	// StoredState is set on answers to Acquire.
	StoredState *StoredState `json:"legacy,omitempty"`
}

// StoredState is what a voter kept of earlier holders of a group.
type StoredState struct {
	HandoverState []byte            `json:"carry,omitempty"`
	HandoverTerm  uint64            `json:"term"`
	HandoverSeq   uint64            `json:"seq"`
	Claims        map[string][]byte `json:"claims,omitempty"`
	CompleteSince time.Time         `json:"since,omitzero"`
	// EndedAgo is the time since the end of the previous holder's promise.
	EndedAgo time.Duration `json:"ended,omitempty"`
}
