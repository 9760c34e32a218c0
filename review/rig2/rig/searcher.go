package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is one request that a searcher ran.
type Run struct {
	Searcher, Service, ID, Method, URI string
	Header                             http.Header
	Body                               []byte
	At                                 time.Time
	// From is who opened the connection, if SetIdentify was called.
	From string
}

// Reply is what a searcher answers. The zero value is a plain success after Work.
type Reply struct {
	Work   time.Duration
	Status int
	// Body is the body, "ok" if it is nil.
	Body   []byte
	Header map[string]string
	// Raw, if it is not nil, is written in place of an answer.
	Raw []byte
	// Silent leaves the request without an answer, and Close closes the connection.
	Silent, Close bool
	// Then closes the connection after Raw.
	Then bool
}

// Searcher is a stand-in of a searcher. It obeys Samphirestair-Expect-Instance.
type Searcher struct {
	ID, Service, Zone, Address string
	Born                       int64
	// Behave decides about each request that is to run. nil means plain successes.
	Behave func(run Run) Reply

	mu sync.Mutex
	// identify tells who opened a connection, by its remote address. It may be nil.
	identify func(remote net.Addr) string
	runs     []Run
	seq      int
	listener net.Listener
	conns    map[net.Conn]struct{}
	stamp    int
}

// NewSearcher starts a searcher on a free port.
func NewSearcher(id, service, zone string) (*Searcher, error) {
	s := &Searcher{ID: id, Service: service, Zone: zone, Born: time.Now().UnixMilli(), conns: map[net.Conn]struct{}{}}
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

// Stop closes the listener and all connections, as a process that ends.
func (s *Searcher) Stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Searcher) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Searcher) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
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
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Samphirestair-Request-Id")
		if expected := request.Header.Get("Samphirestair-Expect-Instance"); expected != "" && expected != s.ID {
			write(c, id, Reply{Status: http.StatusMisdirectedRequest, Header: map[string]string{"Samphirestair-Not-Executed": "other instance"}})
			continue
		}
		run := Run{Searcher: s.ID, Service: s.Service, ID: id, Method: request.Method, URI: request.RequestURI, Header: request.Header, Body: body, At: time.Now(), From: from}
		s.mu.Lock()
		s.runs = append(s.runs, run)
		s.stamp++
		stamp := fmt.Sprintf("%s.%s.%x", s.ID, id, s.stamp)
		s.mu.Unlock()
		var reply Reply
		if s.Behave != nil {
			reply = s.Behave(run)
		}
		time.Sleep(reply.Work)
		switch {
		case reply.Silent:
			continue
		case reply.Close:
			return
		case reply.Raw != nil:
			if _, err := c.Write(bytes.ReplaceAll(bytes.ReplaceAll(reply.Raw, []byte("@ID"), []byte(id)), []byte("@STAMP"), []byte(stamp))); err != nil {
				return
			}
			if reply.Then {
				return
			}
			continue
		}
		if reply.Header == nil {
			reply.Header = map[string]string{}
		}
		if reply.Header["Samphirestair-Server-Stamp"] == "" {
			reply.Header["Samphirestair-Server-Stamp"] = stamp
		}
		if write(c, id, reply) != nil {
			return
		}
	}
}

func write(c net.Conn, id string, reply Reply) error {
	if reply.Status == 0 {
		reply.Status = http.StatusOK
	}
	if reply.Body == nil {
		reply.Body = []byte("ok")
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=30\r\nSamphirestair-Server-Load: 1,0,8\r\n", reply.Status, http.StatusText(reply.Status), len(reply.Body))
	if id != "" {
		fmt.Fprintf(&b, "Samphirestair-Request-Id: %s\r\n", id)
	}
	for name, value := range reply.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n")
	b.Write(reply.Body)
	_, err := c.Write(b.Bytes())
	return err
}
