package chaos

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/kvsrv"
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/lab/vmsrv"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
)

// pathCut is the path at the VMs' admin listeners for requests to cut links.
const pathCut = "/test/cut"

// Endpoints are the addresses at which faults are requested.
type Endpoints struct {
	// Store, List and Servers are the base URLs of the stand-ins for the key-value
	// service, the VM list and the backend servers.
	Store, List, Servers string
	// Admins are the "ip:port" addresses of the VMs' admin listeners.
	Admins map[ident.VMID]string
}

// Remote requests faults over HTTP.
type Remote struct {
	store, list, servers *httpc.Client
	admins               map[ident.VMID]*httpc.Client
}

var _ Controls = (*Remote)(nil)

// NewRemote returns a Remote that requests faults at the given endpoints. The
// caller must close it.
func NewRemote(endpoints Endpoints) (*Remote, error) {
	r := &Remote{admins: map[ident.VMID]*httpc.Client{}}
	var err error
	if r.store, err = httpc.New(endpoints.Store, httpc.Options{}); err != nil {
		return nil, errors.Wrap(err, "chaos")
	}
	if r.list, err = httpc.New(endpoints.List, httpc.Options{}); err != nil {
		return nil, errors.Wrap(err, "chaos")
	}
	if r.servers, err = httpc.New(endpoints.Servers, httpc.Options{}); err != nil {
		return nil, errors.Wrap(err, "chaos")
	}
	for vm, address := range endpoints.Admins {
		if r.admins[vm], err = httpc.New("http://"+address, httpc.Options{}); err != nil {
			return nil, errors.Wrap(err, "chaos")
		}
	}
	return r, nil
}

// Close closes the connections to all endpoints.
func (r *Remote) Close() {
	r.store.Close()
	r.list.Close()
	r.servers.Close()
	for _, admin := range r.admins {
		admin.Close()
	}
}

// cutRequest is the body of a request to pathCut. To lists the IP addresses to
// which the VM drops its packets.
type cutRequest struct {
	To []string `json:"to"`
}

// Cut implements Controls.
func (r *Remote) Cut(ctx context.Context, vm ident.VMID, to []string) error {
	return post(ctx, r.admins[vm], pathCut, cutRequest{To: to})
}

// Servers implements Controls.
func (r *Remote) Servers(ctx context.Context, fault server.Fault) error {
	return post(ctx, r.servers, server.PathFault, fault)
}

// Store implements Controls.
func (r *Remote) Store(ctx context.Context, fault kvsrv.Fault) error {
	return post(ctx, r.store, kvsrv.PathFault, fault)
}

// List implements Controls.
func (r *Remote) List(ctx context.Context, fault vmsrv.Fault) error {
	return post(ctx, r.list, vmsrv.PathFault, fault)
}

// post sends a request as JSON and expects status 204.
func post(ctx context.Context, client *httpc.Client, path string, request any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "chaos: encode request")
	}
	answer, err := client.Do(ctx, httpc.Call{
		Method: http.MethodPost,
		Path:   path,
		Header: map[string]string{"Content-Type": "application/json"},
		Body:   body,
	})
	if err != nil {
		return errors.Wrapf(err, "chaos: %s", path)
	}
	if answer.Status != http.StatusNoContent {
		return errors.Newf("chaos: %s answers %d: %s", path, answer.Status, answer.Body)
	}
	return nil
}
