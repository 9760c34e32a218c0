// Package gossip tells other VMs what this VM learns about requests that end backend servers,
// and learns from them. What is new is broadcast at once, all of it is repeated in turn, and a
// VM that begins to serve asks others for what they know.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
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
	// syncInterval is the time between two attempts to learn what others know. syncServing and
	// syncStandby are the numbers of VMs that are asked each time, of those that serve and of
	// the others.
	syncInterval = 250 * time.Millisecond
	syncServing  = 3
	syncStandby  = 2
	// A process that has just started asks as soon as it knows whom, since its callers are back
	// at once: first after startInterval, which then doubles, for startTime.
	startInterval = 15 * time.Millisecond
	startTime     = 5 * time.Second
	// syncTimeout bounds one attempt. The round trip to another VM is a few milliseconds.
	syncTimeout = 150 * time.Millisecond
	// completeHeader is in answers of VMs that have themselves learned what others know.
	completeHeader = "X-Complete"
	// repeatPeers is the number of random VMs that serve which get each repetition, and
	// standbyPeers that of VMs that stand by: they remember it in case that all VMs that serve
	// restart.
	repeatPeers  = 3
	standbyPeers = 2
	// maxAnswerBytes bounds the answer to a request for all evidence.
	maxAnswerBytes = 4 << 20
)

// Broadcaster sends messages to other VMs. Some of them may be lost.
type Broadcaster interface {
	// Broadcast sends a message to all VMs that serve callers.
	Broadcast(message []byte)
	// SendToSome sends a message to numbers of random VMs that serve, and that stand by.
	SendToSome(message []byte, serving, standby int)
}

// Deps holds the dependencies of an Exchange.
type Deps struct {
	Ledger      *poison.Ledger
	Broadcaster Broadcaster
	// MaxBytes is the maximum size of a broadcast message.
	MaxBytes int
	// Serving reports whether this VM serves callers, and Peers returns the addresses, as
	// "ip:port", of the others that do and of those that stand by.
	Serving func() bool
	Peers   func() (serving, standby []string)
	Events  *events.Recorder
}

// Exchange exchanges evidence with other VMs.
type Exchange struct {
	deps Deps
	// started is set once this VM has learned what others know, or given up.
	started atomic.Bool
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
			x.send(x.deps.Ledger.Page(time.Now(), repeatRecords), func(message []byte) {
				x.deps.Broadcaster.SendToSome(message, repeatPeers, standbyPeers)
			})
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
		x.send(changes, x.deps.Broadcaster.Broadcast)
	}
}

// send encodes records and calls send for each message.
func (x *Exchange) send(records []poison.Record, send func(message []byte)) {
	messages, err := poison.Encode(records, x.deps.MaxBytes)
	if err != nil {
		x.deps.Events.Sample("evidence_unsent", "broadcast", err.Error())
		return
	}
	for _, message := range messages {
		send(message)
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

// keepSynced asks other VMs for all they know at the start of this process, and each time this
// VM begins to serve.
func (x *Exchange) keepSynced(ctx context.Context) {
	synced := x.syncAtStart(ctx)
	x.started.Store(true)
	for {
		switch {
		case !x.deps.Serving():
			synced = false
		case !synced:
			synced = x.sync(ctx) != nothing
		default:
		}
		if !sleep.For(ctx, syncInterval) {
			return
		}
	}
}

// syncAtStart asks other VMs for all they know as soon as one of them is known, until one has
// answered that knows what the others know. It gives up after startTime.
func (x *Exchange) syncAtStart(ctx context.Context) (synced bool) {
	pause := startInterval
	for start := time.Now(); time.Since(start) < startTime; {
		if x.sync(ctx) == complete {
			return true
		}
		if !sleep.For(ctx, pause) {
			break
		}
		pause *= 2
	}
	return false
}

// knowledge is what this VM has learned from others.
type knowledge int32

const (
	// nothing: no VM has answered.
	nothing knowledge = iota
	// partial: those that have answered started lately themselves, or stand by.
	partial
	// complete: a VM that serves told all that the fleet knows.
	complete
)

// sync asks a few other VMs, and adds what they know.
func (x *Exchange) sync(ctx context.Context) knowledge {
	serving, standby := x.deps.Peers()
	var learned atomic.Int32
	var asking conc.WaitGroup
	ask := func(addresses []string, count int, most knowledge) {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		for _, address := range addresses[:min(len(addresses), count)] {
			asking.Go(func() {
				records, isComplete, err := fetch(ctx, address)
				if err != nil {
					x.deps.Events.Sample("evidence_unknown", address, err.Error())
					return
				}
				x.deps.Ledger.Merge(time.Now(), records)
				if isComplete {
					raise(&learned, most)
				} else {
					raise(&learned, partial)
				}
			})
		}
	}
	ask(serving, syncServing, complete)
	ask(standby, syncStandby, partial)
	asking.Wait()
	return knowledge(learned.Load())
}

// raise sets a value to at least k.
func raise(value *atomic.Int32, k knowledge) {
	for {
		old := value.Load()
		if old >= int32(k) || value.CompareAndSwap(old, int32(k)) {
			return
		}
	}
}

// fetch returns what another VM knows. isComplete is set if that VM has learned what others
// know. VMs of builds without evidence know nothing.
func fetch(ctx context.Context, address string) (records []poison.Record, isComplete bool, err error) {
	client, err := httpc.New("http://"+address, httpc.Options{Timeout: syncTimeout, DialTimeout: syncTimeout, Connections: 1})
	if err != nil {
		return nil, false, errors.Wrap(err, "gossip: ask")
	}
	defer client.Close()
	answer, err := client.Do(ctx, httpc.Call{Path: path})
	switch {
	case err != nil:
		return nil, false, errors.Wrap(err, "gossip: ask")
	case answer.Status == fasthttp.StatusNotFound:
		return nil, false, nil
	case answer.Status != fasthttp.StatusOK:
		return nil, false, errors.Newf("gossip: status %d", answer.Status)
	case len(answer.Body) > maxAnswerBytes:
		return nil, false, errors.Newf("gossip: an answer of %d bytes", len(answer.Body))
	}
	isComplete = answer.Header(completeHeader) != ""
	if len(answer.Body) == 0 {
		return nil, isComplete, nil
	}
	records, err = poison.Decode(answer.Body)
	return records, isComplete, errors.Wrap(err, "gossip: read answer")
}

// Handler answers requests for all evidence, and passes others to next.
func (x *Exchange) Handler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != path {
			next(ctx)
			return
		}
		if x.started.Load() {
			ctx.Response.Header.Set(completeHeader, "1")
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
