package audit_test

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// mistake is the fault that a test tier has.
type mistake string

const (
	none       mistake = "none"
	mixes      mistake = "mixes versions"
	overstates mistake = "overstates coverage"
	crosses    mistake = "answers with another request's ID"
	drops      mistake = "drops a hit"
	repeats    mistake = "repeats actions"
	denies     mistake = "denies actions that ran"
)

// tier is a simple query tier with one mistake: it scatters requests to two
// backend servers and gathers their answers.
type tier struct {
	mistake mistake
	address string
	servers []svcdoc.Server
	http    fasthttp.Client
}

// startTier starts a tier and its backend servers, which stop at the end of the
// test.
func startTier(t *testing.T, m mistake, options server.Options) *tier {
	limits := svcdoc.Limits{Slots: 500, Connections: 1000}
	tr := &tier{mistake: m, servers: []svcdoc.Server{
		{ID: "desk/a", Address: "127.0.20.8:17801", Zone: "espoo", Limits: limits},
		{ID: "desk/b", Address: "127.0.20.8:17802", Zone: "lahti", Shard: 1, Limits: limits},
	}}
	host, err := server.Start(tr.servers, "127.0.0.1:0", options)
	require.NoError(t, err)
	for i, s := range tr.servers {
		maps := strings.ReplaceAll("1=N/2,2=N/2", "N", strconv.Itoa(i))
		require.NoError(t, host.Apply(server.Fault{Server: s.ID, Action: server.ActionVersions, Maps: maps}))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	tr.address = listener.Addr().String()
	s := &fasthttp.Server{Handler: tr.handle}
	var group conc.WaitGroup
	group.Go(func() { _ = s.Serve(listener) })
	t.Cleanup(func() {
		require.NoError(t, s.Shutdown())
		group.Wait()
		require.NoError(t, host.Close())
	})
	return tr
}

func (tr *tier) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if tr.mistake == crosses {
		id += "0"
	}
	body := map[string]any{"request": id}
	parts := strings.Split(string(ctx.Path()), "/")
	switch parts[2] {
	case "addresses":
		body = map[string]any{"addresses": []string{tr.address}, "lifetime_ms": 60000}
	case "search":
		tr.search(ctx, body)
	case "lookup":
		resp := tr.ask(0, bknd.PathLookup, 1, parts[4], "", ctx.PostBody())
		body["outcome"], body["answer"] = "done", json.RawMessage(resp.Body())
	case "action":
		tr.act(ctx, parts[4], body)
	}
	data, _ := json.Marshal(body)
	ctx.SetBody(data)
}

func (tr *tier) search(ctx *fasthttp.RequestCtx, body map[string]any) {
	var hits []server.Hit
	for shard := range tr.servers {
		version := ident.Version(1)
		if tr.mistake == mixes && shard == 1 {
			version = 2
		}
		if tr.mistake == overstates && shard == 1 {
			continue
		}
		var found struct{ Hits []server.Hit }
		_ = json.Unmarshal(tr.ask(shard, bknd.PathQuery, version, "", "", ctx.PostBody()).Body(), &found)
		hits = append(hits, found.Hits...)
	}
	slices.SortFunc(hits, func(a, b server.Hit) int { return int(1e9 * (b.Score - a.Score)) })
	if tr.mistake == drops {
		hits = hits[1:]
	}
	body["outcome"], body["snapshot"], body["hits"] = "full", 1, hits[:min(5, len(hits))]
	body["coverage"] = map[string]int{"answered": 2, "of": 2}
}

func (tr *tier) act(ctx *fasthttp.RequestCtx, action string, body map[string]any) {
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	resp := tr.ask(0, bknd.PathAction, 1, key, action, nil)
	if tr.mistake == repeats {
		tr.ask(1, bknd.PathAction, 1, key, action, nil)
	}
	body["outcome"], body["answer"] = "done", json.RawMessage(resp.Body())
	if tr.mistake == denies {
		body["outcome"] = "not run"
	}
}

func (tr *tier) ask(shard int, path string, version ident.Version, key, action string, body []byte) *fasthttp.Response {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + tr.servers[shard].Address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(bknd.HeaderRequest, "1")
	req.Header.Set(bknd.HeaderVersion, strconv.Itoa(int(version)))
	req.Header.Set(bknd.HeaderShard, strconv.Itoa(shard))
	req.Header.Set(bknd.HeaderKey, key)
	req.Header.Set(bknd.HeaderAction, action)
	req.SetBody(body)
	_ = tr.http.DoTimeout(req, resp, time.Minute)
	return resp
}
