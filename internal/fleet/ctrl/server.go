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

// Handler answers calls of one method. It is called concurrently. Its context
// ends with the connection.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// ServerOptions configures a server. The zero value is useful.
type ServerOptions struct {
	Logger  *slog.Logger
	Metrics *metrics.Set
	// Filter cuts links to callers; nil cuts none.
	Filter Filter
}

// Server answers control calls of other VMs.
type Server struct {
	options ServerOptions
	traffic *traffic

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
		traffic:  newTraffic(options.Metrics),
		handlers: map[string]Handler{},
	}
}

// Register sets the handler of a method. It panics if the method has one,
// because two handlers of one method are a programming error.
func (s *Server) Register(method string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.handlers[method]; taken {
		panic(fmt.Sprintf("ctrl: method %q registered twice", method))
	}
	s.handlers[method] = h
}

// Handle registers a handler with typed parameters and result.
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

// Serve accepts connections until ctx ends, then closes all and waits for the
// handlers.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer s.finish()
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

// finish refuses further calls and waits for those under way.
func (s *Server) finish() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.calls.Wait()
}

// Handle starts the handler of a request. It implements jsonrpc2.Handler.
func (s *Server) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	s.traffic.callsIn.Inc()
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return
	}
	s.calls.Go(func() { s.answer(ctx, c, r) })
}

func (s *Server) answer(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	result, err := s.call(ctx, r)
	if r.Notif || s.cut(r) {
		return
	}
	if err != nil {
		err = c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
	} else {
		err = c.Reply(ctx, r.ID, result)
	}
	if err != nil && ctx.Err() == nil {
		s.options.Logger.Debug("control reply failed", "method", r.Method, "error", err)
	}
}

func (s *Server) call(ctx context.Context, r *jsonrpc2.Request) (any, error) {
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

// cut reports whether the filter forbids the answer.
func (s *Server) cut(r *jsonrpc2.Request) bool {
	if s.options.Filter == nil || r.Meta == nil {
		return false
	}
	var from sender
	if err := json.Unmarshal(*r.Meta, &from); err != nil {
		return false
	}
	return !s.options.Filter.Allowed(from.From)
}
