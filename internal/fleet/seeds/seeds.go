// Package seeds lets a VM that starts while the store is down fetch the current view of
// the fleet from other VMs.
package seeds

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
)

const (
	snapshotPath = "/v1/beliefs"
	// versionPath returns the version of the configuration as text.
	versionPath = "/v1/beliefs/version"
	// ageHeader holds the age of the view in milliseconds.
	ageHeader = "X-Age-Ms"
	// fetchTimeout bounds the request to one VM.
	fetchTimeout       = 500 * time.Millisecond
	connectionsPerPeer = 1
	// maxPeers bounds the number of VMs that get a request at the same time.
	maxPeers = 6
	// versionPeers is the number of VMs that are asked for their version.
	versionPeers = 2
)

// ErrNoSnapshot means that no VM returned a snapshot.
var ErrNoSnapshot = errors.New("seeds: no VM returned a snapshot")

// ViewSource returns this VM's view of the fleet.
type ViewSource interface {
	View() *roster.View
	// Age returns the time since the view was last known to be up to date. known is false
	// if it never was.
	Age(now time.Time) (age time.Duration, known bool)
}

// Handler returns a handler that sends a snapshot of source's view to other VMs. It
// responds with 503 while the view was never up to date or has no configuration.
func Handler(source ViewSource) fasthttp.RequestHandler {
	h := &snapshotHandler{source: source}
	return h.serve
}

// snapshotHandler caches the encoded snapshot, since many VMs may start together.
type snapshotHandler struct {
	source ViewSource

	mu      sync.Mutex
	view    *roster.View
	encoded []byte
}

func (h *snapshotHandler) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case snapshotPath:
	case versionPath:
		h.serveVersion(ctx)
		return
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	now := time.Now()
	age, known := h.source.Age(now)
	body, err := h.encode(now)
	if !known || err != nil || body == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.Response.Header.Set(ageHeader, strconv.FormatInt(age.Milliseconds(), 10))
	ctx.SetBody(body)
}

// serveVersion responds with the version of the configuration in force.
func (h *snapshotHandler) serveVersion(ctx *fasthttp.RequestCtx) {
	table := h.source.View().Table
	if table == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString(strconv.FormatUint(uint64(table.Config().Version), 10))
}

// encode returns the encoded snapshot, or nil while there is no configuration.
func (h *snapshotHandler) encode(now time.Time) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	view := h.source.View()
	if view == h.view {
		return h.encoded, nil
	}
	snapshot := view.Snapshot(now)
	if snapshot == nil {
		return nil, nil
	}
	encoded, err := json.Marshal(snapshot)
	if err != nil {
		return nil, errors.Wrap(err, "seeds: encode snapshot")
	}
	h.view, h.encoded = view, encoded
	return encoded, nil
}

// Client fetches snapshots from other VMs. It is safe for concurrent use.
type Client struct {
	addresses func() []string
}

// NewClient returns a client. addresses is called for each fetch and returns the
// addresses of the VMs to ask, "ip:port".
func NewClient(addresses func() []string) *Client {
	return &Client{addresses: addresses}
}

// randomAddresses returns up to count addresses in random order.
func (c *Client) randomAddresses(count int) []string {
	addresses := slices.Clone(c.addresses())
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), count)]
}

// FetchSnapshot asks up to maxPeers random VMs at the same time, and returns the most
// recent snapshot and its age. If no VM returns one, the error is ErrNoSnapshot.
func (c *Client) FetchSnapshot(ctx context.Context) (*roster.Snapshot, time.Duration, error) {
	addresses := c.randomAddresses(maxPeers)
	answers := make([]peerAnswer, len(addresses))
	var fetches conc.WaitGroup
	for i, address := range addresses {
		fetches.Go(func() { answers[i] = fetch(ctx, address) })
	}
	fetches.Wait()
	newest := peerAnswer{err: errors.WithStack(ErrNoSnapshot)}
	for _, answer := range answers {
		switch {
		case answer.err != nil:
			if newest.snapshot == nil {
				newest.err = errors.CombineErrors(newest.err, answer.err)
			}
		case newest.snapshot == nil || answer.age < newest.age:
			newest = answer
		}
	}
	return newest.snapshot, newest.age, newest.err
}

// FetchNewerConfig asks random VMs for the version of their configuration, and returns the
// configuration of the first one whose version is higher than version. It returns nil if
// there is none, and ErrNoSnapshot if no VM answered.
func (c *Client) FetchNewerConfig(ctx context.Context, version ident.Version) (*routes.Config, error) {
	answered, failure := false, errors.WithStack(ErrNoSnapshot)
	for _, address := range c.randomAddresses(versionPeers) {
		config, err := fetchNewerConfig(ctx, address, version)
		switch {
		case err != nil:
			failure = errors.CombineErrors(failure, err)
		case config != nil:
			return config, nil
		default:
			answered = true
		}
	}
	if answered {
		return nil, nil
	}
	return nil, failure
}

// fetchNewerConfig returns the configuration of one VM if its version is higher than
// version, and nil if it is not.
func fetchNewerConfig(ctx context.Context, address string, version ident.Version) (*routes.Config, error) {
	other, err := fetchVersion(ctx, address)
	if err != nil || other <= version {
		return nil, err
	}
	answer := fetch(ctx, address)
	if answer.err != nil {
		return nil, answer.err
	}
	return answer.snapshot.Config, nil
}

// peerAnswer is the answer of one VM.
type peerAnswer struct {
	snapshot *roster.Snapshot
	age      time.Duration
	err      error
}

// call makes one call to another VM. An answer with an error status is an error.
func call(ctx context.Context, address, path string) (*httpc.Answer, error) {
	client, err := httpc.New("http://"+address, httpc.Options{Timeout: fetchTimeout, DialTimeout: fetchTimeout, Connections: connectionsPerPeer})
	if err != nil {
		return nil, errors.Wrapf(err, "seeds: %s", address)
	}
	defer client.Close()
	answer, err := client.Do(ctx, httpc.Call{Path: path})
	if err != nil {
		return nil, err
	}
	if answer.Status != fasthttp.StatusOK {
		return nil, errors.Newf("seeds: status %d", answer.Status)
	}
	return answer, nil
}

func fetchVersion(ctx context.Context, address string) (ident.Version, error) {
	answer, err := call(ctx, address, versionPath)
	if err != nil {
		return 0, err
	}
	version, err := strconv.ParseUint(string(answer.Body), 10, 64)
	return ident.Version(version), errors.Wrap(err, "seeds: version")
}

func fetch(ctx context.Context, address string) peerAnswer {
	answer, err := call(ctx, address, snapshotPath)
	if err != nil {
		return peerAnswer{err: err}
	}
	age, err := strconv.ParseInt(answer.Header(ageHeader), 10, 64)
	if err != nil || age < 0 {
		return peerAnswer{err: errors.Newf("seeds: invalid age %q", answer.Header(ageHeader))}
	}
	snapshot := &roster.Snapshot{}
	if err := json.Unmarshal(answer.Body, snapshot); err != nil {
		return peerAnswer{err: errors.Wrap(err, "seeds: decode snapshot")}
	}
	return peerAnswer{snapshot: snapshot, age: time.Duration(age) * time.Millisecond}
}
