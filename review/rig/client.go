package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// reply is what a client got for one attempt.
type reply struct {
	id     string
	sentAt time.Time
	took   time.Duration
	// written is set once the whole request was written, and answered once a complete answer
	// was read.
	written, answered bool
	status            int
	stamp, body       string
	closes            bool
	// retryAfter is the time for which a refusal asks the client to wait.
	retryAfter time.Duration
	err        error
	conn       int
}

// clientConn is a connection of a client.
type clientConn struct {
	nc   net.Conn
	in   *bufio.Reader
	uses int
}

func dial(address string) (*clientConn, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{nc: nc, in: bufio.NewReader(nc)}, nil
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send sends one request and waits for the answer, at most for its deadline and a second.
func (c *clientConn) send(rec *recorder, method, path, body string, deadline time.Duration) reply {
	r := reply{id: newID(), sentAt: time.Now(), conn: c.uses}
	c.uses++
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nSamphirestair-Request-Id: %s\r\nSamphirestair-Deadline-Ms: %d\r\n", method, path, host, r.id, deadline.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	rec.log("sent", "request=%s %s %s to=%s", r.id, method, path, c.nc.RemoteAddr())
	_ = c.nc.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, r.err = io.WriteString(c.nc, text+"\r\n"+body); r.err == nil {
		r.written = true
		c.read(&r, method)
	}
	r.took = time.Since(r.sentAt)
	rec.log("answered", "request=%s status=%d complete=%t body=%q after=%v err=%v", r.id, r.status, r.answered, short(r.body), r.took.Round(time.Millisecond), r.err)
	return r
}

func (c *clientConn) read(r *reply, method string) {
	response, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	r.status, r.stamp, r.closes = response.StatusCode, response.Header.Get("Samphirestair-Server-Stamp"), response.Close
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	text, err := io.ReadAll(response.Body)
	r.body, r.err = string(text), err
	r.answered = err == nil
}

func short(s string) string {
	return s[:min(len(s), 60)]
}

func (c *clientConn) close() {
	_ = c.nc.Close()
}
