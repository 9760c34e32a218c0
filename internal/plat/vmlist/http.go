package vmlist

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/plat/httpc"
)

// PathVMs is the path of the list; the answer is a JSON array of VM.
const PathVMs = "/v1/vms"

// HTTP is a List that calls the platform over HTTP. It is safe for concurrent
// use.
type HTTP struct {
	client *httpc.Client
}

var _ List = (*HTTP)(nil)

// NewHTTP returns a client for the list at baseURL, "http://host:port".
func NewHTTP(baseURL string, options httpc.Options) (*HTTP, error) {
	client, err := httpc.New(baseURL, options)
	if err != nil {
		return nil, errors.Wrap(err, "vmlist")
	}
	return &HTTP{client: client}, nil
}

// Close waits for the calls in progress and closes the connections.
func (h *HTTP) Close() {
	h.client.Close()
}

// VMs implements List.
func (h *HTTP) VMs(ctx context.Context) ([]VM, error) {
	answer, err := h.client.Do(ctx, httpc.Call{Path: PathVMs})
	if err != nil {
		return nil, errors.Wrap(err, "vmlist")
	}
	if answer.Status != fasthttp.StatusOK {
		return nil, errors.Newf("vmlist: status %d", answer.Status)
	}
	var vms []VM
	if err := json.Unmarshal(answer.Body, &vms); err != nil {
		return nil, errors.Wrap(err, "vmlist: decode list")
	}
	return vms, nil
}
