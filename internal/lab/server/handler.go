package server

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// handle serves one request of the backend protocol.
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
		<-s.engine.cancel(string(ctx.Request.Header.Peek(bknd.HeaderRequest)))
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case bknd.PathHello:
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case bknd.PathHealth, bknd.PathLoad:
		ctx.SetBody(encode(s.health()))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handleWork serves a search, lookup or action.
func (s *Server) handleWork(ctx *fasthttp.RequestCtx, op trace.Op) {
	work, ok := s.readWork(ctx, op)
	ctx.Response.Header.Set(bknd.HeaderRequest, work.Request)
	if !ok {
		s.refuse(ctx, work, bknd.StatusWrongVersion)
		return
	}
	j, result := s.engine.accept(runOf(ctx), work.Request, readDeadline(ctx))
	if result == staleConnection {
		_ = ctx.Conn().Close()
		return
	}
	if result == shed {
		s.refuse(ctx, work, bknd.StatusShed)
		return
	}
	s.recordReceived(work, j)
	if result == coldOverload {
		s.recordFinished(work, 0, false)
		s.restart("fell over")
		return
	}
	end := s.engine.execute(j)
	if end == completed && op == trace.OpAction {
		s.runAction(ctx, work)
	}
	s.writeAnswer(ctx, work, j, end)
	s.engine.finish(j, end)
}

// runOf returns the number of the server's run in which the request's connection
// was accepted.
func runOf(ctx *fasthttp.RequestCtx) int {
	c, ok := ctx.Conn().(*conn)
	if !ok {
		panic("server: request on a connection that the pool did not accept")
	}
	return c.run
}

// writeAnswer writes the response to a request whose job ended. If the run has
// ended, it closes the connection instead.
func (s *Server) writeAnswer(ctx *fasthttp.RequestCtx, work trace.SubRequest, j *job, end outcome) {
	ctx.Response.Header.Set(bknd.HeaderVersion, strconv.FormatUint(uint64(work.Version), 10))
	ctx.Response.Header.Set(bknd.HeaderShard, strconv.FormatUint(uint64(work.Shard), 10))
	switch end {
	case completed:
		s.writeCompleted(ctx, work)
	case cancelled:
		ctx.SetStatusCode(bknd.StatusCancelled)
	case expired:
		ctx.SetStatusCode(bknd.StatusDeadline)
	case processEnded:
		s.recordFinished(work, 0, j.started)
		_ = ctx.Conn().Close()
		return
	}
	if !j.started {
		ctx.Response.Header.Set(bknd.HeaderNotRun, "1")
	}
	s.recordFinished(work, ctx.Response.StatusCode(), j.started)
}

// writeCompleted writes the answer to completed work, corrupted if the garbage
// fault is in force.
func (s *Server) writeCompleted(ctx *fasthttp.RequestCtx, work trace.SubRequest) {
	garbage := s.corrupter.next()
	if garbage == GarbageVersion {
		work.Version++
		ctx.Response.Header.Set(bknd.HeaderVersion, strconv.FormatUint(uint64(work.Version), 10))
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encode(s.answerBody(ctx, alterWork(work, garbage))))
	corrupt(ctx, garbage)
}

// answerBody returns the body of the answer to completed work.
func (s *Server) answerBody(ctx *fasthttp.RequestCtx, work trace.SubRequest) any {
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

// runAction records and counts the execution of an action.
func (s *Server) runAction(ctx *fasthttp.RequestCtx, work trace.SubRequest) {
	duplicate := s.ledger.record(trace.Execution{
		Service: s.service,
		Server:  s.spec.ID,
		Request: work.Request,
		Action:  string(ctx.Request.Header.Peek(bknd.HeaderAction)),
		Key:     work.Key,
	})
	s.engine.countExecution(duplicate)
}

// refuse responds to work that is not executed.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, work trace.SubRequest, status int) {
	ctx.Response.Header.Set(bknd.HeaderNotRun, "1")
	ctx.SetStatusCode(status)
	s.recorder.Record(trace.Event{Kind: trace.KindReceived, SubRequest: &work})
	s.recordFinished(work, status, false)
}

// recordReceived records the arrival of work that was accepted or that
// overloaded the cold server.
func (s *Server) recordReceived(work trace.SubRequest, j *job) {
	work.Cold, work.Concurrent, work.ConcurrencyLimit = j.cold, j.inFlight, j.limit
	s.recorder.Record(trace.Event{Kind: trace.KindReceived, SubRequest: &work})
}

// recordFinished records the status with which work ended, 0 if there is no
// response, and whether the work was executed.
func (s *Server) recordFinished(work trace.SubRequest, status int, ran bool) {
	work.Status, work.Begun = status, ran
	s.recorder.Record(trace.Event{Kind: trace.KindFinished, SubRequest: &work})
}

// readWork reads a request from its headers and body. It reports whether the
// server holds the shard in the index version that the request names.
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
	m, ok := findMap(s.maps(), work.Version, work.Shard)
	if ok {
		work.Version, work.Shards = m.Version, m.Shards
	}
	return work, ok
}

// findMap returns the map of a shard in the given index version, or in the
// newest version if version is 0.
func findMap(maps []bknd.Map, version ident.Version, shard ident.Shard) (bknd.Map, bool) {
	var found bknd.Map
	for _, m := range maps {
		matches := m.Version == version || version == 0
		if matches && m.Shard == shard && m.Version > found.Version {
			found = m
		}
	}
	return found, found.Version > 0
}

// readUint returns the value of a numeric header, or 0 if the header is missing
// or malformed.
func readUint(ctx *fasthttp.RequestCtx, name string) uint64 {
	value, err := strconv.ParseUint(string(ctx.Request.Header.Peek(name)), 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// readDeadline returns the deadline of a request, which states its remaining
// time in microseconds.
func readDeadline(ctx *fasthttp.RequestCtx) time.Time {
	left := time.Duration(readUint(ctx, bknd.HeaderDeadline)) * time.Microsecond
	if left <= 0 {
		left = defaultDeadline
	}
	return time.Now().Add(left)
}
