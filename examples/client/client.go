// Package client is an example of what a caller of samphirestair does: it asks
// the system for addresses and follows the list, tries another address when one
// fails, and comes back after a refusal when it is told to. Package search and
// package book use it.
package client

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	pathAddresses = "/v1/addresses"
	// addressTimeout bounds one question for addresses.
	addressTimeout = time.Second
	// answerGrace is added to the deadline, for the way of the answer.
	answerGrace = 100 * time.Millisecond
	// pauseAfterFailure is the time between two rounds over the addresses.
	pauseAfterFailure = 100 * time.Millisecond
)

// Request is a search, lookup or action.
type Request struct {
	// Path is "/v1/search/SERVICE" or that of another request.
	Path    string
	Headers map[string]string
	Body    []byte
}

// Answer is the answer to a request.
type Answer struct {
	Outcome  string `json:"outcome"`
	Snapshot uint64 `json:"snapshot"`
	Coverage struct {
		Answered int `json:"answered"`
		Of       int `json:"of"`
	} `json:"coverage"`
	Hits []struct {
		ID    string          `json:"id"`
		Score float64         `json:"score"`
		Doc   json.RawMessage `json:"doc"`
	} `json:"hits"`
	Answer       json.RawMessage `json:"answer"`
	Reason       string          `json:"reason"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	Error        struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// Refused reports whether the request was not run and may be asked again.
func (a *Answer) Refused() bool {
	return a.Outcome == "not run" && a.RetryAfterMS > 0
}

// Client sends requests to the VMs of the system. It is not safe for concurrent
// use.
type Client struct {
	http      fasthttp.Client
	entries   []string
	addresses []string
	expires   time.Time
}

// New returns a client that knows the given addresses from its settings.
func New(entries ...string) *Client {
	return &Client{entries: entries}
}

// Do sends a request until it is answered with more than a refusal, or until
// the deadline. Actions may be sent again as well, because the system knows
// them by their Idempotency-Key. It fails if there was no answer.
func (c *Client) Do(request Request, deadline time.Time) (*Answer, error) {
	var last *Answer
	for {
		answer, err := c.round(request, deadline)
		if answer != nil {
			last = answer
		}
		if answer != nil && !answer.Refused() {
			return answer, nil
		}
		wait := pauseAfterFailure
		if answer != nil {
			wait = time.Duration(answer.RetryAfterMS) * time.Millisecond
		}
		if time.Until(deadline) <= wait {
			if last != nil {
				return last, nil
			}
			return nil, errors.Wrap(err, "client: no VM answered by the deadline")
		}
		time.Sleep(wait)
	}
}

// round asks the addresses in the order of the list until one answers.
func (c *Client) round(request Request, deadline time.Time) (*Answer, error) {
	err := c.refresh()
	for _, address := range c.addresses {
		if !time.Now().Before(deadline) {
			break
		}
		var answer *Answer
		if answer, err = c.send(address, request, deadline); err == nil {
			return answer, nil
		}
		// A failed connection may mean that the list is out of date.
		c.expires = time.Time{}
	}
	return nil, err
}

// refresh asks for the list when its lifetime has passed. If nobody answers,
// the old list stays in use.
func (c *Client) refresh() error {
	if time.Now().Before(c.expires) {
		return nil
	}
	var err error
	for _, address := range append(append([]string(nil), c.addresses...), c.entries...) {
		if err = c.askAddresses(address); err == nil {
			return nil
		}
	}
	return errors.Wrap(err, "client: no VM tells the addresses")
}

func (c *Client) askAddresses(address string) error {
	asked := time.Now()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + pathAddresses)
	if err := c.http.DoTimeout(req, resp, addressTimeout); err != nil {
		return err
	}
	var list struct {
		Addresses  []string `json:"addresses"`
		LifetimeMS int64    `json:"lifetime_ms"`
	}
	if err := json.Unmarshal(resp.Body(), &list); err != nil {
		return err
	}
	if len(list.Addresses) == 0 {
		return errors.New("the list is empty")
	}
	c.addresses = list.Addresses
	c.expires = asked.Add(time.Duration(list.LifetimeMS) * time.Millisecond)
	return nil
}

func (c *Client) send(address string, request Request, deadline time.Time) (*Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + request.Path)
	req.Header.SetMethod(fasthttp.MethodPost)
	for name, value := range request.Headers {
		req.Header.Set(name, value)
	}
	left := max(time.Until(deadline).Milliseconds(), 1)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(left, 10))
	req.SetBody(request.Body)
	if err := c.http.DoDeadline(req, resp, deadline.Add(answerGrace)); err != nil {
		return nil, err
	}
	if string(resp.Header.Peek("X-Move-On")) == "1" {
		c.expires = time.Time{}
	}
	answer := &Answer{}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return nil, errors.Wrapf(err, "status %d", resp.StatusCode())
	}
	return answer, nil
}
