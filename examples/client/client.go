// Package client is an example of a client of samphirestair. It fetches the list of
// VM addresses and keeps it up to date, tries another address when one fails, and
// retries a refused request after the delay that the refusal gives. Commands search
// and book use it.
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
	// addressTimeout bounds one request for the address list.
	addressTimeout = time.Second
	// answerGrace is added to the deadline for the network latency of the answer.
	answerGrace = 100 * time.Millisecond
	// retryDelay is the time between two passes over the addresses if no VM answers.
	retryDelay = 100 * time.Millisecond
)

// Request is a search, lookup or action.
type Request struct {
	// Path is the request's path, such as "/v1/search/SERVICE".
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

// Refused reports whether the request was not run and may be sent again after
// RetryAfterMS.
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

// New returns a client that fetches its first address list from one of entries, which
// are "ip:port" addresses of VMs.
func New(entries ...string) *Client {
	return &Client{entries: entries}
}

// Do sends a request until it gets an answer other than a refusal, or until the
// deadline. It also sends actions again, because their Idempotency-Key keeps them from
// running twice. At the deadline it returns the last refusal, or an error if no VM
// has answered.
func (c *Client) Do(request Request, deadline time.Time) (*Answer, error) {
	var last *Answer
	for {
		answer, err := c.tryAddresses(request, deadline)
		if answer != nil {
			last = answer
		}
		if answer != nil && !answer.Refused() {
			return answer, nil
		}
		wait := retryDelay
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

// tryAddresses sends the request to the addresses in the order of the list until one answers.
func (c *Client) tryAddresses(request Request, deadline time.Time) (*Answer, error) {
	err := c.refreshAddresses()
	for _, address := range c.addresses {
		if !time.Now().Before(deadline) {
			break
		}
		var answer *Answer
		if answer, err = c.send(address, request, deadline); err == nil {
			return answer, nil
		}
		// A failed connection may mean that the list is outdated: fetch it next time.
		c.expires = time.Time{}
	}
	return nil, err
}

// refreshAddresses fetches the address list if its lifetime has passed. If no VM answers,
// the old list stays in use.
func (c *Client) refreshAddresses() error {
	if time.Now().Before(c.expires) {
		return nil
	}
	var err error
	for _, address := range append(append([]string(nil), c.addresses...), c.entries...) {
		if err = c.fetchAddresses(address); err == nil {
			return nil
		}
	}
	return errors.Wrap(err, "client: no VM returned the address list")
}

func (c *Client) fetchAddresses(address string) error {
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
		return errors.New("the address list is empty")
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
