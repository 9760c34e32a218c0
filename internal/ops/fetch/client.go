// Package fetch is a client for the admin listener of a VM's process.
package fetch

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/reply"
)

// Paths of the admin listener. Each returns JSON.
const (
	// PathState returns the state dump of the process.
	PathState = "/state"
	// PathConfig returns the routing configuration in force at a VM that forwards requests, or
	// null if it knows none yet.
	PathConfig = "/state/config"
	// PathStatus returns the status of the VM.
	PathStatus = "/status"
	// PathFleet returns the status of the fleet, which the VM collects from all members;
	// VMs that forward requests return only the list of members.
	PathFleet = "/fleet"
	// PathQuarantine returns the requests that are suspect or quarantined, and PathLift and
	// PathPin, followed by the fingerprint of a request, change one of them by POST.
	PathQuarantine = "/state/quarantine"
	PathLift       = "/quarantine/lift/"
	PathPin        = "/quarantine/pin/"
)

// ErrUnavailable means that the process did not answer, or not with status 200.
var ErrUnavailable = errors.New("fetch: the VM does not answer")

// defaultTimeout applies to calls whose context has no deadline.
const defaultTimeout = 10 * time.Second

// Client calls admin listeners. It is safe for concurrent use.
type Client struct {
	http *fasthttp.Client
}

// New returns a client without open connections.
func New() *Client {
	return &Client{http: &fasthttp.Client{Name: "samphirestair", MaxIdemponentCallAttempts: 1, Dial: dial}}
}

// Get returns the response body of the admin listener at address (IP:PORT) for path. It
// fails with ErrUnavailable.
func (c *Client) Get(ctx context.Context, address, path string) ([]byte, error) {
	return c.call(ctx, fasthttp.MethodGet, address, path)
}

// dial opens a connection that fails on what is not a response.
func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return reply.NewConn(conn), nil
}

// Post is like Get for a call that changes something.
func (c *Client) Post(ctx context.Context, address, path string) ([]byte, error) {
	return c.call(ctx, fasthttp.MethodPost, address, path)
}

func (c *Client) call(ctx context.Context, method, address, path string) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%s: %v", address, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "%s answers with status %d: %s", address, response.StatusCode(), response.Body())
	}
	return append([]byte(nil), response.Body()...), nil
}
