// Package server runs simulated backend servers for tests. They implement the
// protocol of package bknd and simulate execution slots, a connection limit,
// cold start and the cost of new connections. Faults are injected on request.
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

// firstVersion is the index version that servers hold when they are created.
const firstVersion = 1

// Server is one simulated backend server. It is safe for concurrent use.
type Server struct {
	spec      svcdoc.Server
	service   ident.ServiceID
	engine    *engine
	pool      *pool
	corrupter corrupter
	ledger    *ledger
	recorder  *trace.Recorder
	http      *fasthttp.Server
	group     conc.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	held     []bknd.Map
	reported health
}

// newServer returns a server that does not listen yet. shards is the number of
// shards of the server's service.
func newServer(spec svcdoc.Server, shards uint32, ledger *ledger, options Options) *Server {
	spec.Limits.Slots = max(spec.Limits.Slots, 1)
	engine := newEngine(spec, options)
	s := &Server{
		spec:     spec,
		service:  serviceOf(spec.ID),
		engine:   engine,
		pool:     newPool(spec.Limits.Connections, engine.chargeConnection, engine.run),
		ledger:   ledger,
		recorder: options.Recorder,
		held:     []bknd.Map{{Version: firstVersion, Shard: spec.Shard, Shards: shards}},
	}
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		Logger:             log.New(io.Discard, "", 0),
		MaxRequestBodySize: maxRequest,
		NoDefaultDate:      true,
	}
	return s
}

// maxRequest is the maximum size of a request body in bytes.
const maxRequest = 1 << 20

// start listens on the server's address. It does nothing if the server listens
// already.
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
		// Serve returns an error when kill closes the listener; that is expected.
		_ = s.http.Serve(&listener{Listener: raw, pool: s.pool})
	})
	s.recordChange("start")
	return nil
}

// kill stops listening, resets all connections and ends the run, as if the
// server's process had been killed.
func (s *Server) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
		s.recordChange("kill")
	}
	s.pool.reset()
	s.engine.restart()
	s.pool.gate.thaw()
}

// restart resets all connections and begins a new run in cold start. cause is
// recorded in the history.
func (s *Server) restart(cause string) {
	s.pool.reset()
	s.engine.restart()
	s.recordChange(cause)
}

// close kills the server and waits for its goroutines.
func (s *Server) close() {
	s.kill()
	s.group.Wait()
}

// setMaps replaces the index versions and shards that the server holds.
func (s *Server) setMaps(maps []bknd.Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = maps
}

// maps returns the index versions and shards that the server holds.
func (s *Server) maps() []bknd.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// recordChange records a change of the server's state in the history.
func (s *Server) recordChange(change string) {
	s.recorder.Record(trace.Event{Kind: trace.KindServer, Server: &trace.ServerChange{
		Server: s.spec.ID,
		Zone:   s.spec.Zone,
		Boot:   s.engine.boot(),
		Change: change,
	}})
}

// stats returns the server's counters and present state.
func (s *Server) stats() Stats {
	stats := s.engine.stats()
	s.pool.fillStats(&stats)
	stats.Server, stats.Zone, stats.Boot = s.spec.ID, s.spec.Zone, s.engine.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	stats.Up = s.listener != nil
	return stats
}

// health is the body of the health and load endpoints. It is refreshed at most
// once per healthLag, so that callers see outdated values.
type health struct {
	At      time.Time `json:"at"`
	State   string    `json:"state"`
	Running int       `json:"running"`
	Slots   int       `json:"slots"`
	fake    bool
}

// health returns what the health and load endpoints report.
func (s *Server) health() health {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported.fake || now.Sub(s.reported.At) < healthLag {
		return s.reported
	}
	s.reported = s.engine.health()
	s.reported.At = now
	return s.reported
}

// setFakeHealth makes the endpoints report an idle and healthy server whatever
// its state is, or ends that.
func (s *Server) setFakeHealth(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported = health{State: stateOK, Slots: s.spec.Limits.Slots, fake: on}
}
