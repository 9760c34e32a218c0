package rig

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// NewID returns a new request id.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Answer is the answer to a client attempt. Status is 0 if there is none.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
	Took   time.Duration
}

// Send sends one client attempt on a new connection.
func Send(address, method, path, id string, deadline time.Duration, body []byte, headers ...string) Answer {
	began := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = c.Close() }()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: pupu76.example\r\nSamphirestair-Request-Id: %s\r\nSamphirestair-Deadline-Ms: %d\r\n", method, path, id, deadline.Milliseconds())
	for _, h := range headers {
		text += h + "\r\n"
	}
	if len(body) > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	a := Exchange(c, append([]byte(text+"\r\n"), body...), deadline+2*time.Second)
	a.Took = time.Since(began)
	return a
}

// Exchange writes raw bytes and reads one answer.
func Exchange(c net.Conn, raw []byte, timeout time.Duration) Answer {
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write(raw); err != nil {
		return Answer{Err: err}
	}
	return ReadAnswer(bufio.NewReader(c))
}

// ReadAnswer reads one answer.
func ReadAnswer(in *bufio.Reader) Answer {
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(r.Body)
	return Answer{Status: r.StatusCode, Header: r.Header, Body: body, Err: err}
}
