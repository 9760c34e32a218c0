package server

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/lab/httpd"
)

// Paths of the control address of a host.
const (
	PathFault = "/v1/fault"
	PathStats = "/v1/stats"
)

// Host runs several simulated backend servers in one process. It is safe for
// concurrent use.
type Host struct {
	servers []*Server
	daemon  *httpd.Daemon
}

// Start starts the given servers, each at its own address, and an HTTP server
// at the control address that accepts faults and serves statistics.
func Start(specs []svcdoc.Server, control string, options Options) (*Host, error) {
	h := newHost(specs, options.withDefaults())
	daemon, err := httpd.Start(control, h.app())
	if err != nil {
		return nil, errors.Wrap(err, "server: control")
	}
	h.daemon = daemon
	for _, s := range h.servers {
		if err := s.start(); err != nil {
			return nil, errors.CombineErrors(err, h.Close())
		}
	}
	return h, nil
}

func newHost(specs []svcdoc.Server, options Options) *Host {
	ledger := newLedger(options.Recorder)
	shards := countShards(specs)
	h := &Host{}
	for _, spec := range specs {
		h.servers = append(h.servers, newServer(spec, shards[serviceOf(spec.ID)], ledger, options))
	}
	return h
}

// countShards returns the number of shards of each service, which is one more
// than its highest shard.
func countShards(specs []svcdoc.Server) map[ident.ServiceID]uint32 {
	shards := map[ident.ServiceID]uint32{}
	for _, spec := range specs {
		service := serviceOf(spec.ID)
		shards[service] = max(shards[service], uint32(spec.Shard)+1)
	}
	return shards
}

// serviceOf returns the service of a server: the part of its id before the
// slash.
func serviceOf(id ident.ServerID) ident.ServiceID {
	service, _, _ := strings.Cut(string(id), "/")
	return ident.ServiceID(service)
}

// URL returns the base URL of the control address.
func (h *Host) URL() string {
	return h.daemon.URL()
}

// Close stops all servers and the HTTP server of the control address.
func (h *Host) Close() error {
	for _, s := range h.servers {
		s.close()
	}
	return h.daemon.Close()
}

// Apply injects a fault into all servers that it selects. It fails if there are
// none.
func (h *Host) Apply(fault Fault) error {
	found := false
	for _, s := range h.servers {
		if !fault.matches(s) {
			continue
		}
		found = true
		if err := fault.apply(s); err != nil {
			return err
		}
	}
	if !found {
		return errors.New("server: the fault selects no server")
	}
	return nil
}

// Stats returns the statistics of all servers in the order of their ids.
func (h *Host) Stats() []Stats {
	all := make([]Stats, len(h.servers))
	for i, s := range h.servers {
		all[i] = s.stats()
	}
	slices.SortFunc(all, func(a, b Stats) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

func (h *Host) app() *fiber.App {
	app := httpd.NewApp()
	app.Post(PathFault, h.handleFault)
	app.Get(PathStats, func(c fiber.Ctx) error { return c.JSON(h.Stats()) })
	return app
}

func (h *Host) handleFault(c fiber.Ctx) error {
	var fault Fault
	if err := c.Bind().JSON(&fault); err != nil {
		return err
	}
	if err := h.Apply(fault); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	return c.SendStatus(fiber.StatusNoContent)
}
