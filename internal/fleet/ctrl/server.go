package ctrl

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/samphirestair/samphirestair/internal/base/accept"
	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/core/guard"
)

// Handler handles calls of one method. It is called concurrently. Its context is
// canceled when the connection closes. Callers get its error as ErrRemote.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// ServerOptions configures a server. All fields are optional.
type ServerOptions struct {
	Logger  *slog.Logger
	Metrics *metrics.Set
	// Filter blocks replies to callers; nil blocks none.
	Filter Filter
	// Reporter records the connections that are closed.
	Reporter *guard.Reporter
}

// maxCalls is the number of calls of a connection that run at a time. Further ones are read once
// one of them has ended.
const maxCalls = 16

// Server serves control calls of other VMs.
type Server struct {
	options ServerOptions
	traffic *trafficMetrics

	mu       sync.RWMutex
	handlers map[string]Handler
	closed   bool
	calls    conc.WaitGroup
}

// NewServer returns a server without handlers.
func NewServer(options ServerOptions) *Server {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Server{
		options:  options,
		traffic:  newTrafficMetrics(options.Metrics),
		handlers: map[string]Handler{},
	}
}

// Register sets the handler of a method. It panics if the method already has one,
// because that is a programming error.
func (s *Server) Register(method string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.handlers[method]; taken {
		panic(fmt.Sprintf("ctrl: method %q registered twice", method))
	}
	s.handlers[method] = h
}

// Handle registers a handler whose parameters and result are decoded from and
// encoded as JSON.
func Handle[P, R any](s *Server, method string, h func(ctx context.Context, params P) (R, error)) {
	s.Register(method, func(ctx context.Context, data json.RawMessage) (any, error) {
		var params P
		if len(data) > 0 {
			if err := json.Unmarshal(data, &params); err != nil {
				return nil, errors.Wrapf(err, "ctrl: parameters of %s", method)
			}
		}
		return h(ctx, params)
	})
}

// Serve accepts connections until ctx ends, then closes them and waits for running
// handlers. It returns nil then, or an error if accepting fails before.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer s.drain()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "ctrl: accept")
		}
		holder := accept.Holder(c)
		st := newStream(&meteredConn{Conn: c, traffic: s.traffic}, holder, s.options.Reporter.Closed)
		newConn(ctx, st, &session{server: s, stream: st, holder: holder, running: make(chan struct{}, maxCalls)})
	}
}

// drain ignores further calls and waits for those in flight.
func (s *Server) drain() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.calls.Wait()
}

// session handles the calls of one connection.
type session struct {
	server *Server
	stream *stream
	holder *budget.Holder
	// running has an element for each call that runs.
	running chan struct{}
	// replying is held while a reply is encoded and sent, so that the replies of a connection
	// whose other side doesn't read are not all in memory.
	replying sync.Mutex
}

// Handle implements jsonrpc2.Handler. It runs the handler of a request on a new
// goroutine. No further message is read while a large one is handled, or while maxCalls are.
func (c *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	c.server.traffic.callsIn.Inc()
	select {
	case c.running <- struct{}{}:
	case <-ctx.Done():
		return
	}
	done := make(chan struct{})
	if !c.server.start(func() {
		defer func() { <-c.running; close(done) }()
		c.handleCall(ctx, conn, r)
	}) {
		return
	}
	if c.stream.large {
		<-done
	}
}

// start runs a call on a new goroutine. It returns false if the server is closed.
func (s *Server) start(call func()) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return false
	}
	s.calls.Go(call)
	return true
}

// handleCall runs the handler of a request and sends the reply, unless the request is
// a notification or the filter blocks the reply.
func (c *session) handleCall(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	result, err := c.server.runHandler(ctx, r)
	if r.Notif || c.server.replyBlocked(r) {
		return
	}
	c.replying.Lock()
	defer c.replying.Unlock()
	if err = c.reply(ctx, conn, r.ID, result, err); err != nil && ctx.Err() == nil {
		c.server.options.Logger.Debug("failed to send a control reply", "method", r.Method, "error", err)
		// A part of the reply may have been written, after which no other can follow.
		_ = conn.Close()
	}
}

// reply encodes and sends a reply within the memory that the connection may have.
func (c *session) reply(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, result any, failure error) error {
	response := &jsonrpc2.Response{ID: id}
	if failure == nil {
		failure = response.SetResult(result)
	}
	if failure != nil {
		response.Error = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: failure.Error()}
	} else if size := len(*response.Result); size > budget.SmallSize && !c.holder.Reserve(budget.Response, 2*size, time.Now().Add(budget.MaxWait)) {
		c.server.options.Reporter.Closed(guard.NoMemory)
		return budget.ErrNoMemory
	}
	defer c.holder.Set(budget.Response, 0)
	return conn.SendResponse(ctx, response)
}

func (s *Server) runHandler(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	s.mu.RLock()
	h, ok := s.handlers[r.Method]
	s.mu.RUnlock()
	if !ok {
		return nil, errors.Newf("ctrl: unknown method %q", r.Method)
	}
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	return h(ctx, params)
}

// replyBlocked reports whether the filter blocks replies to the sender of a request.
func (s *Server) replyBlocked(r *jsonrpc2.Request) bool {
	if s.options.Filter == nil || r.Meta == nil {
		return false
	}
	var meta callMeta
	if err := json.Unmarshal(*r.Meta, &meta); err != nil {
		return false
	}
	return !s.options.Filter.Allowed(meta.From)
}
