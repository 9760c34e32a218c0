package fetch_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/ops/fetch"
)

func TestGet(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != fetch.PathState {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		ctx.SetBodyString(`{"vm":"vm-1"}`)
	}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()

	client, address := fetch.New(), listener.Addr().String()
	body, err := client.Get(t.Context(), address, fetch.PathState)
	require.NoError(t, err)
	require.JSONEq(t, `{"vm":"vm-1"}`, string(body))
	_, err = client.Get(t.Context(), address, fetch.PathStatus)
	require.ErrorIs(t, err, fetch.ErrUnavailable)

	require.NoError(t, server.Shutdown())
	require.NoError(t, <-done)
	_, err = client.Get(t.Context(), address, fetch.PathState)
	require.ErrorIs(t, err, fetch.ErrUnavailable)
}
