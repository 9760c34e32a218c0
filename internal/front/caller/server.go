// Package caller is the HTTP server for callers: it provides the list of addresses
// to use and runs searches, lookups and actions.
package caller

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/core/guard"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/query/entry"
)

// Runner runs requests. Each method returns when the result is final.
type Runner interface {
	Search(ctx context.Context, request entry.Request) entry.Result
	Lookup(ctx context.Context, request entry.Request) entry.Result
	Action(ctx context.Context, request entry.Request) entry.Result
}

// Deps holds what a Server depends on. Now and NewID may be nil.
type Deps struct {
	Runner Runner
	Views  *view.Publisher
	// Reporter records the connections that are closed. It may be nil.
	Reporter *guard.Reporter
	// Now returns the time. nil means time.Now.
	Now func() time.Time
	// NewID returns the id for a request without one. nil means a random UUID.
	NewID func() string
}

// Options holds the limits of a Server. Zero fields mean the defaults.
type Options struct {
	// AddressLifetime is the time for which callers may use an address list. 0
	// means 30 s.
	AddressLifetime time.Duration
	// BodyLimit is the largest request body in bytes. 0 means 256 KiB.
	BodyLimit int
	// ReadTimeout bounds the time in which a request has to arrive. 0 means 10 s.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time in which a response has to be read. 0 means 10 s.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed. 0
	// means 90 s.
	IdleTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.AddressLifetime == 0 {
		o.AddressLifetime = 30 * time.Second
	}
	if o.BodyLimit == 0 {
		o.BodyLimit = 256 << 10
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = 10 * time.Second
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = 10 * time.Second
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 90 * time.Second
	}
	return o
}

// Server is the HTTP server for callers. It is safe for concurrent use.
type Server struct {
	deps    Deps
	options Options
	app     *fiber.App
	http    *fasthttp.Server
	closing atomic.Bool
}

// New returns a server that does not listen yet.
func New(deps Deps, options Options) *Server {
	if deps.Now == nil {
		deps.Now = time.Now
	}
	if deps.NewID == nil {
		deps.NewID = uuid.NewString
	}
	s := &Server{deps: deps, options: options.withDefaults()}
	s.app = fiber.New(fiber.Config{
		AppName:      "samphirestair",
		Immutable:    true,
		ErrorHandler: s.handleError,
	})
	s.route()
	s.http = guard.Protect(&fasthttp.Server{
		Handler:               s.app.Handler(),
		ReadTimeout:           s.options.ReadTimeout,
		WriteTimeout:          s.options.WriteTimeout,
		IdleTimeout:           s.options.IdleTimeout,
		NoDefaultServerHeader: true,
		Logger:                events.DiscardLogger{},
	}, guard.Options{
		MaxBody:  func() int { return s.options.BodyLimit },
		Reporter: deps.Reporter,
		Explain:  s.explainRefusal,
	})
	return s
}

// Listen opens the port for callers. Transport security would be added here.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrap(err, "caller: listen")
}

// Serve answers requests from listener. It blocks until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.http.Serve(listener), "caller: serve")
}

// AnnounceClose makes each further answer announce that its connection closes, so that
// callers send no request on a connection that Shutdown closes.
func (s *Server) AnnounceClose() {
	s.closing.Store(true)
}

// Shutdown closes the listener and waits until all requests are answered, or returns
// the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.http.ShutdownWithContext(ctx), "caller: shutdown")
}

// route registers the handlers.
func (s *Server) route() {
	s.app.Use(s.setMoveOnHeaders)
	s.app.Get("/v1/addresses", s.addresses)
	s.app.Get("/v1/ready", s.ready)
	s.app.Post("/v1/search/:service", s.search)
	s.app.Post("/v1/lookup/:service/:key", s.lookup)
	s.app.Post("/v1/action/:service/:action", s.action)
}

// setMoveOnHeaders sets the X-Move-On header, which asks callers to use other VMs,
// while this VM leaves, is out of service or admits no requests. After AnnounceClose it
// also closes the connection after the answer.
func (s *Server) setMoveOnHeaders(c fiber.Ctx) error {
	s.setMoveOn(c)
	if s.closing.Load() {
		c.RequestCtx().SetConnectionClose()
	}
	return c.Next()
}

func (s *Server) setMoveOn(c fiber.Ctx) {
	if shouldMoveOn(s.deps.Views.Load()) {
		c.Set(headerMoveOn, "1")
	}
}
