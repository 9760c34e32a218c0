package accept_test

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/accept"
)

// listen returns a listener with a limit of connections, and the number of failures that it
// reports.
func listen(t *testing.T, limit int) (*accept.Listener, *atomic.Int32) {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	failures := &atomic.Int32{}
	l := accept.NewListener(tcp, accept.Options{Limit: func() int { return limit }, Failed: func(error) { failures.Add(1) }})
	t.Cleanup(func() { _ = l.Close() })
	return l, failures
}

// connect opens a connection and returns both ends.
func connect(t *testing.T, l *accept.Listener) (near, far net.Conn) {
	t.Helper()
	far, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	near, err = l.Accept()
	require.NoError(t, err)
	return near, far
}

// requireClosed requires that the other side of a connection has closed it.
func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

func TestOldestIdleConnectionIsClosedAtTheLimit(t *testing.T) {
	l, failures := listen(t, 3)
	first, _ := connect(t, l)
	second, idle := connect(t, l)
	third, _ := connect(t, l)
	accept.SetActive(first)
	accept.SetActive(third)
	accept.SetIdle(third, time.Now())
	_, _ = connect(t, l)
	requireClosed(t, idle)
	require.True(t, accept.IsEvicted(second))
	require.False(t, accept.IsEvicted(first))
	require.Equal(t, accept.Stats{Open: 3, Idle: 2, Evicted: 1}, l.Stats())
	require.Zero(t, failures.Load())
}

func TestConnectionsInUseAreKeptAtTheLimit(t *testing.T) {
	l, failures := listen(t, 1)
	first, _ := connect(t, l)
	accept.SetActive(first)
	rejected, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted := make(chan net.Conn)
	go func() {
		conn, _ := l.Accept()
		accepted <- conn
	}()
	requireClosed(t, rejected)
	require.Eventually(t, func() bool { return failures.Load() == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, first.Close())
	_, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	require.NotNil(t, <-accepted)
	require.Equal(t, 1, l.Stats().Open)
}

func TestConnectionsAreClosedAfterTheirIdleTime(t *testing.T) {
	l, _ := listen(t, 10)
	old, far := connect(t, l)
	began := time.Now()
	accept.SetActive(old)
	accept.SetIdle(old, began)
	active, _ := connect(t, l)
	accept.SetActive(active)
	l.CloseIdle(began)
	require.Equal(t, 2, l.Stats().Open)
	l.CloseIdle(began.Add(time.Millisecond))
	requireClosed(t, far)
	require.Equal(t, accept.Stats{Open: 1, Evicted: 1}, l.Stats())
}

// acceptWithoutDescriptors accepts a connection while the process can open no descriptor,
// until the listener counts as failing. The result of Accept follows on the channel.
func acceptWithoutDescriptors(t *testing.T, l *accept.Listener) <-chan error {
	t.Helper()
	var before syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before))
	none := syscall.Rlimit{Cur: 1, Max: before.Max}
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none))
	defer func() { require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before)) }()
	accepted := make(chan error)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	require.Eventually(t, func() bool { return l.Failing(time.Now()) }, 5*time.Second, time.Millisecond)
	return accepted
}

// Guards against a VM that stays out of all address lists because no connection arrives that
// would show that it accepts again.
func TestFailureEndsWithoutANewConnection(t *testing.T) {
	l, _ := listen(t, 1000)
	accepted := acceptWithoutDescriptors(t, l)
	require.Eventually(t, func() bool { return !l.Failing(time.Now()) }, 5*time.Second, time.Millisecond)
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, <-accepted)
	require.NoError(t, conn.Close())
}

// Guards against a listener that ends for good when accepting fails for lack of descriptors.
func TestListenerOutlastsLackOfDescriptors(t *testing.T) {
	l, failures := listen(t, 1000)
	held := make([]net.Conn, 20)
	for i := range held {
		held[i], _ = connect(t, l)
	}
	waiting, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, waiting.Close()) }()
	accepted := acceptWithoutDescriptors(t, l)
	require.NoError(t, <-accepted)
	require.False(t, l.Failing(time.Now()))
	require.Positive(t, failures.Load())
	require.Positive(t, l.Stats().Evicted, "idle connections make room")
	require.NoError(t, l.Close())
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
