package relay

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

// busyPause is the time for which a server without a free connection is not
// tried again.
const busyPause = 10 * time.Millisecond

// shard is the part of a query that one service answers.
type shard struct {
	service  ident.ServiceID
	attempts []attempt
	state    shardState
	// retryAt is the time of the next attempt, or zero.
	retryAt time.Time
	// retryReason says why there is one.
	retryReason hedge.Reason
	// faulty is an attempt that a backend server answered with its own failure.
	faulty int
	// crossing is why the last chosen server may be one of another zone.
	crossing crossing
}

type shardState uint8

const (
	shardOpen shardState = iota
	shardServed
	shardLost
)

type attempt struct {
	server  ident.ServerID
	sentAt  time.Time
	hedgeAt time.Time
	// carried is set if another VM sends it.
	carried bool
	// open is set until a reply arrives.
	open bool
	// mayRun is set while the backend server may run it or have run it.
	mayRun bool
	// reached is set unless the request certainly did not arrive.
	reached bool
}

// tried reports whether the shard was sent to a server. A server that had no
// free connection counts for a moment only.
func (s *shard) tried(now time.Time, id ident.ServerID) bool {
	for i := range s.attempts {
		a := &s.attempts[i]
		if a.server == id && (a.open || a.reached || now.Sub(a.sentAt) < busyPause) {
			return true
		}
	}
	return false
}

// reached reports whether an attempt may have arrived at a backend server.
func (s *shard) reached() bool {
	for i := range s.attempts {
		if s.attempts[i].reached {
			return true
		}
	}
	return false
}

// canResend reports whether all attempts were refused, so that a server may be
// asked once more.
func (s *shard) canResend() bool {
	for i := range s.attempts {
		if s.attempts[i].open || s.attempts[i].mayRun {
			return false
		}
	}
	return true
}

// forgetRefusals lets the servers that refused be asked again.
func (s *shard) forgetRefusals() {
	for i := range s.attempts {
		s.attempts[i].server = ""
	}
}
