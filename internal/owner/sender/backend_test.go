package sender_test

import (
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// backend is a fake backend server on a loopback port.
type backend struct {
	address string

	mu       sync.Mutex
	boot     string
	health   string
	maps     string
	running  int
	peak     int
	requests int
	hellos   int
	cancels  map[string]chan struct{}
	// work changes the answer to a request if it is set.
	work func(ctx *fasthttp.RequestCtx)
	// hold delays answers until it is closed, if it is set.
	hold chan struct{}
}

func startBackend(t testing.TB) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &backend{
		address: listener.Addr().String(), boot: "boot-1", maps: "7=0/1",
		cancels: map[string]chan struct{}{},
	}
	server := &fasthttp.Server{Handler: b.handle, Logger: silent{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		b.release()
		require.NoError(t, server.Shutdown())
		// Shutdown does not close the listener if Serve has not started yet.
		_ = listener.Close()
		<-done
	})
	return b
}

// set changes the fake under its mutex.
func (b *backend) set(change func(b *backend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
}

// release answers the requests that hold delays.
func (b *backend) release() {
	b.set(func(b *backend) {
		if b.hold != nil {
			close(b.hold)
			b.hold = nil
		}
	})
}

// counts returns the number of requests other than hellos, health checks and
// cancels, their peak concurrency, and the number of hellos.
func (b *backend) counts() (requests, peak, hellos int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests, b.peak, b.hellos
}

func (b *backend) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(bknd.HeaderRequest))
	ctx.Response.Header.Set(bknd.HeaderRequest, id)
	switch string(ctx.Path()) {
	case bknd.PathHello:
		b.set(func(b *backend) { b.hellos++ })
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case bknd.PathHealth:
		b.set(func(b *backend) { ctx.SetBodyString(`{"state":"` + b.health + `"}`) })
	case bknd.PathCancel:
		b.cancel(id)
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	default:
		b.serveWork(ctx, id)
	}
	b.set(func(b *backend) {
		ctx.Response.Header.Set(bknd.HeaderBoot, b.boot)
		ctx.Response.Header.Set(bknd.HeaderMaps, b.maps)
	})
}

func (b *backend) cancel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ch, ok := b.cancels[id]; ok {
		close(ch)
		delete(b.cancels, id)
	}
}

func (b *backend) serveWork(ctx *fasthttp.RequestCtx, id string) {
	cancelled := make(chan struct{})
	var hold chan struct{}
	var work func(*fasthttp.RequestCtx)
	b.set(func(b *backend) {
		b.requests++
		b.running++
		b.peak = max(b.peak, b.running)
		b.cancels[id] = cancelled
		hold, work = b.hold, b.work
	})
	defer b.set(func(b *backend) { b.running-- })
	budget, _ := strconv.Atoi(string(ctx.Request.Header.Peek(bknd.HeaderDeadline)))
	deadline := time.After(time.Duration(budget) * time.Microsecond)
	if hold != nil {
		select {
		case <-hold:
		case <-cancelled:
			ctx.SetStatusCode(bknd.StatusCancelled)
			return
		case <-deadline:
			ctx.SetStatusCode(bknd.StatusDeadline)
			return
		}
	}
	ctx.Response.Header.SetBytesV(bknd.HeaderVersion, ctx.Request.Header.Peek(bknd.HeaderVersion))
	ctx.Response.Header.SetBytesV(bknd.HeaderShard, ctx.Request.Header.Peek(bknd.HeaderShard))
	ctx.SetBodyString(`{"hits":[{"id":"a","score":1.5,"doc":{"n":1}}]}`)
	if work != nil {
		work(ctx)
	}
}

// silent discards the fake's log.
type silent struct{}

func (silent) Printf(string, ...any) {}
