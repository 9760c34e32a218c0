package relay

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/query/cost"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

// noConnectionDelay is the time for which a server without a free connection is
// not tried again.
const noConnectionDelay = 10 * time.Millisecond

// shard is the state of one shard of a query. Each shard is served by a service of
// its own.
type shard struct {
	service ident.ServiceID
	// cost is what the cost of the sub-requests is learned by.
	cost     cost.Request
	attempts []attempt
	state    shardState
	// retryAt is the time of the scheduled retry, or zero if there is none.
	retryAt time.Time
	// retryReason is the reason for the scheduled retry.
	retryReason hedge.Reason
	// held is set if the next attempt waits until a server has answered the request. Its
	// reason is retryReason.
	held bool
	// reserved is the server whose rate allows the scheduled retry at retryAt, or nil if
	// the retry may go to any server.
	reserved *roster.Replica
	// serverErrorAttempt is the index of the last attempt that a server answered with
	// an error of its own, or -1.
	serverErrorAttempt int
	// crossZoneReason is the reason to report if the server that was chosen last is
	// in another zone.
	crossZoneReason crossZoneReason
}

type shardState uint8

const (
	shardPending shardState = iota
	shardAnswered
	shardFailed
)

type attempt struct {
	server ident.ServerID
	sentAt time.Time
	// hedgeAt is the time at which the attempt is hedged, or zero if it is not.
	hedgeAt time.Time
	// costFactor is the ratio of the likely cost to that of the route, and shardFactor the
	// part of it that is due to the shard.
	costFactor, shardFactor float64
	// delegated is set if a VM in another zone may send it on behalf of this one.
	delegated bool
	// exposed is set during a roll-out of the service.
	exposed *exposedAttempt
	// pending is set until a reply arrives.
	pending bool
	// mayHaveRun is cleared once it is certain that the server neither runs nor ran it.
	mayHaveRun bool
	// maybeReceived is cleared once it is certain that the server did not receive it.
	maybeReceived bool
}

// tried reports whether an attempt was sent to a server and is pending or may have
// been received. A server that could not be reached or had no free connection counts
// as tried for noConnectionDelay.
func (s *shard) tried(now time.Time, id ident.ServerID) bool {
	for i := range s.attempts {
		a := &s.attempts[i]
		if a.server == id && (a.pending || a.maybeReceived || now.Sub(a.sentAt) < noConnectionDelay) {
			return true
		}
	}
	return false
}

// maybeReceived reports whether a backend server may have received an attempt.
func (s *shard) maybeReceived() bool {
	for i := range s.attempts {
		if s.attempts[i].maybeReceived {
			return true
		}
	}
	return false
}

// allRefused reports whether no attempt is pending or may have run, so that the
// servers that refused may be tried again.
func (s *shard) allRefused() bool {
	for i := range s.attempts {
		if s.attempts[i].pending || s.attempts[i].mayHaveRun {
			return false
		}
	}
	return true
}

// forgetRefusals marks the servers that refused as not tried.
func (s *shard) forgetRefusals() {
	for i := range s.attempts {
		s.attempts[i].server = ""
	}
}
