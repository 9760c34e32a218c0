// Package gossip tells other VMs what this VM learns about requests that end backend servers,
// and learns from them. What is new is broadcast at once, all of it is repeated in turn, and a
// VM that begins to serve asks others for what they know.
package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
	"github.com/samphirestair/samphirestair/internal/query/poison"
)

const (
	// path is the path of requests for all evidence on the port for other VMs.
	path = "/v1/evidence"
	// batchDelay is how long changes are collected, and batchRecords the largest number of
	// records that are broadcast at a time.
	batchDelay   = 2 * time.Millisecond
	batchRecords = 64
	// repeatInterval is the time between two repetitions of known evidence, and
	// repeatRecords the number of records of each.
	repeatInterval = time.Second
	repeatRecords  = 8
	// syncInterval is the time between two attempts to learn what others know, and
	// syncPeers the number of VMs that are asked each time.
	syncInterval = 250 * time.Millisecond
	syncPeers    = 2
	// A process that has just started asks as soon as it knows whom: its callers are back at
	// once. It tries every startInterval for startTime.
	startInterval = 15 * time.Millisecond
	startTime     = 5 * time.Second
	// syncTimeout bounds one attempt.
	syncTimeout = 500 * time.Millisecond
	// maxAnswerBytes bounds the answer to a request for all evidence.
	maxAnswerBytes = 4 << 20
)

// Broadcaster sends a message to the other VMs that serve callers.
type Broadcaster interface {
	Broadcast(message []byte)
}

// Deps holds the dependencies of an Exchange.
type Deps struct {
	Ledger      *poison.Ledger
	Broadcaster Broadcaster
	// MaxBytes is the maximum size of a broadcast message.
	MaxBytes int
	// Serving reports whether this VM serves callers, and Peers returns the addresses of the
	// others that do, as "ip:port".
	Serving func() bool
	Peers   func() []string
	Events  *events.Recorder
}

// Exchange exchanges evidence with other VMs.
type Exchange struct {
	deps Deps
}

// New returns an exchange.
func New(deps Deps) *Exchange {
	return &Exchange{deps: deps}
}

// Run broadcasts and asks until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	var asking conc.WaitGroup
	defer asking.Wait()
	asking.Go(func() { x.keepSynced(ctx) })
	ticker := time.NewTicker(repeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.deps.Ledger.Changed():
			if !sleep.For(ctx, batchDelay) {
				return
			}
			x.broadcastChanges()
		case <-ticker.C:
			x.deps.Ledger.Sweep(time.Now())
			x.broadcast(x.deps.Ledger.Page(time.Now(), repeatRecords))
		}
	}
}

// broadcastChanges broadcasts all changes.
func (x *Exchange) broadcastChanges() {
	for {
		changes := x.deps.Ledger.Changes(time.Now(), batchRecords)
		if len(changes) == 0 {
			return
		}
		x.broadcast(changes)
	}
}

func (x *Exchange) broadcast(records []poison.Record) {
	messages, err := poison.Encode(records, x.deps.MaxBytes)
	if err != nil {
		x.deps.Events.Sample("evidence_unsent", "broadcast", err.Error())
		return
	}
	for _, message := range messages {
		x.deps.Broadcaster.Broadcast(message)
	}
}

// Receive adds what another VM has broadcast.
func (x *Exchange) Receive(message []byte) {
	records, err := poison.Decode(message)
	if err != nil {
		x.deps.Events.Sample("evidence_unreadable", "broadcast", err.Error())
		return
	}
	x.deps.Ledger.Merge(time.Now(), records)
}

// syncAtStart asks other VMs for all they know as soon as one of them is known. It gives up
// after startTime.
func (x *Exchange) syncAtStart(ctx context.Context) (synced bool) {
	for start := time.Now(); time.Since(start) < startTime; {
		if len(x.deps.Peers()) > 0 && x.sync(ctx) {
			return true
		}
		if !sleep.For(ctx, startInterval) {
			break
		}
	}
	return false
}

// keepSynced asks other VMs for all they know at the start of this process, and each time this
// VM begins to serve.
func (x *Exchange) keepSynced(ctx context.Context) {
	synced := x.syncAtStart(ctx)
	for {
		switch {
		case !x.deps.Serving():
			synced = false
		case !synced:
			synced = x.sync(ctx)
		default:
		}
		if !sleep.For(ctx, syncInterval) {
			return
		}
	}
}

// sync asks a few other VMs. It reports whether one has answered, or there is none to ask.
func (x *Exchange) sync(ctx context.Context) bool {
	addresses := x.deps.Peers()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	answered := len(addresses) == 0
	for _, address := range addresses[:min(len(addresses), syncPeers)] {
		records, err := fetch(ctx, address)
		if err != nil {
			x.deps.Events.Sample("evidence_unknown", address, err.Error())
			continue
		}
		answered = true
		x.deps.Ledger.Merge(time.Now(), records)
	}
	return answered
}

// fetch returns what another VM knows. VMs that don't know of evidence know nothing.
func fetch(ctx context.Context, address string) ([]poison.Record, error) {
	client, err := httpc.New("http://"+address, httpc.Options{Timeout: syncTimeout, DialTimeout: syncTimeout, Connections: 1})
	if err != nil {
		return nil, errors.Wrap(err, "gossip: ask")
	}
	defer client.Close()
	answer, err := client.Do(ctx, httpc.Call{Path: path})
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "gossip: ask")
	case answer.Status == fasthttp.StatusNotFound, answer.Status == fasthttp.StatusOK && len(answer.Body) == 0:
		return nil, nil
	case answer.Status != fasthttp.StatusOK:
		return nil, errors.Newf("gossip: status %d", answer.Status)
	case len(answer.Body) > maxAnswerBytes:
		return nil, errors.Newf("gossip: an answer of %d bytes", len(answer.Body))
	}
	records, err := poison.Decode(answer.Body)
	return records, errors.Wrap(err, "gossip: read answer")
}

// Handler answers requests for all evidence, and passes others to next.
func (x *Exchange) Handler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != path {
			next(ctx)
			return
		}
		messages, err := poison.Encode(x.deps.Ledger.All(time.Now()), maxAnswerBytes)
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		for _, message := range messages[:min(len(messages), 1)] {
			ctx.SetBody(message)
		}
	}
}
