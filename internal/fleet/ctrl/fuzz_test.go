package ctrl_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/fleet/ctrl"
)

// fuzzParams has fields of the types that the parameters of control calls have.
type fuzzParams struct {
	Name   string            `json:"name"`
	Count  uint64            `json:"count"`
	At     time.Time         `json:"at"`
	List   []string          `json:"list"`
	Claims map[string][]byte `json:"claims"`
}

// pipeListener is a listener that accepts the connection in conns.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.done); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// framed returns a message with its length in front. Messages must be shorter than
// 128 bytes.
func framed(message string) []byte {
	return append([]byte{byte(len(message))}, message...)
}

// FuzzServe checks that a server does not fail on arbitrary input from a peer.
func FuzzServe(f *testing.F) {
	f.Add(framed(`{"method":"m","id":1,"params":{"name":"a","count":1,"list":["b"]}}`))
	f.Add(framed(`{"method":"m","id":1,"params":{"count":-1}}`))
	f.Add(framed(`{"method":"m","params":[]}`))
	f.Add(framed(`{"method":"x","id":"1"}`))
	f.Add(framed(`{"id":1,"result":{}}`))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		server := ctrl.NewServer(ctrl.ServerOptions{})
		ctrl.Handle(server, "m", func(_ context.Context, p fuzzParams) (fuzzParams, error) { return p, nil })
		client, remote := net.Pipe()
		l := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		l.conns <- remote
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(ctx, l) }()
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			_, _ = io.Copy(io.Discard, client)
		}()
		if _, err := client.Write(data); err != nil {
			require.True(t, errors.Is(err, io.ErrClosedPipe), "%v", err)
		}
		require.NoError(t, client.Close())
		<-drained
		cancel()
		require.NoError(t, <-ended)
	})
}
