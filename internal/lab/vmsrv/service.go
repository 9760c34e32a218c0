// Package vmsrv is a fake of the platform's service that lists the VMs. It can be made
// to lag or to be unavailable.
package vmsrv

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/samphirestair/samphirestair/internal/lab/httpd"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
)

// PathFault is the path to which a Fault is posted to replace the one in effect.
const PathFault = "/v1/fault"

// Fault is a fault of the service. The zero value is a healthy service.
type Fault struct {
	// Down makes the service answer requests for the list with status 503.
	Down bool `json:"down"`
	// LagMillis is the time until a change shows in the list, in milliseconds.
	LagMillis int `json:"lag_ms"`
}

// Service is the fake service. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	fault   Fault
	history []listVersion
	daemon  *httpd.Daemon
}

// listVersion is the list of VMs that holds from since until the next version.
type listVersion struct {
	since time.Time
	vms   []vmlist.VM
}

// Start serves an empty list on address with the given fault.
func Start(address string, fault Fault) (*Service, error) {
	s := &Service{fault: fault}
	daemon, err := httpd.Start(address, s.app())
	if err != nil {
		return nil, errors.Wrap(err, "vmsrv")
	}
	s.daemon = daemon
	return s, nil
}

// URL returns the base URL of the service.
func (s *Service) URL() string {
	return s.daemon.URL()
}

// Close stops the service.
func (s *Service) Close() error {
	return errors.Wrap(s.daemon.Close(), "vmsrv")
}

// SetFault replaces the fault in effect.
func (s *Service) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetVMs sets the current list. Clients see it after the lag, but the first list at
// once.
func (s *Service) SetVMs(vms []vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := time.Now()
	if len(s.history) == 0 {
		since = time.Time{}
	}
	s.history = append(s.history, listVersion{since: since, vms: vms})
}

// VMs returns the list that clients see, which lags by Fault.LagMillis, or false if
// the service is down.
func (s *Service) VMs() ([]vmlist.VM, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Down {
		return nil, false
	}
	seen := time.Now().Add(-time.Duration(s.fault.LagMillis) * time.Millisecond)
	vms := []vmlist.VM{}
	for _, e := range s.history {
		if !e.since.After(seen) {
			vms = e.vms
		}
	}
	return vms, true
}

func (s *Service) app() *fiber.App {
	app := httpd.NewApp()
	app.Get(vmlist.PathVMs, s.handleGet)
	app.Put(vmlist.PathVMs, httpd.Setter(s.SetVMs))
	app.Post(PathFault, httpd.Setter(s.SetFault))
	return app
}

func (s *Service) handleGet(c fiber.Ctx) error {
	vms, up := s.VMs()
	if !up {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.JSON(vms)
}
