// Package seeds lets a VM that starts while the store does not answer learn from other
// VMs what is in force.
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

	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
)

const (
	path = "/v1/beliefs"
	// ageHeader tells in milliseconds how old the beliefs are.
	ageHeader = "X-Age-Ms"
	// askTimeout bounds the question to one VM.
	askTimeout = 500 * time.Millisecond
	// connections is the number of connections to one VM.
	connections = 1
	// maxAsked bounds the number of VMs that are asked at a time.
	maxAsked = 6
)

// ErrNoSnapshot means that no VM returned a snapshot.
var ErrNoSnapshot = errors.New("seeds: no VM knows what is in force")

// ViewSource is what a VM believes about the fleet.
type ViewSource interface {
	View() *roster.View
	// Age is the time since the beliefs were known to be up to date.
	Age(now time.Time) (age time.Duration, known bool)
}

// Handler returns a handler that tells other VMs the beliefs of this one.
func Handler(source ViewSource) fasthttp.RequestHandler {
	t := &teller{beliefs: source}
	return t.serve
}

// teller keeps the encoded beliefs, since many VMs may start together.
type teller struct {
	beliefs ViewSource

	mu      sync.Mutex
	view    *roster.View
	encoded []byte
}

func (t *teller) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != path {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	now := time.Now()
	age, known := t.beliefs.Age(now)
	body, err := t.encode(now)
	if !known || err != nil || body == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.Response.Header.Set(ageHeader, strconv.FormatInt(age.Milliseconds(), 10))
	ctx.SetBody(body)
}

// encode returns the encoded beliefs, or nil if there are none.
func (t *teller) encode(now time.Time) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	view := t.beliefs.View()
	if view == t.view {
		return t.encoded, nil
	}
	snapshot := view.Snapshot(now)
	if snapshot == nil {
		return nil, nil
	}
	encoded, err := json.Marshal(snapshot)
	if err != nil {
		return nil, errors.Wrap(err, "seeds: encode")
	}
	t.view, t.encoded = view, encoded
	return encoded, nil
}

// Client asks other VMs. It is safe for concurrent use.
type Client struct {
	addresses func() []string
}

// NewClient returns a client that asks VMs at the addresses, "ip:port", that addresses
// returns at the time of the question.
func NewClient(addresses func() []string) *Client {
	return &Client{addresses: addresses}
}

// FetchSnapshot asks some VMs, and returns the beliefs that are the youngest and their age. It
// fails with ErrUnknown.
func (c *Client) FetchSnapshot(ctx context.Context) (*roster.Snapshot, time.Duration, error) {
	addresses := slices.Clone(c.addresses())
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), maxAsked)]
	answers := make([]told, len(addresses))
	var asking conc.WaitGroup
	for i, address := range addresses {
		asking.Go(func() { answers[i] = ask(ctx, address) })
	}
	asking.Wait()
	youngest := told{err: errors.WithStack(ErrNoSnapshot)}
	for _, answer := range answers {
		switch {
		case answer.err != nil:
			if youngest.snapshot == nil {
				youngest.err = errors.CombineErrors(youngest.err, answer.err)
			}
		case youngest.snapshot == nil || answer.age < youngest.age:
			youngest = answer
		}
	}
	return youngest.snapshot, youngest.age, youngest.err
}

// told is the answer of a VM.
type told struct {
	snapshot *roster.Snapshot
	age      time.Duration
	err      error
}

func ask(ctx context.Context, address string) told {
	client, err := httpc.New("http://"+address, httpc.Options{Timeout: askTimeout, DialTimeout: askTimeout, Connections: connections})
	if err != nil {
		return told{err: errors.Wrapf(err, "seeds: %s", address)}
	}
	defer client.Close()
	answer, err := client.Do(ctx, httpc.Call{Path: path})
	if err != nil {
		return told{err: err}
	}
	if answer.Status != fasthttp.StatusOK {
		return told{err: errors.Newf("seeds: status %d", answer.Status)}
	}
	age, err := strconv.ParseInt(answer.Header(ageHeader), 10, 64)
	if err != nil || age < 0 {
		return told{err: errors.Newf("seeds: age %q", answer.Header(ageHeader))}
	}
	snapshot := &roster.Snapshot{}
	if err := json.Unmarshal(answer.Body, snapshot); err != nil {
		return told{err: errors.Wrap(err, "seeds: decode")}
	}
	return told{snapshot: snapshot, age: time.Duration(age) * time.Millisecond}
}
