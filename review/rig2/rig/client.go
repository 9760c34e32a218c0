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
	Err    error
}

// Get sends one client attempt for a path on a new connection.
func Get(address, path, id string, deadline time.Duration) Answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: pupu76.example\r\nSamphirestair-Request-Id: %s\r\nSamphirestair-Deadline-Ms: %d\r\n\r\n", path, id, deadline.Milliseconds())
	if err != nil {
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
	_, err = io.Copy(io.Discard, r.Body)
	return Answer{Status: r.StatusCode, Header: r.Header, Err: err}
}
