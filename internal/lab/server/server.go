// Package server hosts stand-ins of backend servers. They speak the protocol
// of package bknd, have slots, a limit of connections, cold start and costs per
// connection, and show faults on request.
package server

import (
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// firstVersion is the index version that servers hold from the start.
const firstVersion = 1

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	spec     svcdoc.Server
	service  ident.ServiceID
	engine   *engine
	pool     *pool
	garbler  garbler
	ledger   *ledger
	recorder *trace.Recorder
	http     *fasthttp.Server
	group    conc.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	holdings []bknd.Map
	claim    claim
}

// newServer returns a server that does not listen yet. shards is the number of
// shards of its service.
func newServer(spec svcdoc.Server, shards uint32, ledger *ledger, options Options) *Server {
	spec.Limits.Slots = max(spec.Limits.Slots, 1)
	engine := newEngine(spec, options)
	s := &Server{
		spec:     spec,
		service:  serviceOf(spec.ID),
		engine:   engine,
		pool:     newPool(spec.Limits.Connections, engine.connect, engine.run),
		ledger:   ledger,
		recorder: options.Recorder,
		holdings: []bknd.Map{{Version: firstVersion, Shard: spec.Shard, Shards: shards}},
	}
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		Logger:             log.New(io.Discard, "", 0),
		MaxRequestBodySize: maxRequest,
		NoDefaultDate:      true,
	}
	return s
}

// maxRequest bounds the bodies of requests in bytes.
const maxRequest = 1 << 20

// start opens the server's address.
func (s *Server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	raw, err := net.Listen("tcp", s.spec.Address)
	if err != nil {
		return errors.Wrapf(err, "server: %s", s.spec.ID)
	}
	s.listener = raw
	s.group.Go(func() {
		// Serve ends when the listener is closed, which is no failure.
		_ = s.http.Serve(&listener{Listener: raw, pool: s.pool})
	})
	s.note("start")
	return nil
}

// kill closes the address and all connections and ends the run.
func (s *Server) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
		s.note("kill")
	}
	s.pool.reset()
	s.engine.restart()
	s.pool.gate.thaw()
}

// restart resets all connections and begins a new run in cold start.
func (s *Server) restart(cause string) {
	s.pool.reset()
	s.engine.restart()
	s.note(cause)
}

// close kills the server and waits for its goroutines.
func (s *Server) close() {
	s.kill()
	s.group.Wait()
}

// setHoldings replaces the shards that the server holds.
func (s *Server) setHoldings(holdings []bknd.Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdings = holdings
}

func (s *Server) maps() []bknd.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdings
}

func (s *Server) note(change string) {
	s.recorder.Record(trace.Event{Kind: trace.KindServer, Server: &trace.ServerChange{
		Server: s.spec.ID,
		Zone:   s.spec.Zone,
		Boot:   s.engine.boot(),
		Change: change,
	}})
}

// stats returns the counts of the server.
func (s *Server) stats() Stats {
	stats := s.engine.stats()
	s.pool.fill(&stats)
	stats.Server, stats.Zone, stats.Boot = s.spec.ID, s.spec.Zone, s.engine.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	stats.Up = s.listener != nil
	return stats
}

// claim is what the health and load endpoints claim. It is refreshed only
// after claimLag.
type claim struct {
	At      time.Time `json:"at"`
	State   string    `json:"state"`
	Running int       `json:"running"`
	Slots   int       `json:"slots"`
	lie     bool
}

// claims returns the present claim.
func (s *Server) claims() claim {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claim.lie || now.Sub(s.claim.At) < claimLag {
		return s.claim
	}
	s.claim = s.engine.claim()
	s.claim.At = now
	return s.claim
}

// lie makes the endpoints claim an idle and healthy server from now on, or
// ends that.
func (s *Server) lie(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claim = claim{State: stateOK, Slots: s.spec.Limits.Slots, lie: on}
}
