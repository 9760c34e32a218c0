package server

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// handle answers one request of the backend protocol.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(bknd.HeaderBoot, string(s.engine.boot()))
	ctx.Response.Header.Set(bknd.HeaderMaps, bknd.FormatMaps(s.maps()))
	switch string(ctx.Path()) {
	case bknd.PathQuery:
		s.handleWork(ctx, trace.OpSearch)
	case bknd.PathLookup:
		s.handleWork(ctx, trace.OpLookup)
	case bknd.PathAction:
		s.handleWork(ctx, trace.OpAction)
	case bknd.PathCancel:
		s.engine.abort(string(ctx.Request.Header.Peek(bknd.HeaderRequest)))
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case bknd.PathHello:
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case bknd.PathHealth, bknd.PathLoad:
		ctx.SetBody(encode(s.claims()))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handleWork takes, performs and answers a request that carries work.
func (s *Server) handleWork(ctx *fasthttp.RequestCtx, op trace.Op) {
	work, ok := s.readWork(ctx, op)
	ctx.Response.Header.Set(bknd.HeaderRequest, work.Request)
	if !ok {
		s.refuse(ctx, work, bknd.StatusWrongVersion)
		return
	}
	j, result := s.engine.take(runOf(ctx), work.Request, readDeadline(ctx))
	if result == stale {
		_ = ctx.Conn().Close()
		return
	}
	if result == shed {
		s.refuse(ctx, work, bknd.StatusShed)
		return
	}
	s.received(work, j)
	if result == fell {
		s.finished(work, 0, false)
		s.restart("fell over")
		return
	}
	end := s.engine.perform(j)
	if end == completed && op == trace.OpAction {
		s.run(ctx, work)
	}
	s.answer(ctx, work, j, end)
	s.engine.finish(j, end)
}

// runOf returns the run of the server to which the request's connection
// belongs.
func runOf(ctx *fasthttp.RequestCtx) int {
	c, ok := ctx.Conn().(*conn)
	if !ok {
		panic("server: connection not from the pool")
	}
	return c.run
}

// answer answers a request after its job ended.
func (s *Server) answer(ctx *fasthttp.RequestCtx, work trace.SubRequest, j *job, end outcome) {
	ctx.Response.Header.Set(bknd.HeaderVersion, strconv.FormatUint(uint64(work.Version), 10))
	ctx.Response.Header.Set(bknd.HeaderShard, strconv.FormatUint(uint64(work.Shard), 10))
	switch end {
	case completed:
		s.answerCompleted(ctx, work)
	case cancelled:
		ctx.SetStatusCode(bknd.StatusCancelled)
	case expired:
		ctx.SetStatusCode(bknd.StatusDeadline)
	case lost:
		s.finished(work, 0, j.began)
		_ = ctx.Conn().Close()
		return
	}
	if !j.began {
		ctx.Response.Header.Set(bknd.HeaderNotRun, "1")
	}
	s.finished(work, ctx.Response.StatusCode(), j.began)
}

func (s *Server) answerCompleted(ctx *fasthttp.RequestCtx, work trace.SubRequest) {
	garbage := s.garbler.next()
	if garbage == GarbageVersion {
		work.Version++
		ctx.Response.Header.Set(bknd.HeaderVersion, strconv.FormatUint(uint64(work.Version), 10))
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encode(s.body(ctx, distort(work, garbage))))
	spoil(ctx, garbage)
}

// body computes the answer to completed work.
func (s *Server) body(ctx *fasthttp.RequestCtx, work trace.SubRequest) any {
	switch work.Op {
	case trace.OpSearch:
		doc := Doc{Version: work.Version, Shard: work.Shard, Query: work.Query}
		return searchBody{Hits: Hits(s.service, doc, parseQuery(ctx.PostBody()).limit)}
	case trace.OpLookup:
		return lookupBody{Key: work.Key, Version: work.Version, Shard: work.Shard}
	default:
		action := string(ctx.Request.Header.Peek(bknd.HeaderAction))
		return actionBody{Action: action, Key: work.Key, Server: s.spec.ID}
	}
}

// run executes an action.
func (s *Server) run(ctx *fasthttp.RequestCtx, work trace.SubRequest) {
	duplicate := s.ledger.run(trace.Execution{
		Service: s.service,
		Server:  s.spec.ID,
		Request: work.Request,
		Action:  string(ctx.Request.Header.Peek(bknd.HeaderAction)),
		Key:     work.Key,
	})
	s.engine.countRun(duplicate)
}

// refuse answers work that is not run.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, work trace.SubRequest, status int) {
	ctx.Response.Header.Set(bknd.HeaderNotRun, "1")
	ctx.SetStatusCode(status)
	s.recorder.Record(trace.Event{Kind: trace.KindReceived, SubRequest: &work})
	s.finished(work, status, false)
}

func (s *Server) received(work trace.SubRequest, j *job) {
	work.Cold, work.Concurrent, work.ConcurrencyLimit = j.cold, j.running, j.bears
	s.recorder.Record(trace.Event{Kind: trace.KindReceived, SubRequest: &work})
}

func (s *Server) finished(work trace.SubRequest, status int, ran bool) {
	work.Status, work.Begun = status, ran
	s.recorder.Record(trace.Event{Kind: trace.KindFinished, SubRequest: &work})
}

// readWork reads a request. It reports whether the server holds the shard in
// the version that the request names.
func (s *Server) readWork(ctx *fasthttp.RequestCtx, op trace.Op) (trace.SubRequest, bool) {
	header := &ctx.Request.Header
	work := trace.SubRequest{
		Server:  s.spec.ID,
		Zone:    s.spec.Zone,
		Boot:    s.engine.boot(),
		Request: string(header.Peek(bknd.HeaderRequest)),
		Op:      op,
		Key:     string(header.Peek(bknd.HeaderKey)),
		Version: ident.Version(readUint(ctx, bknd.HeaderVersion)),
		Shard:   ident.Shard(readUint(ctx, bknd.HeaderShard)),
	}
	if op == trace.OpSearch {
		work.Query = parseQuery(ctx.PostBody()).text
	}
	m, ok := find(s.maps(), work.Version, work.Shard)
	if ok {
		work.Version, work.Shards = m.Version, m.Shards
	}
	return work, ok
}

// find returns the holding of a shard in the given version, or in the newest
// if the version is 0.
func find(holdings []bknd.Map, version ident.Version, shard ident.Shard) (bknd.Map, bool) {
	var found bknd.Map
	for _, m := range holdings {
		matches := m.Version == version || version == 0
		if matches && m.Shard == shard && m.Version > found.Version {
			found = m
		}
	}
	return found, found.Version > 0
}

func readUint(ctx *fasthttp.RequestCtx, name string) uint64 {
	value, err := strconv.ParseUint(string(ctx.Request.Header.Peek(name)), 10, 64)
	if err != nil {
		return 0
	}
	return value
}

func readDeadline(ctx *fasthttp.RequestCtx) time.Time {
	left := time.Duration(readUint(ctx, bknd.HeaderDeadline)) * time.Microsecond
	if left <= 0 {
		left = defaultDeadline
	}
	return time.Now().Add(left)
}
