package ctrl

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"
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
}

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
		newConn(ctx, &meteredConn{Conn: c, traffic: s.traffic}, s)
	}
}

// drain ignores further calls and waits for those in flight.
func (s *Server) drain() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.calls.Wait()
}

// Handle implements jsonrpc2.Handler. It runs the handler of a request on a new
// goroutine.
func (s *Server) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	s.traffic.callsIn.Inc()
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return
	}
	s.calls.Go(func() { s.handleCall(ctx, c, r) })
}

// handleCall runs the handler of a request and sends the reply, unless the request is
// a notification or the filter blocks the reply.
func (s *Server) handleCall(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	result, err := s.runHandler(ctx, r)
	if r.Notif || s.replyBlocked(r) {
		return
	}
	if err != nil {
		err = c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
	} else {
		err = c.Reply(ctx, r.ID, result)
	}
	if err != nil && ctx.Err() == nil {
		s.options.Logger.Debug("failed to send a control reply", "method", r.Method, "error", err)
	}
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
