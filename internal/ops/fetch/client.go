// Package fetch reads what a VM's process reports on its admin listener.
package fetch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Paths of the admin listener. All answer a JSON object.
const (
	// PathState answers with all that the process knows.
	PathState = "/state"
	// PathStatus answers with a summary of plain values.
	PathStatus = "/status"
	// PathFleet answers with the status of all VMs, collected by this one.
	PathFleet = "/fleet"
)

// ErrUnavailable means that the process did not answer.
var ErrUnavailable = errors.New("fetch: the VM does not answer")

// defaultBound applies to calls whose context has no deadline.
const defaultBound = 10 * time.Second

// Client calls admin listeners. It is safe for concurrent use.
type Client struct {
	http *fasthttp.Client
}

// New returns a client without open connections.
func New() *Client {
	return &Client{http: &fasthttp.Client{Name: "samphirestair", MaxIdemponentCallAttempts: 1}}
}

// Get returns the body that the process at address returns for path. It fails
// with ErrUnavailable.
func (c *Client) Get(ctx context.Context, address, path string) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultBound)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%s: %v", address, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "%s answers with status %d", address, response.StatusCode())
	}
	return append([]byte(nil), response.Body()...), nil
}
