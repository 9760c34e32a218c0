package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a searcher began to work on.
type run struct {
	request, searcher string
	at                time.Time
}

// searcher is a stand-in of one searcher process. It handles connections by itself, so that
// a case can decide which bytes are sent when.
type searcher struct {
	id, service, zone string
	slots, queue      int
	work              func() time.Duration
	// beforeRun is called on a connection once a request was read and before it is run. It may
	// write to the connection. lastID is the id of the previous request on the connection.
	beforeRun func(c net.Conn, request, lastID string)
	rec       *recorder

	listener net.Listener
	born     int64
	free     chan struct{}
	waiting  atomic.Int32
	stamps   atomic.Int64
	stop     chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]bool
	runs  []run
}

func (s *searcher) start(st *store) error {
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	s.born, s.stop, s.conns = time.Now().UnixMilli(), make(chan struct{}), map[net.Conn]bool{}
	s.free = make(chan struct{}, s.slots)
	go s.accept()
	go s.beat(st)
	return nil
}

// beat registers the searcher again and again.
func (s *searcher) beat(st *store) {
	for sequence := 1; ; sequence++ {
		st.put(serversKey(s.id), map[string]any{
			"backend": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots,
			"state": "ready", "warmupLeftMs": 0, "sequence": sequence, "born": s.born,
		})
		select {
		case <-s.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (s *searcher) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *searcher) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in, lastID := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.handle(c, r, lastID) {
			return
		}
		lastID = r.Header.Get("Samphirestair-Request-Id")
	}
}

// handle answers one request. It returns false if the connection has to be closed.
func (s *searcher) handle(c net.Conn, r *http.Request, lastID string) bool {
	id := r.Header.Get("Samphirestair-Request-Id")
	if r.URL.Path == "/healthz" {
		return s.write(c, 200, id, "", "")
	}
	if r.Header.Get("Samphirestair-Expect-Instance") != s.id {
		return s.write(c, 421, id, "Samphirestair-Instance-Id: "+s.id+"\r\n", "")
	}
	if s.beforeRun != nil {
		s.beforeRun(c, id, lastID)
	}
	left, _ := strconv.Atoi(r.Header.Get("Samphirestair-Deadline-Ms"))
	deadline := time.After(time.Duration(left) * time.Millisecond)
	if int(s.waiting.Add(1)) > s.queue+s.slots {
		s.waiting.Add(-1)
		return s.shed(c, id)
	}
	defer s.waiting.Add(-1)
	select {
	case s.free <- struct{}{}:
	case <-deadline:
		return s.shed(c, id)
	}
	defer func() { <-s.free }()
	s.mu.Lock()
	s.runs = append(s.runs, run{request: id, searcher: s.id, at: time.Now()})
	s.mu.Unlock()
	s.rec.log("run", "request=%s searcher=%s method=%s", id, s.id, r.Method)
	select {
	case <-time.After(s.work()):
	case <-deadline:
		return s.write(c, 504, id, s.stamp(), "")
	}
	return s.write(c, 200, id, s.stamp(), bodyOf(id))
}

// bodyOf returns the body of the answer to a request.
func bodyOf(request string) string {
	return "answer to " + request
}

func (s *searcher) stamp() string {
	return fmt.Sprintf("Samphirestair-Server-Stamp: %s.%d\r\n", s.id, s.stamps.Add(1))
}

// shed refuses a request that was not run.
func (s *searcher) shed(c net.Conn, id string) bool {
	s.rec.log("shed", "request=%s searcher=%s", id, s.id)
	return s.write(c, 503, id, "Samphirestair-Not-Executed: 1\r\n", "")
}

func (s *searcher) write(c net.Conn, status int, id, headers, body string) bool {
	load := fmt.Sprintf("Samphirestair-Server-Load: %d,%d,%d\r\n", len(s.free), max(int(s.waiting.Load())-len(s.free), 0), s.slots)
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nSamphirestair-Request-Id: %s\r\n%s%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, load, headers, len(body), body)
	return err == nil
}

func (s *searcher) listRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}
