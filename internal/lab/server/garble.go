package server

import (
	"bytes"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/lab/trace"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// Garbage is a way to corrupt answers.
type Garbage string

// Kinds of garbage.
const (
	GarbageNone Garbage = ""
	// GarbageJSON truncates the body to half its length.
	GarbageJSON Garbage = "json"
	// GarbageRequest returns the id of another request.
	GarbageRequest Garbage = "request"
	// GarbageVersion answers from another index version than asked for.
	GarbageVersion Garbage = "version"
	// GarbageMixed returns hits of another index version than the answer names,
	// GarbageCrossed those of another query or key, and GarbageShard those of a
	// shard that does not exist. Clients cannot detect these; the checkers of
	// histories must.
	GarbageMixed   Garbage = "mixed"
	GarbageCrossed Garbage = "crossed"
	GarbageShard   Garbage = "shard"
	// GarbageDenied reports executed work as not executed.
	GarbageDenied Garbage = "denied"
	// GarbageLarge sends a body of largeBody bytes.
	GarbageLarge Garbage = "large"
	// GarbageDeaf ignores cancellations, so that answers arrive after them.
	GarbageDeaf Garbage = "deaf"
)

// largeBody is the size of the body that GarbageLarge sends, in bytes.
const largeBody = 16 << 20

// corrupter selects the answers to corrupt, one of every so many. It is safe for
// concurrent use.
type corrupter struct {
	mu    sync.Mutex
	kind  Garbage
	every int
	count int
}

func (g *corrupter) set(kind Garbage, every int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.kind, g.every, g.count = kind, max(every, 1), 0
}

// next returns how to corrupt the next answer, GarbageNone for not at all.
func (g *corrupter) next() Garbage {
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

// shardOffset is what GarbageShard adds to the shard, so that it does not exist.
const shardOffset = 1000

// alterWork returns the work whose answer is sent instead of the answer to work.
func alterWork(work trace.SubRequest, kind Garbage) trace.SubRequest {
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

// corrupt changes a response that is complete otherwise.
func corrupt(ctx *fasthttp.RequestCtx, kind Garbage) {
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
