package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is one request that a searcher ran.
type Run struct {
	ID     string
	Header http.Header
	At     time.Time
	// From is who opened the connection, if SetIdentify was called.
	From string
}

// Searcher is a stand-in of a searcher. It obeys Samphirestair-Expect-Instance.
type Searcher struct {
	ID, Service, Zone, Address string
	Born                       int64

	mu sync.Mutex
	// identify tells who opened a connection, by its remote address. It may be nil.
	identify func(remote net.Addr) string
	runs     []Run
	seq      int
	listener net.Listener
}

// NewSearcher starts a searcher on a free port.
func NewSearcher(id, service, zone string) (*Searcher, error) {
	s := &Searcher{ID: id, Service: service, Zone: zone, Born: time.Now().UnixMilli()}
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.Address = s.listener.Addr().String()
	go s.accept(s.listener)
	return s, nil
}

// Registration returns the value of the searcher's entry in the store.
func (s *Searcher) Registration(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return map[string]any{
		"backend": s.Service, "address": s.Address, "zone": s.Zone, "version": "1", "slots": 8, "state": state,
		"warmupLeftMs": 0, "sequence": s.seq, "born": s.Born,
	}
}

// Register writes the searcher's entry.
func (s *Searcher) Register(store *Store) { store.Set("servers/"+s.ID, s.Registration("ready")) }

// SetIdentify sets Identify while the searcher runs.
func (s *Searcher) SetIdentify(identify func(remote net.Addr) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identify = identify
}

// Runs returns the requests that ran so far.
func (s *Searcher) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Searcher) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Searcher) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	from := ""
	s.mu.Lock()
	identify := s.identify
	s.mu.Unlock()
	if identify != nil {
		from = identify(c.RemoteAddr())
	}
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Samphirestair-Request-Id")
		if expected := request.Header.Get("Samphirestair-Expect-Instance"); expected != "" && expected != s.ID {
			if answerWith(c, http.StatusMisdirectedRequest, id, "Samphirestair-Not-Executed: other instance\r\n") != nil {
				return
			}
			continue
		}
		run := Run{ID: id, Header: request.Header, At: time.Now(), From: from}
		s.mu.Lock()
		s.runs = append(s.runs, run)
		stamp := fmt.Sprintf("%s.%s.%x", s.ID, id, len(s.runs))
		s.mu.Unlock()
		if answerWith(c, http.StatusOK, id, "Samphirestair-Server-Stamp: "+stamp+"\r\n") != nil {
			return
		}
	}
}

// answerWith writes an answer with a short body. headers are further header lines.
func answerWith(c net.Conn, status int, id, headers string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: 2\r\nKeep-Alive: timeout=30\r\nSamphirestair-Server-Load: 1,0,8\r\nSamphirestair-Request-Id: %s\r\n%s\r\nok",
		status, http.StatusText(status), id, headers)
	return err
}
