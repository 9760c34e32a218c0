package story

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

const (
	// defaultWorkTime is the time that a server takes for a request. Until the
	// transcript begins, warmUpExtraTime is added: requests after it finish before the
	// hedging delay learned during warm-up and are not hedged.
	defaultWorkTime = 4 * time.Millisecond
	warmUpExtraTime = 500 * time.Microsecond
)

// Server is a fake backend server with settable work time and index version. It is
// safe for concurrent use.
type Server struct {
	transcript *Transcript
	id         ident.ServerID
	address    string
	latency    time.Duration

	mu       sync.Mutex
	maps     []bknd.Map
	workTime time.Duration
	actions  int
	cancels  map[string]chan struct{}
}

// reply is the status, body and header of index versions of an answer.
type reply struct {
	status int
	body   string
	maps   string
}

// newServer returns a server that holds version 1. Its work time and latency grow with
// index, so that no two servers answer at the same moment.
func newServer(transcript *Transcript, server svcdoc.Server, index int) *Server {
	step := time.Duration(index) * 10 * time.Microsecond
	return &Server{
		transcript: transcript, id: server.ID, address: server.Address,
		latency: 200*time.Microsecond + 3*step, workTime: defaultWorkTime + warmUpExtraTime + step,
		maps:    []bknd.Map{{Version: 1, Shard: server.Shard, Shards: shards}},
		cancels: map[string]chan struct{}{},
	}
}

// SetWorkTime sets the time that the server takes for a request.
func (s *Server) SetWorkTime(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workTime = work
}

func (s *Server) endWarmUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workTime -= warmUpExtraTime
}

// ReplaceVersion makes the server hold the given index version and no other.
func (s *Server) ReplaceVersion(version ident.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transcript.Logf(string(s.id), "drops version %d and holds version %d", s.maps[0].Version, version)
	s.maps = []bknd.Map{{Version: version, Shard: s.maps[0].Shard, Shards: s.maps[0].Shards}}
}

// Actions returns the number of actions that the server ran.
func (s *Server) Actions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.actions
}

func (s *Server) connect() net.Conn {
	client, server := net.Pipe()
	go s.serve(server)
	return client
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, writer := bufio.NewReader(conn), bufio.NewWriter(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(s.latency)
		answer := s.handle(request)
		time.Sleep(s.latency)
		if s.write(writer, request, answer) != nil {
			return
		}
	}
}

func (s *Server) handle(request *http.Request) reply {
	id := request.Header.Get(bknd.HeaderRequest)
	switch request.URL.Path {
	case bknd.PathHello:
		return s.answer(http.StatusNoContent, "")
	case bknd.PathCancel:
		s.cancel(id)
		return s.answer(http.StatusNoContent, "")
	}
	number, ok := s.find(request.Header.Get(bknd.HeaderVersion))
	if !ok {
		return s.answer(bknd.StatusWrongVersion, "")
	}
	what := "search of version " + fmt.Sprint(number)
	if request.URL.Path == bknd.PathAction {
		what = fmt.Sprintf("%q", request.Header.Get(bknd.HeaderAction))
	}
	return s.run(request, id, what)
}

func (s *Server) run(request *http.Request, id, what string) reply {
	cancelled := make(chan struct{})
	s.mu.Lock()
	s.cancels[id] = cancelled
	work := s.workTime
	s.mu.Unlock()
	s.transcript.Logf(string(s.id), "starts %s", what)
	select {
	case <-cancelled:
		s.transcript.Logf(string(s.id), "cancels %s", what)
		return s.answer(bknd.StatusCancelled, "")
	case <-time.After(timeLeft(request)):
		s.transcript.Logf(string(s.id), "gives up %s at its deadline", what)
		return s.answer(bknd.StatusDeadline, "")
	case <-time.After(work):
	}
	s.transcript.Logf(string(s.id), "ends %s", what)
	if request.URL.Path == bknd.PathAction {
		return s.answer(http.StatusOK, fmt.Sprintf(`{"booking":%d}`, s.recordAction()))
	}
	return s.answer(http.StatusOK, fmt.Sprintf(`{"hits":[{"id":"%s","score":1}]}`, s.id))
}

// timeLeft returns the time until the deadline of a request, or 0 if its header is
// missing or malformed.
func timeLeft(request *http.Request) time.Duration {
	left, err := strconv.ParseInt(request.Header.Get(bknd.HeaderDeadline), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(left) * time.Microsecond
}

// recordAction counts an action and returns its number.
func (s *Server) recordAction() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actions++
	return s.actions
}

func (s *Server) cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancelled, ok := s.cancels[id]; ok {
		close(cancelled)
		delete(s.cancels, id)
	}
}

// find returns the version that text denotes, and whether the server holds it.
func (s *Server) find(text string) (ident.Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range s.maps {
		if strconv.FormatUint(uint64(held.Version), 10) == text {
			return held.Version, true
		}
	}
	return 0, false
}

// write sends an answer with the headers that all answers have.
func (s *Server) write(w *bufio.Writer, request *http.Request, answer reply) error {
	header := http.Header{}
	for _, name := range []string{bknd.HeaderRequest, bknd.HeaderVersion, bknd.HeaderShard} {
		header.Set(name, request.Header.Get(name))
	}
	header.Set(bknd.HeaderBoot, "boot-1")
	header.Set(bknd.HeaderMaps, answer.maps)
	response := http.Response{
		StatusCode: answer.status, ProtoMajor: 1, ProtoMinor: 1, Request: request, Header: header,
		Body: io.NopCloser(strings.NewReader(answer.body)), ContentLength: int64(len(answer.body)),
	}
	if err := response.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// answer returns an answer with the index versions that the server holds now.
func (s *Server) answer(status int, body string) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return reply{status: status, body: body, maps: bknd.FormatMaps(s.maps)}
}
