package soak_test

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/soak"
)

// startEchoServer starts a server that echoes its input, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

type client struct {
	net.Conn
	r *bufio.Reader
}

func connect(t *testing.T, p *soak.Proxy) *client {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &client{Conn: c, r: bufio.NewReader(c)}
}

// echo sends a line and waits for its echo.
func (c *client) echo(t *testing.T, within time.Duration) error {
	t.Helper()
	_, err := c.Write([]byte("x\n"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err = c.r.ReadString('\n')
	return err
}

const soon, long = 200 * time.Millisecond, 5 * time.Second

func TestProxyImpairsConnections(t *testing.T) {
	p, err := soak.NewProxy("127.0.0.1:0", startEchoServer(t))
	require.NoError(t, err)
	defer func() { require.NoError(t, p.Close()) }()
	c := connect(t, p)
	require.NoError(t, c.echo(t, long))

	for _, impairment := range []soak.Impairment{{CutUp: true}, {CutDown: true}} {
		end, err := p.Impair(impairment)
		require.NoError(t, err)
		again, err := p.Impair(impairment)
		require.NoError(t, err)
		require.Error(t, c.echo(t, soon))
		require.NoError(t, again())
		require.NoError(t, c.SetReadDeadline(time.Now().Add(soon)))
		_, err = c.r.ReadString('\n')
		require.Error(t, err, "the overlapping impairment lasts")
		require.NoError(t, end())
		require.NoError(t, c.SetReadDeadline(time.Now().Add(long)))
		_, err = c.r.ReadString('\n')
		require.NoError(t, err, "held data arrives after the impairment ends")
	}

	end, err := p.Impair(soak.Impairment{Delay: 50 * time.Millisecond})
	require.NoError(t, err)
	began := time.Now()
	require.NoError(t, c.echo(t, long))
	require.GreaterOrEqual(t, time.Since(began), 100*time.Millisecond)
	require.NoError(t, end())

	p.Silence()
	require.Error(t, c.echo(t, soon))
	fresh := connect(t, p)
	require.NoError(t, fresh.echo(t, long), "new connections work")

	p.Reset()
	require.Eventually(t, func() bool {
		_, err := fresh.Write([]byte("x\n"))
		return err != nil
	}, long, 10*time.Millisecond)

	end, err = p.Impair(soak.Impairment{Refuse: true})
	require.NoError(t, err)
	_, err = net.Dial("tcp", p.Address())
	require.Error(t, err)
	require.NoError(t, end())
	require.NoError(t, connect(t, p).echo(t, long))
}

func TestDelayAppliesToConnectionsWithoutATarget(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, target.Close())
	p, err := soak.NewProxy("127.0.0.1:0", target.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, p.Close()) }()
	end, err := p.Impair(soak.Impairment{Delay: 50 * time.Millisecond})
	require.NoError(t, err)
	began := time.Now()
	require.Error(t, connect(t, p).echo(t, long))
	require.GreaterOrEqual(t, time.Since(began), 50*time.Millisecond)
	require.NoError(t, end())
}

func TestHangingProxyAnswersNoNewConnection(t *testing.T) {
	p, err := soak.NewProxyFrom(net.IPv4(127, 0, 0, 9), "127.0.0.1:0", startEchoServer(t))
	require.NoError(t, err)
	defer func() { require.NoError(t, p.Close()) }()
	c := connect(t, p)
	require.NoError(t, c.echo(t, long))

	end, err := p.Impair(soak.Impairment{Hang: true})
	require.NoError(t, err)
	require.Error(t, c.echo(t, soon))
	for range 3 {
		_, err = net.DialTimeout("tcp", p.Address(), soon)
		var failure net.Error
		require.ErrorAs(t, err, &failure)
		require.True(t, failure.Timeout())
	}
	require.NoError(t, end())
	require.NoError(t, c.SetReadDeadline(time.Now().Add(long)))
	_, err = c.r.ReadString('\n')
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.NoError(t, connect(t, p).echo(t, long))
}

// Guards against a proxy that can't accept connections again after a fault because a process that
// was just started still holds its port.
func TestProxyWaitsForItsPort(t *testing.T) {
	p, err := soak.NewProxy("127.0.0.1:0", "127.0.0.1:1")
	require.NoError(t, err)
	defer func() { require.NoError(t, p.Close()) }()
	end, err := p.Impair(soak.Impairment{Refuse: true})
	require.NoError(t, err)
	other, err := net.Listen("tcp", p.Address())
	require.NoError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { _ = other.Close() })
	require.NoError(t, end())
}
