package pool

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// endCheckTimeout bounds the connection that tells whether a process has ended. It
	// exceeds the round trip between availability zones many times.
	endCheckTimeout = 100 * time.Millisecond
	// endCheckGrace is how long a new connection has to stay open before it shows that the
	// process lives. A proxy accepts connections to a process that has ended, and closes them.
	endCheckGrace = 10 * time.Millisecond
)

// endCheck is a check whether the process of a server has ended, shared by all attempts
// whose connections were closed meanwhile.
type endCheck struct {
	done  chan struct{}
	ended bool
}

// isClosedByPeer reports whether an error of a connection means that the other side closed
// or reset it, rather than that the link failed or this VM closed it.
func isClosedByPeer(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// finishClosed ends an attempt whose answer could not be read. If the server closed the
// connection, the result says whether its process has ended, which takes a round trip.
// lived is set if the process was seen to live while it had the request.
func (p *Pool) finishClosed(s *server, call *Call, lived bool, err error) {
	result := Result{Outcome: Broken, Reason: err.Error(), Shared: s.requests()}
	if isClosedByPeer(err) && !call.isCancelled() && time.Now().Before(call.deadline) {
		result.Gone = p.hasEnded(s)
		result.Ended = result.Gone && lived
	}
	if result.Gone {
		result.Reason = "the server's process ended"
	}
	call.finish(result)
}

// hasEnded reports whether the process of a server has ended: it refuses connections, or
// closes them at once.
func (p *Pool) hasEnded(s *server) bool {
	check, isNew := s.joinEndCheck()
	if isNew {
		check.ended = p.checkEnded(s)
		s.finishEndCheck(check)
	}
	<-check.done
	return check.ended
}

// checkEnded opens a connection to a server. It keeps the connection for later requests if
// it stays open.
func (p *Pool) checkEnded(s *server) bool {
	if !s.reserveExtra() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	nc, err := p.connect(ctx, s)
	if err != nil {
		p.releaseSlot(s)
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if !staysOpen(nc) {
		_ = nc.Close()
		p.releaseSlot(s)
		return true
	}
	p.dials.Inc()
	go newConn(p, s, nc).serveIdle()
	return false
}

// staysOpen reports whether the other side keeps a new connection open for endCheckGrace
// and sends nothing.
func staysOpen(nc net.Conn) bool {
	if nc.SetReadDeadline(time.Now().Add(endCheckGrace)) != nil {
		return false
	}
	_, err := nc.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded) && nc.SetReadDeadline(time.Time{}) == nil
}
