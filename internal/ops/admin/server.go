// Package admin serves what operators and collectors ask one process: its
// state dump, its picture of the fleet and its metrics.
package admin

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp/pprofhandler"

	"github.com/samphirestair/samphirestair/internal/link/sever"
)

// fleetTimeout bounds the collection of the fleet's status.
const fleetTimeout = 3 * time.Second

// Section returns one part of the state dump as a value that can be encoded as
// JSON. It is called concurrently.
type Section func() any

// Deps are what a Server needs.
type Deps struct {
	Logger  *slog.Logger
	Metrics *metrics.Set
	// Sections are the parts of the state dump by name.
	Sections map[string]Section
	// Status returns the status of this VM. It is called concurrently.
	Status func() any
	// Fleet collects the status of all VMs. It is called concurrently.
	Fleet func(ctx context.Context) any
	// Cut is set if tests may inject link failures, and nil otherwise.
	Cut *sever.Blocklist
}

// Server is the admin listener of one process.
type Server struct {
	deps Deps
	app  *fiber.App
}

// New returns a server. It does not listen yet.
func New(deps Deps) *Server {
	s := &Server{deps: deps, app: fiber.New()}
	s.app.Get("/state", s.state)
	s.app.Get("/state/:section", s.section)
	s.app.Get("/status", s.status)
	s.app.Get("/fleet", s.fleet)
	s.app.Get("/metrics", s.metrics)
	s.app.Get("/debug/pprof/*", s.profile)
	if deps.Cut != nil {
		s.app.Post("/test/cut", s.cut)
	}
	return s
}

// Listen opens the port for operators and collectors. TLS would wrap the
// listener here.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrap(err, "admin: listen")
}

// Serve answers requests from l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	config := fiber.ListenConfig{DisableStartupMessage: true}
	return errors.Wrap(s.app.Listener(l, config), "admin: serve")
}

// Shutdown stops the server once the requests under way are answered.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.app.ShutdownWithContext(ctx), "admin: shutdown")
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

// profile serves the profiles of the Go runtime.
func (s *Server) profile(c fiber.Ctx) error {
	pprofhandler.PprofHandler(c.RequestCtx())
	return nil
}

// cutRequest lists the IP addresses towards which the process loses what it
// sends. It replaces the previous list.
type cutRequest struct {
	To []string `json:"to"`
}

func (s *Server) cut(c fiber.Ctx) error {
	var request cutRequest
	if err := c.Bind().JSON(&request); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	s.deps.Cut.Set(request.To)
	s.deps.Logger.Warn("links_cut", slog.Any("to", request.To))
	return c.SendStatus(fiber.StatusNoContent)
}
