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

// fuzzParams has parameters of the kinds that control calls use.
type fuzzParams struct {
	Name   string            `json:"name"`
	Count  uint64            `json:"count"`
	At     time.Time         `json:"at"`
	List   []string          `json:"list"`
	Claims map[string][]byte `json:"claims"`
}

// onePipe is a listener that accepts one connection.
type onePipe struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *onePipe) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *onePipe) Close() error   { close(l.done); return nil }
func (l *onePipe) Addr() net.Addr { return &net.TCPAddr{} }

// framed puts the length before a message.
func framed(message string) []byte {
	return append([]byte{byte(len(message))}, message...)
}

// FuzzServe checks that a server survives whatever a peer sends.
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
		client, far := net.Pipe()
		l := &onePipe{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		l.conns <- far
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
