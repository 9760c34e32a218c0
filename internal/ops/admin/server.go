// Package admin implements the HTTP listener for operators and metrics collectors: the
// state dump of the process, the status of the fleet, metrics and profiles.
package admin

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/core/guard"
	"github.com/samphirestair/samphirestair/internal/link/block"
)

const (
	// fleetTimeout limits how long the status of the fleet is collected.
	fleetTimeout = 3 * time.Second
	// maxBodyBytes is the maximum size of the body of a request, which lists IP addresses at
	// most.
	maxBodyBytes = 64 << 10
	// readTimeout and writeTimeout bound the time in which a request has to arrive and a
	// response has to be read, and idleTimeout the time for which a connection stays open
	// without a request.
	readTimeout, writeTimeout, idleTimeout = 10 * time.Second, 30 * time.Second, 2 * time.Minute
)

// Section returns one section of the state dump as a value that encodes to JSON. It is
// called concurrently.
type Section func() any

// Deps are the dependencies of a Server.
type Deps struct {
	Logger  *slog.Logger
	Metrics *metrics.Set
	// Sections are the sections of the state dump by name.
	Sections map[string]Section
	// Status returns the status of this VM, to be encoded as JSON. It is called concurrently.
	Status func() any
	// Fleet returns the status of the fleet, for which it may call other VMs until ctx
	// ends. It is called concurrently.
	Fleet func(ctx context.Context) any
	// Quarantine changes which requests are quarantined. It is nil if the process has none.
	Quarantine Quarantine
	// LinkCuts is set if tests may inject link failures, and nil otherwise.
	LinkCuts *block.Blocklist
	// Reporter records the connections that are closed. It may be nil.
	Reporter *guard.Reporter
}

// Quarantine lets operators decide about requests that end backend servers. Requests are given
// by their fingerprints.
type Quarantine interface {
	// Lift ends the quarantine of a request. It fails if nothing is known of the request.
	Lift(request string) error
	// Pin quarantines a request until it is lifted.
	Pin(request string) error
}

// Server answers requests at the admin listener of one process.
type Server struct {
	deps Deps
	app  *fiber.App
	http *fasthttp.Server
}

// New returns a server that does not listen yet.
func New(deps Deps) *Server {
	s := &Server{deps: deps, app: fiber.New()}
	s.app.Get("/state", s.state)
	s.app.Get("/state/:section", s.section)
	s.app.Get("/status", s.status)
	s.app.Get("/fleet", s.fleet)
	s.app.Get("/metrics", s.metrics)
	s.app.Get("/debug/pprof/*", s.profile)
	if deps.Quarantine != nil {
		s.app.Post("/quarantine/lift/:request", changeQuarantine(deps.Quarantine.Lift))
		s.app.Post("/quarantine/pin/:request", changeQuarantine(deps.Quarantine.Pin))
	}
	if deps.LinkCuts != nil {
		s.app.Post("/test/cut", s.setLinkCuts)
	}
	s.http = guard.Protect(&fasthttp.Server{
		Handler: s.app.Handler(), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, Logger: events.DiscardLogger{},
	}, guard.Options{MaxBody: func() int { return maxBodyBytes }, Reporter: deps.Reporter})
	return s
}

// Listen opens the admin port. To add TLS, wrap the listener here.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrap(err, "admin: listen")
}

// Serve answers requests that arrive at l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return errors.Wrap(s.http.Serve(l), "admin: serve")
}

// Shutdown stops the server after the requests in flight are answered, or when ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.http.ShutdownWithContext(ctx), "admin: shutdown")
}

func (s *Server) state(c fiber.Ctx) error {
	dump := make(map[string]any, len(s.deps.Sections))
	for name, section := range s.deps.Sections {
		dump[name] = section()
	}
	return c.JSON(dump)
}

func (s *Server) section(c fiber.Ctx) error {
	section, ok := s.deps.Sections[c.Params("section")]
	if !ok {
		return fiber.NewError(fiber.StatusNotFound, "unknown section")
	}
	return c.JSON(section())
}

func (s *Server) status(c fiber.Ctx) error {
	return c.JSON(s.deps.Status())
}

func (s *Server) fleet(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), fleetTimeout)
	defer cancel()
	return c.JSON(s.deps.Fleet(ctx))
}

func (s *Server) metrics(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	s.deps.Metrics.WritePrometheus(c.Response().BodyWriter())
	metrics.WriteProcessMetrics(c.Response().BodyWriter())
	return nil
}

// changeQuarantine returns a handler that applies a change to the request in the path.
func changeQuarantine(change func(request string) error) fiber.Handler {
	return func(c fiber.Ctx) error {
		if err := change(c.Params("request")); err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
		return c.JSON(map[string]string{"request": c.Params("request")})
	}
}

// profile serves the profiles of the Go runtime.
func (s *Server) profile(c fiber.Ctx) error {
	pprofhandler.PprofHandler(c.RequestCtx())
	return nil
}

// linkCutsRequest lists the IP addresses to which the process drops everything that it
// sends. It replaces the previous list.
type linkCutsRequest struct {
	To []string `json:"to"`
}

func (s *Server) setLinkCuts(c fiber.Ctx) error {
	var request linkCutsRequest
	if err := c.Bind().JSON(&request); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	s.deps.LinkCuts.Set(request.To)
	s.deps.Logger.Warn("links_cut", slog.Any("to", request.To))
	return c.SendStatus(fiber.StatusNoContent)
}
