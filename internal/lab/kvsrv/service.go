// Package kvsrv is a fake of the platform's key-value service. It offers
// compare-and-swap, leases with a time to live, watches by long polling and values up
// to one megabyte, and injects faults on request.
package kvsrv

import (
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/samphirestair/samphirestair/internal/lab/httpd"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

// Paths of the service besides those of package store.
const (
	PathLease = "/v1/lease"
	PathFault = "/v1/fault"
	PathCalls = "/v1/calls"
)

// HeaderLease attaches the key that is written to a lease.
const HeaderLease = "X-Lease"

const (
	// maxValue is the largest size of a value in bytes.
	maxValue = 1 << 20
	// maxWait is the longest wait of a watch.
	maxWait = time.Minute
)

// Service is the fake service. It is safe for concurrent use.
type Service struct {
	table  *table
	faults *faults
	calls  counters
	closed chan struct{}
	daemon *httpd.Daemon
}

// Start serves an empty store on address.
func Start(address string) (*Service, error) {
	s := &Service{table: newTable(), faults: newFaults(), closed: make(chan struct{})}
	daemon, err := httpd.Start(address, s.app())
	if err != nil {
		return nil, errors.Wrap(err, "kvsrv")
	}
	s.daemon = daemon
	return s, nil
}

// URL returns the base URL of the service.
func (s *Service) URL() string {
	return s.daemon.URL()
}

// SetFault replaces the fault in effect and ends the waiting watches.
func (s *Service) SetFault(fault Fault) {
	s.faults.set(fault)
}

// Calls returns the counts of calls.
func (s *Service) Calls() Calls {
	return s.calls.snapshot()
}

// Close ends the waiting watches and stops the service.
func (s *Service) Close() error {
	close(s.closed)
	return errors.Wrap(s.daemon.Close(), "kvsrv")
}

func (s *Service) app() *fiber.App {
	app := httpd.NewApp()
	app.Get(store.PathKV+"*", s.handleGet)
	app.Put(store.PathKV+"*", s.handlePut)
	app.Post(PathLease, s.handleGrant)
	app.Post(PathLease+"/:id", s.handleRenew)
	app.Get(PathCalls, func(c fiber.Ctx) error { return c.JSON(s.Calls()) })
	app.Post(PathFault, httpd.Setter(s.SetFault))
	return app
}

func (s *Service) handleGet(c fiber.Ctx) error {
	if c.Query(store.ParamAfter) != "" {
		return s.handleWatch(c)
	}
	s.calls.gets.Add(1)
	if _, up := s.faults.admit(); !up {
		return s.refuse(c)
	}
	entry, _ := s.table.get(c.Params("*"))
	return sendRecord(c, entry)
}

func (s *Service) handleWatch(c fiber.Ctx) error {
	s.calls.watches.Add(1)
	after, err := strconv.ParseUint(c.Query(store.ParamAfter), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	fault, up := s.faults.admit()
	if !up {
		return s.refuse(c)
	}
	s.calls.waiting.Add(1)
	defer s.calls.waiting.Add(-1)
	return s.watch(c, after, fault)
}

// watch answers when the revision of the key is above after, when the wait is over, or
// when the fault changes or the service closes.
func (s *Service) watch(c fiber.Ctx, after uint64, fault <-chan struct{}) error {
	timer := time.NewTimer(watchWait(c))
	defer timer.Stop()
	for {
		entry, changed := s.table.get(c.Params("*"))
		if entry.revision > after {
			return sendRecord(c, entry)
		}
		select {
		case <-changed:
		case <-fault:
			return s.refuse(c)
		case <-s.closed:
			return s.refuse(c)
		case <-timer.C:
			return c.SendStatus(fiber.StatusNotModified)
		}
	}
}

func watchWait(c fiber.Ctx) time.Duration {
	millis, err := strconv.Atoi(c.Query(store.ParamWait))
	if err != nil || millis < 0 {
		return maxWait
	}
	return min(time.Duration(millis)*time.Millisecond, maxWait)
}

func (s *Service) handlePut(c fiber.Ctx) error {
	s.calls.swaps.Add(1)
	if _, up := s.faults.admit(); !up {
		return s.refuse(c)
	}
	expect, err := strconv.ParseUint(c.Get(store.HeaderExpect), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if len(c.Body()) > maxValue {
		return fiber.ErrRequestEntityTooLarge
	}
	value := append([]byte(nil), c.Body()...)
	revision, outcome := s.table.swap(c.Params("*"), expect, value, c.Get(HeaderLease))
	return s.sendOutcome(c, revision, outcome)
}

func (s *Service) sendOutcome(c fiber.Ctx, revision uint64, outcome swapResult) error {
	c.Set(store.HeaderRevision, strconv.FormatUint(revision, 10))
	switch outcome {
	case conflict:
		s.calls.conflicts.Add(1)
		return c.SendStatus(fiber.StatusPreconditionFailed)
	case noLease:
		return c.SendStatus(fiber.StatusBadRequest)
	}
	if s.faults.loseAnswer() {
		s.calls.lost.Add(1)
		closeUnanswered(c)
		return nil
	}
	return c.SendStatus(fiber.StatusOK)
}

// closeUnanswered closes the connection without answering the request.
func closeUnanswered(c fiber.Ctx) {
	ctx := c.RequestCtx()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func (s *Service) handleGrant(c fiber.Ctx) error {
	return s.handleLease(c, func(ttl time.Duration) error {
		return c.JSON(Lease{ID: s.table.grant(ttl)})
	})
}

func (s *Service) handleRenew(c fiber.Ctx) error {
	return s.handleLease(c, func(ttl time.Duration) error {
		if !s.table.renew(c.Params("id"), ttl) {
			return c.SendStatus(fiber.StatusNotFound)
		}
		return c.JSON(Lease{ID: c.Params("id")})
	})
}

// handleLease decodes a request for a lease and answers it unless the service
// is down.
func (s *Service) handleLease(c fiber.Ctx, answer func(ttl time.Duration) error) error {
	s.calls.leases.Add(1)
	if _, up := s.faults.admit(); !up {
		return s.refuse(c)
	}
	var terms leaseTerms
	if err := c.Bind().JSON(&terms); err != nil {
		return err
	}
	return answer(terms.ttl())
}

func (s *Service) refuse(c fiber.Ctx) error {
	s.calls.refused.Add(1)
	return c.SendStatus(fiber.StatusServiceUnavailable)
}

func sendRecord(c fiber.Ctx, r record) error {
	c.Set(store.HeaderRevision, strconv.FormatUint(r.revision, 10))
	if r.revision == 0 {
		return c.SendStatus(fiber.StatusNotFound)
	}
	return c.Send(r.value)
}

// Lease is the answer to a granted or renewed lease.
type Lease struct {
	ID string `json:"lease"`
}

// leaseTerms is the request for a lease.
type leaseTerms struct {
	TTLMillis int `json:"ttl_ms"`
}

func (t leaseTerms) ttl() time.Duration {
	return time.Duration(t.TTLMillis) * time.Millisecond
}
