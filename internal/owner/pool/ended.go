package pool

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// endCheckTimeout bounds the opening of the connection that tells whether a process has
	// ended. It exceeds the round trip between availability zones many times.
	endCheckTimeout = 100 * time.Millisecond
	// defaultEndCheckGrace is the default of Options.EndCheckGrace.
	defaultEndCheckGrace = 10 * time.Millisecond
	// endWatchTime is how long a new connection is watched after that. It is shorter than the
	// time for which servers keep idle connections.
	endWatchTime = 500 * time.Millisecond
)

// endCheck is a check whether the process of a server has ended, shared by all attempts
// whose connections were closed meanwhile.
type endCheck struct {
	// waited is closed once attempts no longer wait for the result, and done once it is known.
	waited, done chan struct{}
	once         sync.Once
	result       endState
}

func newEndCheck() *endCheck {
	return &endCheck{waited: make(chan struct{}), done: make(chan struct{})}
}

// conclude sets the result. Only the first call has an effect.
func (c *endCheck) conclude(result endState) {
	c.once.Do(func() {
		c.result = result
		close(c.done)
	})
}

// follow lets the check end like an earlier one, whose connection is watched still, or without a
// sign of an end if there is none.
func (c *endCheck) follow(earlier *endCheck) {
	if earlier == nil || earlier.state() != undecided {
		c.conclude(alive)
		return
	}
	go func() {
		<-earlier.done
		c.conclude(earlier.result)
	}()
}

// state returns the result, or undecided if it is not known yet.
func (c *endCheck) state() endState {
	select {
	case <-c.done:
		return c.result
	default:
		return undecided
	}
}

// endState is what a new connection shows about a server's process.
type endState int

const (
	// undecided means that the new connection has neither been closed nor stayed open for
	// endWatchTime.
	undecided endState = iota
	// alive means that the process lives, or that nothing tells that it has ended.
	alive
	// refusing means that the address refuses connections. Nothing stands before the
	// process, so that it lived when it accepted earlier ones.
	refusing
	// closing means that connections are accepted and closed without an answer. A proxy may
	// have accepted earlier ones, too, when the process had already ended.
	closing
)

// isGone reports whether the process has ended.
func (s endState) isGone() bool {
	return s == refusing || s == closing
}

// isEndUnder reports whether the process ended while it had the request of a connection that
// was closed. lived is set if it has answered since that connection was opened.
func (s endState) isEndUnder(lived bool) bool {
	return s == refusing || s == closing && lived
}

// mayBeEndUnder reports whether the process ended and may have had that request.
func (s *server) mayBeEndUnder(state endState, lived bool) bool {
	return state == closing && !lived && !s.hasProven()
}

// isClosedByPeer reports whether an error of a connection means that the other side closed
// or reset it, rather than that the link failed or this VM closed it.
func isClosedByPeer(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// finishClosed ends an attempt whose answer could not be read. If the server closed the
// connection, the result says whether its process has ended, which takes a round trip, or
// the message's OnEnd is called later. lived is set if the process has answered since the
// connection was opened.
func (p *Pool) finishClosed(s *server, call *Call, lived bool, err error) {
	result := Result{Outcome: Broken, Reason: err.Error(), Shared: s.shareOfEnd()}
	if isClosedByPeer(err) && !call.isCancelled() && time.Now().Before(call.deadline) {
		check := p.checkEnd(s)
		state := check.state()
		result.Gone, result.Ended, result.MayHaveEnded = state.isGone(), state.isEndUnder(lived), s.mayBeEndUnder(state, lived)
		if onEnd := call.message.OnEnd; state == undecided && onEnd != nil {
			go func() {
				<-check.done
				if certain := check.result.isEndUnder(lived); certain || s.mayBeEndUnder(check.result, lived) {
					onEnd(s.target.process(), result.Shared, certain)
				}
			}()
		}
	}
	if result.Gone {
		result.Reason = "the server's process ended"
	}
	call.finish(result)
}

// checkEnd returns a check of the process of a server that attempts no longer wait for.
func (p *Pool) checkEnd(s *server) *endCheck {
	check, isNew := s.joinEndCheck()
	if isNew {
		p.openCheck(s, check)
		s.leaveEndCheck(check)
	}
	<-check.waited
	return check
}

// openCheck opens a new connection to a server. It keeps the connection for later requests if
// it stays open.
func (p *Pool) openCheck(s *server, check *endCheck) {
	if !s.reserveExtra() {
		check.follow(s.previousCheck())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	nc, err := p.connect(ctx, s)
	if err != nil {
		p.releaseSlot(s)
		check.conclude(stateOfDial(err))
		return
	}
	if !staysOpen(nc, p.options.EndCheckGrace) {
		_ = nc.Close()
		p.releaseSlot(s)
		check.conclude(closing)
		return
	}
	p.dials.Inc()
	c := newConn(p, s, nc)
	c.check = check
	time.AfterFunc(endWatchTime, func() { check.conclude(alive) })
	go c.serveIdle()
}

// stateOfDial returns what the failure to open a connection shows.
func stateOfDial(err error) endState {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return refusing
	case isClosedByPeer(err):
		return closing
	default:
		return alive
	}
}

// concludeCheck ends the check that the connection was opened for, if any. If the other side
// closed the connection with err, and the process has not answered meanwhile, it has ended.
func (c *conn) concludeCheck(err error) {
	if c.check == nil {
		return
	}
	if isClosedByPeer(err) && c.server.answerCount() == c.answersBefore {
		c.check.conclude(closing)
		return
	}
	c.check.conclude(alive)
}

// staysOpen reports whether the other side keeps a new connection open for a duration and
// sends nothing.
func staysOpen(nc net.Conn, d time.Duration) bool {
	if nc.SetReadDeadline(time.Now().Add(d)) != nil {
		return false
	}
	_, err := nc.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded) && nc.SetReadDeadline(time.Time{}) == nil
}
