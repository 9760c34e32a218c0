package server

import (
	"bytes"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/lab/trace"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// Garbage is a way in which answers are wrong.
type Garbage string

// Kinds of garbage.
const (
	GarbageNone Garbage = ""
	// GarbageJSON cuts the body in the middle.
	GarbageJSON Garbage = "json"
	// GarbageRequest names another request.
	GarbageRequest Garbage = "request"
	// GarbageVersion answers from another index version than asked for.
	GarbageVersion Garbage = "version"
	// GarbageMixed gives the hits of another version than the answer names,
	// GarbageCrossed those of another query or key, and GarbageShard those of a
	// shard that does not exist. No client can see that; the checkers must.
	GarbageMixed   Garbage = "mixed"
	GarbageCrossed Garbage = "crossed"
	GarbageShard   Garbage = "shard"
	// GarbageDenied says that work which ran did not run.
	GarbageDenied Garbage = "denied"
	// GarbageLarge sends a body of largeBody bytes.
	GarbageLarge Garbage = "large"
	// GarbageDeaf ignores cancellations, so that answers come after them.
	GarbageDeaf Garbage = "deaf"
)

// largeBody is the size of an answer of GarbageLarge in bytes.
const largeBody = 16 << 20

// garbler spoils every n-th answer. It is safe for concurrent use.
type garbler struct {
	mu    sync.Mutex
	kind  Garbage
	every int
	count int
}

func (g *garbler) set(kind Garbage, every int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.kind, g.every, g.count = kind, max(every, 1), 0
}

// next returns the garbage for the next answer.
func (g *garbler) next() Garbage {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.kind == GarbageNone || g.kind == GarbageDeaf {
		return GarbageNone
	}
	g.count++
	if g.count%g.every != 0 {
		return GarbageNone
	}
	return g.kind
}

// shardOffset is added to the shards of GarbageShard.
const shardOffset = 1000

// distort returns the work whose answer is given in place of that to work.
func distort(work trace.SubRequest, kind Garbage) trace.SubRequest {
	switch kind {
	case GarbageMixed:
		work.Version++
	case GarbageCrossed:
		work.Query += " crossed"
		work.Key += "-crossed"
	case GarbageShard:
		work.Shard += shardOffset
	}
	return work
}

// spoil changes a complete answer.
func spoil(ctx *fasthttp.RequestCtx, kind Garbage) {
	switch kind {
	case GarbageJSON:
		body := ctx.Response.Body()
		ctx.SetBody(bytes.Clone(body[:len(body)/2]))
	case GarbageRequest:
		ctx.Response.Header.Set(bknd.HeaderRequest, "0")
	case GarbageDenied:
		ctx.Response.Header.Set(bknd.HeaderNotRun, "1")
		ctx.SetStatusCode(bknd.StatusShed)
	case GarbageLarge:
		ctx.SetBody(bytes.Repeat([]byte(" "), largeBody))
	}
}
